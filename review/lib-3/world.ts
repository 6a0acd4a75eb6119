import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { configKey, topics } from '../../platform/names.js';
import { DutyServer } from '../../platform/standins/duty-server.js';
import { StoreServer } from '../../platform/standins/store-server.js';

/** A tenant of the configuration. */
export interface Tenant {
  readonly name: string;
  readonly key: string;
}

/** Options of {@link World}. */
export interface WorldOptions {
  readonly gateways: number;
  readonly routes: readonly object[];
  readonly services: readonly string[];
  readonly tenants: readonly Tenant[];
}

/** What the site's sheet says of the time in which workers register and stay listed. */
export const heartbeatMs = 1_200;
export const expiryMs = 3 * heartbeatMs;

/** As PROTOCOL says: after two misses, no new connections until the next 200. */
const maxMisses = 2;

const startPatienceMs = 20_000;
const subnet = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`;

/** A free port of an address. */
export async function freePort(host: string): Promise<number> {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const address = server.address();
  server.close();
  await once(server, 'close');
  if (typeof address === 'object' && address) return address.port;
  throw new Error('no free port');
}

const children = new Set<ChildProcess>();

/** However the script ends, none of its processes stays; an error of the script is no result. */
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const event of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT']) {
  process.on(event, (reason: unknown) => {
    console.error('the case could not run:', reason);
    process.exit(2);
  });
}

/** One of the project's processes, started as the deploy file says. */
export class Machine {
  readonly name: string;
  readonly host: string;
  port = 0;
  readyPort = 0;
  /** Answers other than 200, or none, in a row; two of them take a machine out of rotation. */
  #misses = Infinity;
  /** Longest time for which the running process did not answer whether it is ready. */
  longestSilenceMs = 0;
  #answeredAtMs = 0;
  #child: ChildProcess | undefined;
  #log = '';

  constructor(name: string, host: string) {
    this.name = name;
    this.host = host;
  }

  /** Whether the platform sends it new connections. */
  get isInRotation(): boolean {
    return this.#misses < maxMisses;
  }

  get log(): string {
    return this.#log;
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  start(settingsPath: string): void {
    const { command, env } = deployed();
    const [program = 'node', ...words] = command;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      env: { PATH: process.env.PATH, ...env, ORIOLESTACK_NODE_FILE: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    children.add(child);
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (bytes: Buffer) => {
        this.#log += bytes.toString();
      });
    }
    child.once('exit', () => {
      children.delete(child);
      this.#misses = Infinity;
      if (this.#child === child) this.#child = undefined;
    });
  }

  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  async kill(): Promise<void> {
    const child = this.#child;
    if (!child) return;
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }

  /** Asks as the platform does. */
  async askReady(): Promise<void> {
    if (this.#answeredAtMs > 0) {
      const silenceMs = Date.now() - this.#answeredAtMs;
      this.longestSilenceMs = Math.max(this.longestSilenceMs, silenceMs);
    }
    const isReady = await new Promise<boolean>((resolve) => {
      const { host, readyPort: port } = this;
      const options = { host, port, path: '/oriolestack/ready', agent: false, timeout: 800 };
      const request = get(options, (response) => {
        response.resume();
        this.#answeredAtMs = Date.now();
        resolve(response.statusCode === 200);
      });
      request.on('timeout', () => request.destroy(new Error('no response')));
      request.on('error', () => {
        resolve(false);
      });
    });
    this.#misses = isReady ? 0 : this.#misses + 1;
  }
}

/** The command and the environment of the only role in the deploy file. */
function deployed(): { command: string[]; env: Record<string, string> } {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "([^"]+)"/m.exec(text)?.[1];
  if (run === undefined) throw new Error('the deploy file has no role');
  const variables = /^env = \{([^}]*)\}/m.exec(text)?.[1] ?? '';
  const pairs = variables.split(',').map((pair) => pair.split('=').map((word) => word.trim()));
  return {
    command: run.split(' '),
    env: Object.fromEntries(
      pairs.map(([name = '', value = '']) => [name, value.replaceAll('"', '')]),
    ),
  };
}

/** A small deployment on loopback: the project's processes, the store, the duties. */
export class World {
  readonly store = new StoreServer();
  readonly duties = new DutyServer();
  readonly machines: Machine[] = [];
  readonly #options: WorldOptions;
  readonly #directory = mkdtempSync(join(tmpdir(), 'oriole-review-'));
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #settings = new Map<Machine, string>();
  #version = 7;

  constructor(options: WorldOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { gateways } = this.#options;
    await Promise.all([this.store.listen(), this.duties.listen()]);
    this.configure();
    for (let at = 1; at <= gateways; at++) {
      const machine = new Machine(`front-seoul-a-${at}`, `${subnet}.${at}`);
      machine.port = await freePort(machine.host);
      machine.readyPort = await freePort(machine.host);
      const internalPort = await freePort(machine.host);
      const path = join(this.#directory, `${machine.name}.conf`);
      writeFileSync(path, this.#settingsOf(machine, internalPort));
      this.#settings.set(machine, path);
      this.machines.push(machine);
    }
    for (const machine of this.machines) this.startMachine(machine);
    this.#timers.push(
      setInterval(() => {
        for (const machine of this.machines) void machine.askReady();
      }, 1_000),
    );
    const giveUpAtMs = Date.now() + startPatienceMs;
    while (!this.machines.every(({ isInRotation }) => isInRotation)) {
      if (Date.now() > giveUpAtMs) throw new Error('the processes are not ready in time');
      await sleep(100);
      await Promise.all(this.machines.map((machine) => machine.askReady()));
    }
  }

  /** Machines that get new connections: those in rotation, or all if those are fewer than half. */
  get reachable(): readonly Machine[] {
    const inRotation = this.machines.filter(({ isInRotation }) => isInRotation);
    return inRotation.length * 2 < this.machines.length ? this.machines : inRotation;
  }

  startMachine(machine: Machine): void {
    machine.start(this.#settings.get(machine) ?? '');
  }

  /** Writes the configuration as the operator does. */
  configure(): void {
    const { routes, services, tenants } = this.#options;
    this.#version += 3;
    this.store.put(topics.operator, configKey, {
      version: this.#version,
      routes,
      services: services.map((name) => ({
        name,
        health_path: '/health',
        max_connections: 360,
        protocol: 'h1',
        tls: false,
      })),
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      tenants: tenants.map(({ name, key }) => ({
        name,
        api_keys: [key],
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 0,
        burst: 0,
      })),
    });
  }

  async stop(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    await Promise.all(this.machines.map((machine) => machine.kill()));
    await Promise.all([this.store.close(), this.duties.close()]);
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** As `fleetbench wire` shows them for the site, with loopback addresses. */
  #settingsOf({ name, host, port, readyPort }: Machine, internalPort: number): string {
    return [
      `node_name=${name}`,
      'role=gateway',
      'machine_class=front',
      'serves=front',
      `ip=${host}`,
      'zone=seoul-a',
      'region=seoul',
      'zones.seoul-a=seoul',
      `listen.front=${host}:${port}`,
      `listen.ready=${host}:${readyPort}`,
      `internal_port_range=${internalPort},${internalPort + 15}`,
      'bootstrap=true',
      'limits.cpu_share=0.675',
      'limits.cores=1',
      'limits.memory_mb=350',
      'limits.max_fds=4100',
      'limits.link_mbps=1000.0',
      'discovery=platform',
      'entry=virtual_ip',
      `heartbeat_ms=${heartbeatMs}`,
      'bounds.stability_window_ms=4000',
      'bounds.drain_ms=2500',
      'bounds.grace_s=8',
      'bounds.config_apply_ms=2500',
      'bounds.retry_budget_ratio=0.2',
      'bounds.budget_window_s=10',
      'bounds.retry_budget_slack=52',
      'bounds.quota_window_s=8',
      'bounds.quota_overage=0.1',
      'bounds.quota_slack=140000',
      'bounds.fencing_required=true',
      'bounds.lease_ms=3000',
      'bounds.usage_window_s=5',
      'bounds.usage_off=0.05',
      'bounds.usage_late_s=10',
      `platform.address=127.0.0.1:${this.store.port}`,
      'platform.form=log',
      'platform.writes_per_s=400',
      'platform.reads_per_s=2000',
      `cloud.address=127.0.0.1:${this.duties.port}`,
      '',
    ].join('\n');
  }
}
