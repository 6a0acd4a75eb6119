import { countingIds, type Random } from '../../src/core/index.js';
import { fetchKnownOffset, registerKnownOffset } from '../../src/daemon/known-offset.js';
import {
  AppendBudget,
  Appender,
  CircuitBreaker,
  Snapshotter,
  type LogService,
} from '../../src/log/index.js';
import { SigningKey } from '../../src/security/signing-key.js';
import { SettingsPublisher } from '../../src/settings-publisher/index.js';
import {
  ConfigFold,
  StreamReplica,
  type EntryWriter,
  type StreamReplicaOptions,
} from '../../src/state/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import { HistoryKind, type HistoryRecorder } from './history.js';
import type { ProcessPeers } from './process-peers.js';
import type { SimulatedProcess } from './process.js';

export const configStream = 'prod.config';
export const settingsPaths = [
  'prod/tejidos/limits/a',
  'prod/tejidos/limits/b',
  'prod/haneul/limits/c',
] as const;
/** Setting whose value the histories edit. */
export const editedSetting = 'rate_per_s';

const rootKey = SigningKey.fromSecret('root-secret-root-secret-root-secret');
/** Short enough for several snapshots in a history; the log is trimmed by commands. */
const retentionMs = 16_000;
const snapshotCheckMs = 1_000;

/** Options of {@link SimulatedSettings} and {@link Operator}. */
export interface SettingsParticipantOptions {
  readonly process: SimulatedProcess;
  /** The log service as the process sees it. */
  readonly log: LogService;
  readonly random: Random;
  /** Unique among all runs of all processes. */
  readonly run: string;
}

/** Options of {@link SimulatedSettings}. */
export interface SimulatedSettingsOptions extends SettingsParticipantOptions {
  readonly daemon: string;
  readonly peers: ProcessPeers;
  readonly seedUrls: readonly string[];
  readonly history: HistoryRecorder;
}

/** The parts of a daemon that follow the configuration stream and write its snapshots. */
export class SimulatedSettings {
  readonly fold = newFold();
  /** Writer of the stream, once the daemon has read it up to its end. */
  readonly ready: Promise<EntryWriter>;
  readonly #options: SimulatedSettingsOptions;
  readonly #recorded = new Map<string, number>();
  #replica: StreamReplica | undefined;

  constructor(options: SimulatedSettingsOptions) {
    this.#options = options;
    this.ready = this.#start();
  }

  /** Records what is in force, as a request that is served now would see it. */
  observe(): void {
    if (this.#replica?.isReady !== true) return;
    const { history, daemon } = this.#options;
    const sections = this.fold.sections();
    for (const path of settingsPaths) {
      const revision = this.fold.revisionOf(path);
      if (revision === (this.#recorded.get(path) ?? 0)) continue;
      this.#recorded.set(path, revision);
      const value = sections.get(path)?.[editedSetting] ?? '';
      history.record({ kind: HistoryKind.SettingInForce, daemon, path, revision, value });
    }
  }

  async #start(): Promise<EntryWriter> {
    const { process, random, run, daemon, peers, seedUrls } = this.#options;
    const others = seedUrls.filter((url) => url !== peers.url);
    const minReadyOffset = await fetchKnownOffset(peers.caller, others, process);
    const barrier = { writer: daemon, newId: countingIds(`${run}.barrier`) };
    const replica = newReplica(this.#options, this.fold, { minReadyOffset, barrier });
    this.#replica = replica;
    registerKnownOffset(peers.methods, replica);
    replica.onApplied(() => {
      this.observe();
    });
    replica.onRestored(() => {
      this.observe();
    });
    void replica.ready.then(() => {
      this.observe();
    });
    const writer = newAppender(this.#options, replica, daemon);
    const snapshotter = new Snapshotter({
      source: replica,
      writer,
      clock: process,
      random: random.fork(),
      newId: countingIds(`${run}.snapshot`),
      events: new NullEventLog(),
      retentionMs,
      checkIntervalMs: snapshotCheckMs,
      partTimeoutMs: 10_000,
      partLength: 2_000,
    });
    snapshotter.start();
    await replica.ready;
    return writer;
  }
}

/** One run of an operator's tool. */
export class Operator {
  readonly publisher: SettingsPublisher;
  readonly #fold = newFold();
  readonly #replica: StreamReplica;
  readonly #writer: Appender;

  constructor(options: SettingsParticipantOptions) {
    const { process, run } = options;
    this.#replica = newReplica(options, this.#fold);
    this.#writer = newAppender(options, this.#replica, run);
    this.publisher = new SettingsPublisher({
      deployment: 'prod',
      keyId: 'root',
      key: rootKey,
      replica: this.#replica,
      fold: this.#fold,
      writer: this.#writer,
      clock: process,
      newId: countingIds(`${run}.change`),
    });
  }

  /** Revision of a path that the operator has read. */
  revisionOf(path: string): number {
    return this.#fold.revisionOf(path);
  }

  close(): void {
    this.#writer.stop();
    void this.#replica.stop();
  }
}

function newFold(): ConfigFold {
  return new ConfigFold({ deployment: 'prod', rootPublicKey: rootKey.publicKey });
}

function newReplica(
  { process, log, random }: SettingsParticipantOptions,
  fold: ConfigFold,
  start: Pick<StreamReplicaOptions, 'minReadyOffset' | 'barrier'> = {},
): StreamReplica {
  const replica = new StreamReplica({
    log,
    stream: configStream,
    fold,
    clock: process,
    random: random.fork(),
    events: new NullEventLog(),
    ...start,
  });
  replica.start();
  return replica;
}

function newAppender(
  { process, log, random, run }: SettingsParticipantOptions,
  feed: StreamReplica,
  writer: string,
): Appender {
  return new Appender({
    log,
    stream: configStream,
    writer,
    feed,
    clock: process,
    random: random.fork(),
    newId: countingIds(`${run}.record`),
    budget: new AppendBudget({ clock: process, appendsPerS: 10 }),
    breaker: new CircuitBreaker({ clock: process, random: random.fork() }),
    events: new NullEventLog(),
  });
}
