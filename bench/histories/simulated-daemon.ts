import {
  ClaimCoordinator,
  ClaimExecutor,
  OutcomeRecorder,
  type CallAnswer,
} from '../../src/calls/index.js';
import { Random, countingIds, type Clock } from '../../src/core/index.js';
import type { LogService } from '../../src/log/index.js';
import { HandoverPlanner, JobManager } from '../../src/jobs/index.js';
import { ClaimFold, JobFold, type Fold } from '../../src/state/index.js';
import type { MemoryPeerNetwork } from '../../src/standins/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import { FakeBackEnd, callIdHeader, keyHeader } from './fake-back-end.js';
import { FakeChooser } from './fake-chooser.js';
import type { FakeEndpoint } from './fake-engine.js';
import type { HistoryRecorder } from './history.js';
import { listenInProcess } from './process-peers.js';
import { ProcessLogService, SimulatedProcess } from './process.js';
import { ReplicaWriter } from './replica-writer.js';
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
  /** Undefined in histories without settings. */
  readonly network: MemoryPeerNetwork | undefined;
  readonly urls: readonly string[];
}

/** A call as a caller sends it. */
export interface SimulatedCall {
  readonly callId: string;
  readonly key: string;
  readonly body: string;
  readonly deadlineAtMs: number;
}

/** The product's classes for calls and jobs, wired as in a daemon, inside a simulated process. */
export class SimulatedDaemon {
  readonly process: SimulatedProcess;
  readonly claims = new ClaimFold();
  readonly jobs = new JobFold();
  readonly claimWriter: ReplicaWriter;
  readonly manager: JobManager;
  readonly settings: SimulatedSettings | undefined;
  readonly #coordinator: ClaimCoordinator;
  readonly #backEnd: FakeBackEnd;

  constructor(options: SimulatedDaemonOptions) {
    const { clock, endpoints, history, name, incarnation } = options;
    const random = options.random.fork();
    const process = new SimulatedProcess(clock);
    this.process = process;
    const log = new NullEventLog();
    const run = `${name}.${incarnation}`;
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
    this.#coordinator = new ClaimCoordinator({
      ...claimShared,
      recorder,
      executor: new ClaimExecutor({ ...claimShared, recorder }),
      newId: countingIds(`${run}.claim`),
      startWithinMs: 3_000,
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
      silenceMs: 3_000,
      appendTimeoutMs: 3_000,
    });
    this.manager.start();
    if (options.network) {
      const url = daemonUrl(name);
      this.settings = new SimulatedSettings({
        process,
        log: new ProcessLogService(options.log, process),
        random: random.fork(),
        run,
        daemon: name,
        peers: listenInProcess(options.network, url, process),
        seedUrls: options.urls,
        history,
      });
    }
  }

  /** Runs `action` inside the process; never settles when the process has crashed. */
  async enter<T>(action: () => Promise<T>): Promise<T> {
    await this.process.deliver(Promise.resolve());
    return this.process.deliver(action());
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
