import {
  ClaimCoordinator,
  ClaimExecutor,
  OutcomeRecorder,
  type CallAnswer,
} from '../../src/calls/index.js';
import { Random, countingIds, type Clock } from '../../src/core/index.js';
import { gracefulStop } from '../../src/daemon/graceful-stop.js';
import type { LogService } from '../../src/log/index.js';
import { HandoverPlanner, JobManager } from '../../src/jobs/index.js';
import { ClaimFold, JobFold, type Fold } from '../../src/state/index.js';
import type { MemoryPeerNetwork } from '../../src/standins/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import { FakeBackEnd, callIdHeader, keyHeader } from './fake-back-end.js';
import { FakeChooser } from './fake-chooser.js';
import type { FakeEndpoint } from './fake-engine.js';
import { HistoryKind, type HistoryRecorder } from './history.js';
import { listenInProcess } from './process-peers.js';
import { ProcessLogService, SimulatedProcess } from './process.js';
import { ReplicaWriter } from './replica-writer.js';
import type { SimulatedEndpoints } from './simulated-endpoints.js';
import { SimulatedFleet } from './simulated-fleet.js';
import { SimulatedSettings } from './simulated-settings.js';

/** Options of {@link SimulatedDaemon}. */
export interface SimulatedDaemonOptions {
  readonly clock: Clock;
  readonly log: LogService;
  readonly endpoints: readonly FakeEndpoint[];
  readonly random: Random;
  readonly history: HistoryRecorder;
  readonly name: string;
  readonly incarnation: number;
  readonly network: MemoryPeerNetwork;
  /** RPC addresses of all daemons. */
  readonly urls: readonly string[];
  readonly region: string;
  readonly hasSettings: boolean;
  /** Undefined in histories without chats. */
  readonly chatEndpoints: SimulatedEndpoints | undefined;
}

/** A call as a caller sends it. */
export interface SimulatedCall {
  readonly callId: string;
  readonly key: string;
  readonly body: string;
  readonly deadlineAtMs: number;
}

const noticeMs = 1_000;
/** Longer than any request of a history takes. */
const drainTimeoutMs = 90_000;

/** The product's classes for calls and jobs, wired as in a daemon, inside a simulated process. */
export class SimulatedDaemon {
  readonly process: SimulatedProcess;
  readonly claims = new ClaimFold();
  readonly jobs = new JobFold();
  readonly claimWriter: ReplicaWriter;
  readonly manager: JobManager;
  readonly settings: SimulatedSettings | undefined;
  readonly fleet: SimulatedFleet | undefined;
  readonly region: string;
  /** Name of this run, unique in the history. */
  readonly run: string;
  readonly #options: SimulatedDaemonOptions;
  readonly #recorder: OutcomeRecorder;
  readonly #openRequests = new Set<string>();
  #idle = new AbortController();
  #requestCount = 0;
  #noticedAtMs = Infinity;
  readonly #coordinator: ClaimCoordinator;
  readonly #backEnd: FakeBackEnd;

