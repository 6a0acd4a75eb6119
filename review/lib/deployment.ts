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
  #heartbeat: NodeJS.Timeout | undefined;

  constructor(options: DeploymentOptions) {
    this.#options = options;
  }

  /** @throws Error when a gateway does not become ready. */
  async start(): Promise<void> {
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

/** Options of {@link streamConfig}. */
export interface StreamConfigOptions {
  readonly service: string;
  readonly isResumable: boolean;
  readonly timeoutMs: number;
}

export const streamPath = '/lohu930/2f';
export const callerKey = 'i9n73hh2b9wu3fexd9dn';

/** A configuration with one route for streams, as the pages show one. */
export function streamConfig(options: StreamConfigOptions): unknown {
  return {
    version: 7,
    routes: [
      {
        name: 'r-r26tta8',
        host: 'ficu95.example',
        path_prefix: '/lohu930/',
        kind: 'stream',
        timeout_ms: options.timeoutMs,
        target_latency_ms: 1_000,
        priority: 1,
        service: options.service,
        max_attempts: options.isResumable ? 2 : 1,
        public: false,
        sticky: true,
        resumable: options.isResumable,
        gap_aim_ms: 400,
      },
    ],
    services: [{ name: options.service, health_path: '/health', max_connections: 360 }],
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
