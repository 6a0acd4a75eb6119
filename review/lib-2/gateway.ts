import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  readonly name: string;
  readonly zone: string;
  /** Loopback address of its machine. */
  readonly host: string;
  readonly callerPort: number;
  readonly readyPort: number;
  /** First of the ports between daemons. */
  readonly internalPort: number;
  readonly storePort: number;
  readonly cloudPort: number;
  /** Folder for the settings and the log. */
  readonly folder: string;
  /** Called when the process has ended. */
  readonly onEnd: (gateway: Gateway, code: number | null, signal: string | null) => void;
}

/** The words of `run` and the variables of the role in the deploy file. */
const words = ['--max-old-space-size=200', 'target/oriolestack.js'];
const variables = { GATEWAY_WORK_ROUTING: 'off', GATEWAY_SCARCITY_ADMISSION: 'off' };

const children = new Set<ChildProcess>();

process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(2));

/** One process of the deploy file's role, on a loopback address of its own. */
export class Gateway {
  readonly options: GatewayOptions;
  #child: ChildProcess | undefined;

  constructor(options: GatewayOptions) {
    this.options = options;
    const { name, zone, host, callerPort, readyPort, internalPort, storePort, cloudPort } = options;
    const settings = [
      `node_name=${name}`,
      'role=gateway',
      'machine_class=front',
      'serves=front',
      `ip=${host}`,
      `zone=${zone}`,
      'region=here',
      'zones.here-a=here',
      'zones.here-b=here',
      `listen.front=${host}:${callerPort}`,
      `listen.ready=${host}:${readyPort}`,
      `internal_port_range=${internalPort},${internalPort}`,
      'bootstrap=true',
      'limits.cpu_share=0.675',
      'limits.cores=1',
      'limits.memory_mb=350',
      'limits.max_fds=4100',
      'limits.link_mbps=1000.0',
      'discovery=platform',
      'heartbeat_ms=1200',
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
      `platform.address=127.0.0.1:${storePort}`,
      'platform.form=log',
      `cloud.address=127.0.0.1:${cloudPort}`,
      'cloud.duties=usage,scale',
    ];
    writeFileSync(this.#settingsPath, `${settings.join('\n')}\n`);
  }

  /** Whether its process runs. */
  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /** Starts the process. */
  start(): void {
    if (this.#child) return;
    const { name, folder, onEnd } = this.options;
    const child = spawn(process.execPath, words, {
      env: { PATH: process.env.PATH, ...variables, ORIOLESTACK_NODE_FILE: this.#settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    children.add(child);
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      this.#child = undefined;
      children.delete(child);
      log.end();
      onEnd(this, code, signal);
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Ends the process, if it runs, and waits for its end. */
  async end(): Promise<void> {
    const child = this.#child;
    if (!child) return;
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  }

  /** Asks as the platform does whether it takes new connections. */
  async isReady(): Promise<boolean> {
    const { host, readyPort } = this.options;
    try {
      const url = `http://${host}:${readyPort}/oriolestack/ready`;
      return (await fetch(url, { signal: AbortSignal.timeout(800) })).status === 200;
    } catch {
      return false;
    }
  }

  get #settingsPath(): string {
    return join(this.options.folder, `${this.options.name}.conf`);
  }
}

/** A free TCP port of a loopback address. */
export async function freePort(host: string): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const address = server.address();
  await new Promise<void>((resolve) => server.close(() => resolve()));
  if (address === null || typeof address === 'string') throw new Error('no port is free');
  return address.port;
}
