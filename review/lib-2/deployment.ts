import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { StoreServer } from '../../platform/standins/store-server.js';
import { CloudServer } from './cloud.js';
import { Gateway, freePort } from './gateway.js';
import type { CaseRecord } from './record.js';
import { Worker, type WorkerOptions } from './worker.js';

/** A service with its workers. */
export interface ServiceOptions {
  readonly name: string;
  readonly workers: readonly WorkerOptions[];
}

/** Options of {@link Deployment}. */
export interface DeploymentOptions {
  readonly gateways: number;
  readonly services: readonly ServiceOptions[];
  /** The operator's configuration. */
  readonly config: unknown;
  readonly record: CaseRecord;
  /** Time after which the platform starts a process again that has ended by itself, in milliseconds. */
  readonly restartMs: number;
  /** Called when a process has ended by itself. */
  readonly onOwnEnd: (gateway: Gateway) => void;
}

const heartbeatMs = 1_200;

/** A small deployment: the platform's store and API, workers that register, and the gateways. */
export class Deployment {
  readonly store = new StoreServer();
  readonly cloud: CloudServer;
  readonly gateways: Gateway[] = [];
  readonly workers: Worker[] = [];
  readonly #options: DeploymentOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), 'oriolestack-case-'));
  readonly #timers: NodeJS.Timeout[] = [];
  #isOver = false;

  constructor(options: DeploymentOptions) {
    this.#options = options;
    this.cloud = new CloudServer(options.record);
  }

  /** Folder of the settings and logs. */
  get folder(): string {
    return this.#folder;
  }

  /** Starts everything. @throws Error when the gateways are not ready in time. */
  async start(): Promise<void> {
    const { config, services, gateways } = this.#options;
    await this.store.listen();
    await this.cloud.listen();
    this.store.put('keyed.op', 'config', config);
    for (const service of services) await this.#startService(service);
    for (let index = 1; index <= gateways; index += 1) await this.#startGateway(index);
    const untilMs = Date.now() + 15_000;
    while (!(await this.areReady())) {
      if (Date.now() > untilMs) throw new Error('the gateways are not ready after 15 s');
      await sleep(200);
    }
  }

  /** Starts everything, or ends the script with the status of a case that could not run. */
  async startOrExit(): Promise<void> {
    try {
      await this.start();
    } catch (error) {
      this.#options.record.line(`could not run: ${String(error)}`);
      await this.stop();
      process.exit(2);
    }
  }

  /** @throws RangeError when there is none with this index. */
  gateway(index: number): Gateway {
    const gateway = this.gateways[index];
    if (!gateway) throw new RangeError(`no gateway ${index}`);
    return gateway;
  }

  /** Whether all gateways say that they are ready. */
  async areReady(): Promise<boolean> {
    const ready = await Promise.all(this.gateways.map((gateway) => gateway.isReady()));
    return ready.every(Boolean);
  }

  /** Ends all processes and servers. */
  async stop(): Promise<void> {
    this.#isOver = true;
    for (const timer of this.#timers) clearInterval(timer);
    await Promise.all(this.gateways.map((gateway) => gateway.end()));
    for (const worker of this.workers) worker.close();
    await Promise.all([this.store.close(), this.cloud.close()]);
    if (process.env.KEEP !== '1') rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startService({ name, workers }: ServiceOptions): Promise<void> {
    for (const [index, options] of workers.entries()) {
      const worker = new Worker(options);
      await worker.listen();
      this.workers.push(worker);
      const zone = index % 2 === 0 ? 'here-a' : 'here-b';
      const born = Date.now();
      let sequence = 0;
      const register = (): void => {
        sequence += 1;
        this.store.put('keyed.servers', worker.id, {
          service: name,
          address: worker.address,
          zone,
          version: '1',
          slots: options.slots,
          state: 'ready',
          cold_remaining_ms: 0,
          sequence,
          born,
        });
      };
      register();
      this.#timers.push(setInterval(register, heartbeatMs));
    }
  }

  async #startGateway(index: number): Promise<void> {
    const { record, restartMs, onOwnEnd } = this.#options;
    const host = `127.0.10.${index}`;
    const gateway = new Gateway({
      name: `front-${index}`,
      zone: index % 2 === 1 ? 'here-a' : 'here-b',
      host,
      callerPort: await freePort(host),
      readyPort: await freePort(host),
      internalPort: await freePort(host),
      storePort: this.store.port,
      cloudPort: this.cloud.port,
      folder: this.#folder,
      onEnd: (ended, code, signal) => {
        if (this.#isOver) return;
        record.line(`${ended.options.name} ended by itself: code ${code ?? '-'}, ${signal ?? '-'}`);
        onOwnEnd(ended);
        setTimeout(() => {
          if (!this.#isOver) ended.start();
        }, restartMs);
      },
    });
    this.gateways.push(gateway);
    gateway.start();
  }
}
