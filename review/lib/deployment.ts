import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { configKey, topics } from '../../platform/names.js';
import { DutyServer } from '../../platform/standins/duty-server.js';
import { StoreServer } from '../../platform/standins/store-server.js';
import { Gateway } from './gateway.js';
import type { Worker } from './worker.js';

/** Options of {@link Deployment}. */
export interface DeploymentOptions {
  readonly gateways: number;
  /** The operator's configuration. */
  readonly config: unknown;
  readonly workers: readonly Worker[];
}

const heartbeatMs = 1_200;
const startPatienceMs = 30_000;
const readyPeriodMs = 200;

/** Gateways as processes, and the stand-ins of the platform around them. */
export class Deployment {
  readonly store = new StoreServer();
  readonly duties = new DutyServer();
  readonly gateways: Gateway[] = [];
  readonly #options: DeploymentOptions;
  readonly #directory = mkdtempSync(join(tmpdir(), 'oriole-review-'));
  readonly #gone = new Set<Worker>();
  readonly #beatListeners: (() => void)[] = [];
  #heartbeat: NodeJS.Timeout | undefined;

  constructor(options: DeploymentOptions) {
    this.#options = options;
  }

  /** @throws Error when a gateway does not become ready. */
  async start(): Promise<void> {
    // The gateways must not outlive a case that is given up.
    for (const event of ['SIGTERM', 'SIGINT', 'uncaughtException', 'unhandledRejection']) {
      process.once(event, () => void this.stop().finally(() => process.exit(2)));
    }
    await this.store.listen();
    await this.duties.listen();
    this.store.put(topics.operator, configKey, this.#options.config);
    for (const worker of this.#options.workers) {
      await worker.listen();
      this.store.put(topics.servers, worker.options.id, worker.entry());
    }
    this.#heartbeat = setInterval(() => {
      for (const worker of this.#options.workers) {
        if (!this.#gone.has(worker))
          this.store.put(topics.servers, worker.options.id, worker.entry());
      }
      for (const listener of this.#beatListeners.splice(0)) listener();
    }, heartbeatMs);
    const network = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;
    for (let at = 1; at <= this.#options.gateways; at++) {
      const gateway = new Gateway({
        name: `front-here-${at}`,
        host: `${network}.${at}`,
        zone: at % 2 === 1 ? 'here-a' : 'here-b',
        storeAddress: `127.0.0.1:${this.store.port}`,
        dutyAddress: `127.0.0.1:${this.duties.port}`,
        directory: this.#directory,
      });
      this.gateways.push(gateway);
      gateway.start();
    }
    const giveUpAtMs = Date.now() + startPatienceMs;
    for (const gateway of this.gateways) {
      while (!(await gateway.isReady())) {
        if (Date.now() > giveUpAtMs) throw new Error(`${gateway.options.name} does not start`);
        await sleep(readyPeriodMs);
      }
    }
  }

  /** Resolves after the next heartbeat of the workers. */
  heartbeat(): Promise<void> {
    return new Promise((resolve) => this.#beatListeners.push(resolve));
  }

  /** The operator writes a configuration; the store acknowledges it at once. */
  configure(config: unknown): void {
    this.store.put(topics.operator, configKey, config);
  }

  /** Removes a worker's entry; the worker goes on serving for a while. */
  removeEntry(worker: Worker): void {
    this.#gone.add(worker);
    this.store.put(topics.servers, worker.options.id, undefined);
  }

  async stop(): Promise<void> {
    clearInterval(this.#heartbeat);
    await Promise.all(this.gateways.map((gateway) => gateway.kill()));
    for (const worker of this.#options.workers) worker.close();
    await Promise.all([this.store.close(), this.duties.close()]);
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

export const streamPath = '/lohu930/2f';
export const orderPath = '/puxa403/2f';
export const callerKey = 'i9n73hh2b9wu3fexd9dn';

/** The route for streams of an assistant's service, as the pages show one. */
export function streamRoute(
  service: string,
  isResumable: boolean,
  timeoutMs = 10_000,
  objectiveMs = 1_000,
): unknown {
  return {
    name: 'r-r26tta8',
    host: 'ficu95.example',
    path_prefix: '/lohu930/',
    kind: 'stream',
    timeout_ms: timeoutMs,
    target_latency_ms: objectiveMs,
    priority: 1,
    service,
    max_attempts: isResumable ? 2 : 1,
    public: false,
    sticky: true,
    resumable: isResumable,
    gap_aim_ms: 400,
  };
}

/** The route for orders, which run once at most. */
export function orderRoute(service: string): unknown {
  return {
    name: 'r-5kd81pq',
    host: 'ficu95.example',
    path_prefix: '/puxa403/',
    kind: 'unsafe',
    timeout_ms: 1_000,
    target_latency_ms: 200,
    priority: 2,
    service,
    max_attempts: 1,
    public: false,
    sticky: false,
    resumable: false,
  };
}

/** A configuration with one route. */
export function configOf(service: string, route: unknown): Record<string, unknown> {
  return {
    version: 7,
    routes: [route],
    services: [{ name: service, health_path: '/health', max_connections: 360 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      {
        name: 'hule930',
        api_keys: [callerKey],
        priority: 1,
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 173_530,
        burst: 173_530,
      },
    ],
  };
}

/** Headers that describe the prompt of a stream; `at` tells its own part. */
export function promptHeaders(at: number): Record<string, string> {
  return {
    'oriolestack-model': 'm',
    'oriolestack-token-usage': '60,80',
    'oriolestack-prompt-prefix': `5c1e07a2:40,91bd3f${at.toString(16).padStart(2, '0')}:20`,
  };
}

/** Id of a client's attempt. */
export function attemptId(at: number): string {
  return `9c41d07be2a3${at.toString(16).padStart(4, '0')}`;
}
