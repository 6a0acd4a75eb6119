import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { configKey, topics } from '../../platform/names.js';
import { DutyServer } from '../../platform/standins/duty-server.js';
import { EndpointServer } from '../../platform/standins/endpoint-server.js';
import { StoreServer } from '../../platform/standins/store-server.js';

const program = join(import.meta.dirname, '..', '..', 'dist/platform/main.js');

const callerHostName = 'shop.example';
const callerPort = 18_080;

/** Ports of the listeners that are not meant for callers. */
export const readyPort = 18_081;
export const peerPort = 17_600;
const startTimeoutMs = 20_000;
const pollMs = 25;
const heartbeatMs = 1_000;
const routeTimeoutMs = 60_000;

/** Limits of a {@link LimitedGateway}. */
export interface GatewayLimits {
  /** Limit of the V8 heap, in MB. */
  readonly heapMb: number;
  /** Memory of the VM that the settings file names, in MB. */
  readonly memoryMb: number;
  /** Descriptors of the process that the settings file names. */
  readonly maxFds: number;
  readonly maxBodyBytes: number;
  /** Further options of Node.js for the program. */
  readonly nodeOptions?: readonly string[];
}

/** The real program of the gateway with lowered limits, between stand-ins in the test's process. */
export class LimitedGateway {
  /** Largest values that were seen while the program ran. */
  peakRssBytes = 0;
  peakFds = 0;
  /** Own loopback address, as the program's ports are fixed. */
  readonly host = `127.${1 + (process.pid % 250)}.${Math.floor(process.pid / 250) % 250}.77`;
  readonly #limits: GatewayLimits;
  readonly #directory = mkdtempSync(join(tmpdir(), 'oriole-limited-'));
  readonly #store = new StoreServer();
  readonly #duties = new DutyServer();
  readonly #endpoint = new EndpointServer({
    instanceId: 'i-1',
    service: 'orders',
    onRun: () => undefined,
    // No injected faults.
    random: () => 0.5,
  });
  readonly #sockets: Socket[] = [];
  readonly #timers: NodeJS.Timeout[] = [];
  #child: ChildProcess | undefined;
  #log = '';
  #registrations = 0;

  constructor(limits: GatewayLimits) {
    this.#limits = limits;
  }

  /**
   * Registers an endpoint of the service `raw`, which `/raw/`, `/raw-safe/` and `/raw-stream/` lead to,
   * at a port of loopback. Resolves once the program knows it.
   */
  async registerRaw(port: number): Promise<void> {
    this.#timers.push(setInterval(() => this.#put('i-raw', 'raw', port), heartbeatMs));
    this.#put('i-raw', 'raw', port);
    const giveUpAtMs = Date.now() + startTimeoutMs;
    while (!this.#log.includes('"name":"registered/i-raw"')) {
      if (Date.now() > giveUpAtMs) throw new Error(`the endpoint is not known: ${this.log}`);
      await sleep(pollMs);
    }
  }

  /** Whether the program runs. */
  get isAlive(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  /** Last lines that the program wrote, for the message of a failed check. */
  get log(): string {
    return this.#log.slice(-2_000);
  }

  /** Everything that the program wrote so far. */
  get fullLog(): string {
    return this.#log;
  }

  async start(): Promise<void> {
    await Promise.all([this.#store.listen(), this.#duties.listen(), this.#endpoint.listen()]);
    this.#register();
    this.#timers.push(setInterval(() => this.#register(), heartbeatMs));
    this.#store.put(topics.operator, configKey, configuration(this.#limits.maxBodyBytes));
    const settingsPath = join(this.#directory, 'local.conf');
    writeFileSync(settingsPath, this.#settings());
    const { heapMb, nodeOptions = [] } = this.#limits;
    this.#child = spawn(
      process.execPath,
      [`--max-old-space-size=${heapMb}`, ...nodeOptions, program],
      {
        env: { PATH: process.env.PATH, ORIOLESTACK_NODE_FILE: settingsPath },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      stream?.on('data', (bytes: Buffer) => (this.#log += bytes.toString()));
    }
    const giveUpAtMs = Date.now() + startTimeoutMs;
    while (!(await this.#isReady())) {
      if (Date.now() > giveUpAtMs) throw new Error(`the gateway does not start: ${this.log}`);
      await sleep(pollMs);
    }
    this.#timers.push(setInterval(() => this.#sample(), pollMs));
  }

  async stop(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    for (const socket of this.#sockets) socket.destroy();
    if (this.#child && this.isAlive) {
      const exited = once(this.#child, 'exit');
      this.#child.kill('SIGKILL');
      await exited;
    }
    await Promise.all([this.#store.close(), this.#duties.close(), this.#endpoint.close()]);
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Opens a connection to the caller port that stays open until {@link stop}. */
  connect(port = callerPort): Socket {
    const socket = connect({ host: this.host, port, allowHalfOpen: true });
    socket.on('error', () => undefined);
    this.#sockets.push(socket);
    return socket;
  }

  /** Sends one ordinary request on a new connection and resolves with the status of its response. */
  async ordinaryStatus(): Promise<number> {
    const socket = this.connect();
    socket.write(requestHead('GET', '/safe/ordinary', 'connection: close\r\n'));
    return statusOf(await received(socket));
  }

  #sample(): void {
    const pid = this.#child?.pid;
    if (!this.isAlive || pid === undefined) return;
    try {
      const status = readFileSync(`/proc/${pid}/status`, 'utf8');
      const rssKb = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0);
      this.peakRssBytes = Math.max(this.peakRssBytes, rssKb * 1_024);
      this.peakFds = Math.max(this.peakFds, readdirSync(`/proc/${pid}/fd`).length);
    } catch {
      // The process has ended; `isAlive` tells once its end was reported.
    }
  }

  #register(): void {
    this.#put('i-1', 'orders', this.#endpoint.port);
  }

  #put(instanceId: string, service: string, port: number): void {
    this.#store.put(topics.servers, instanceId, {
      service,
      address: `127.0.0.1:${port}`,
      zone: 'here-a',
      version: 'v1',
      slots: 1_000,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++this.#registrations,
      born: 1,
    });
  }

  #settings(): string {
    const { host } = this;
    return [
      'node_name=front-1',
      'region=here',
      'zone=here-a',
      'zones.here-a=here',
      `listen.front=${host}:${callerPort}`,
      `listen.ready=${host}:${readyPort}`,
      `internal_port_range=${peerPort},${peerPort + 15}`,
      `platform.address=127.0.0.1:${this.#store.port}`,
      `cloud.address=127.0.0.1:${this.#duties.port}`,
      `limits.memory_mb=${this.#limits.memoryMb}`,
      `limits.max_fds=${this.#limits.maxFds}`,
    ].join('\n');
  }

  #isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const options = {
        host: this.host,
        port: readyPort,
        path: '/oriolestack/ready',
        timeout: 500,
      };
      const request = get({ ...options, agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('timeout', () => request.destroy(new Error('timed out')));
      request.on('error', () => {
        resolve(false);
      });
    });
  }
}

let requests = 0;

/** Head of a request with its own id. @param headers - further lines, each with its line end. */
export function requestHead(method: string, path: string, headers = ''): string {
  return (
    `${method} ${path} HTTP/1.1\r\nhost: ${callerHostName}\r\n` +
    `oriolestack-request-id: r-${++requests}\r\n${headers}\r\n`
  );
}

/** Head of a request with a chunked body. @param headers - further lines, each with its line end. */
export function chunkedHead(headers = ''): string {
  return requestHead('POST', '/safe/body', `transfer-encoding: chunked\r\n${headers}`);
}

/** A body of `bytes` bytes in chunks of one size, without the chunk that ends it. */
export function chunks(bytes: number, chunkBytes: number): Buffer {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return Buffer.from(chunk.repeat(Math.floor(bytes / chunkBytes)));
}

/** The chunk that ends a body. */
export const lastChunk = '0\r\n\r\n';

/**
 * Resolves once everything was handed to the operating system, or the connection is closed.
 */
export async function sent(socket: Socket, bytes: string | Buffer): Promise<void> {
  if (socket.destroyed) return;
  await new Promise<void>((resolve) => {
    socket.once('close', () => {
      resolve();
    });
    socket.write(bytes, () => {
      resolve();
    });
  });
}

/** Collects what comes on a connection until its end. */
export function received(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (bytes: Buffer) => (text += bytes.toString('latin1')));
    socket.once('end', () => {
      resolve(text);
    });
    socket.once('close', () => {
      resolve(text);
    });
  });
}

/** Status of the first response in a text; 0 without one. */
export function statusOf(text: string): number {
  return Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
}

function configuration(maxBodyBytes: number): object {
  const route = (name: string, kind: string, service = 'orders'): object => ({
    name,
    host: callerHostName,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: routeTimeoutMs,
    service,
    public: true,
  });
  return {
    version: 1,
    routes: [
      route('safe', 'safe'),
      route('bulk', 'safe'),
      route('stream', 'stream'),
      route('raw', 'unsafe', 'raw'),
      route('raw-safe', 'safe', 'raw'),
      route('raw-stream', 'stream', 'raw'),
    ],
    services: [{ name: 'orders' }, { name: 'raw' }],
    limits: { max_body_bytes: maxBodyBytes },
  };
}