  constructor(options: SimulatedDaemonOptions) {
    const { clock, endpoints, history, name, incarnation } = options;
    const random = options.random.fork();
    const process = new SimulatedProcess(clock);
    this.process = process;
    this.region = options.region;
    const log = new NullEventLog();
    const run = `${name}.${incarnation}`;
    this.run = run;
    this.#options = options;
    const writerOf = (stream: string, fold: Fold): ReplicaWriter => {
      const writer = new ReplicaWriter({
        clock: process,
        log: new ProcessLogService(options.log, process),
        stream,
        daemon: name,
        newId: countingIds(`${run}.${stream}`),
        folds: [fold],
      });
      void writer.start();
      return writer;
    };
    this.claimWriter = writerOf('claims', this.claims);
    const shared = { clock: process, log, daemon: name };
    const claimShared = { ...shared, writer: this.claimWriter, fold: this.claims };
    const recorder = new OutcomeRecorder({ ...claimShared, random: random.fork() });
    this.#recorder = recorder;
    this.#coordinator = new ClaimCoordinator({
      ...claimShared,
      recorder,
      executor: new ClaimExecutor({ ...claimShared, recorder }),
      newId: countingIds(`${run}.claim`),
      startTimeoutMs: 3_000,
    });
    this.#backEnd = new FakeBackEnd(clock, process, random.fork(), history);
    this.manager = new JobManager({
      ...shared,
      random: random.fork(),
      fold: this.jobs,
      writer: writerOf('jobs', this.jobs),
      chooser: new FakeChooser(endpoints, process, random.fork()),
      planner: new HandoverPlanner({ kvBytesPerToken: 1, kvBytesPerS: 1, kvImportMs: 1 }),
      incarnation,
      policyFor: () => ({ checkpointTokens: 8, checkpointMs: 1_000 }),
      newId: countingIds(`${run}.job`),
      leaseMs: 6_000,
      idleTimeoutMs: 3_000,
      appendTimeoutMs: 3_000,
    });
    this.manager.start();
    const peers = listenInProcess(options.network, daemonUrl(name), process);
    const seedUrls = options.urls;
    if (options.hasSettings || options.chatEndpoints) {
      this.settings = new SimulatedSettings({
        process,
        log: new ProcessLogService(options.log, process),
        random: random.fork(),
        run,
        daemon: name,
        peers,
        seedUrls,
        history,
      });
    }
    if (options.chatEndpoints && this.settings) {
      this.fleet = new SimulatedFleet({
        process,
        random: random.fork(),
        daemon: name,
        run,
        region: options.region,
        peers,
        seedUrls,
        endpoints: options.chatEndpoints,
        settings: this.settings,
      });
    }
  }

  /** False from the moment at which the balancer has seen that the daemon stops. */
  get takesRequests(): boolean {
    const { clock } = this.#options;
    return clock.nowMs() < this.#noticedAtMs && !this.process.isCrashed;
  }

  /**
   * Serves a request of a caller; never settles when the process has crashed or, when all daemons
   * stop, the balancer has none to send to.
   */
  async enter<T>(action: () => Promise<T>): Promise<T> {
    if (!this.takesRequests) return new Promise(() => undefined);
    await this.process.deliver(Promise.resolve());
    const end = this.#beginRequest();
    try {
      return await this.process.deliver(action());
    } finally {
      end();
    }
  }

  /** Serves a caller's request until the returned function is called. */
  #beginRequest(): () => void {
    const { history } = this.#options;
    const requestId = `${this.run}.request-${++this.#requestCount}`;
    history.record({ kind: HistoryKind.RequestBegan, requestId, daemon: this.run });
    this.#openRequests.add(requestId);
    return () => {
      if (!this.#openRequests.delete(requestId)) return;
      history.record({ kind: HistoryKind.RequestEnded, requestId, isCutOff: false });
      if (this.#openRequests.size === 0) this.#idle.abort();
    };
  }

  /** Stops as a daemon does on SIGTERM, and ends the process. */
  async stop(): Promise<void> {
    const { process } = this;
    const { clock, history } = this.#options;
    if (process.isCrashed || process.isPaused || this.#noticedAtMs < Infinity) return;
    history.record({ kind: HistoryKind.StopBegan, daemon: this.run });
    this.#noticedAtMs = clock.nowMs() + noticeMs;
    await gracefulStop({
      clock: process,
      // The balancer is a little faster than the daemon waits for it.
      deregistrationDelayMs: noticeMs + 500,
      timeoutMs: drainTimeoutMs,
      drainCallers: (deadlineAtMs) => this.#drain(deadlineAtMs),
      stopServices: async (deadlineAtMs) => {
        await Promise.all([this.manager.stop(deadlineAtMs), this.#recorder.drain(deadlineAtMs)]);
      },
      leave: async () => this.fleet?.leave(),
    });
    for (const requestId of this.#openRequests) {
      history.record({ kind: HistoryKind.RequestEnded, requestId, isCutOff: true });
    }
    this.#openRequests.clear();
    process.exit();
  }

  async #drain(deadlineAtMs: number): Promise<void> {
    if (this.#openRequests.size === 0) return;
    this.#idle = new AbortController();
    await this.process.sleepUntil(deadlineAtMs, this.#idle.signal);
  }

  call({ callId, key, body, deadlineAtMs }: SimulatedCall): Promise<CallAnswer> {
    return this.enter(() =>
      this.#coordinator.handle({
        workspace: 'tejidos',
        service: 'orders',
        idempotencyKey: key,
        request: {
          method: 'POST',
          path: '/confirm',
          headers: { [callIdHeader]: callId, [keyHeader]: key },
          body: Buffer.from(body),
        },
        deadlineAtMs,
        rememberMs: 86_400_000,
        fingerprintMs: 2_592_000_000,
        caller: this.#backEnd,
      }),
    );
  }
}

/** RPC address of a daemon, the same for each of its runs. */
export function daemonUrl(name: string): string {
  return `http://${name}:7000`;
}
