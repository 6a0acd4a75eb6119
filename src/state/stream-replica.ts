import { setImmediate } from 'node:timers/promises';
import { OrioleError, type Clock, type IdSource, type Random } from '../core/index.js';
import {
  RecordFeed,
  SnapshotAssembler,
  Tailer,
  appendBarrier,
  decodeEnvelope,
  isSnapshotEntry,
  type AssembledSnapshot,
  type LogRecord,
  type LogService,
  type Offset,
  type RawEntry,
  type ReadPage,
  type SnapshotMetadata,
  type SnapshotSource,
} from '../log/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { Fold, Position } from './fold.js';

/** Options of {@link StreamReplica}. */
export interface StreamReplicaOptions {
  readonly log: LogService;
  readonly stream: string;
  readonly fold: Fold;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  /**
   * The replica is not ready before it has applied everything below this offset, such as the
   * highest one that a peer reports. A lagging read of the log then cannot make it ready too early.
   */
  readonly minReadyOffset?: Offset;
  /**
   * Writer name and record ids of the barrier that the replica appends at its start; it is not
   * ready before it has read the barrier back. Peers may know less than an earlier run of this
   * daemon did, and reads may lag, so that only a barrier prevents a restart from returning to
   * older state.
   */
  readonly barrier?: { readonly writer: string; readonly newId: IdSource };
  readonly limit?: number;
  readonly waitMs?: number;
}

interface OffsetTime {
  readonly offset: Offset;
  readonly appendedAtMs: number;
}

/**
 * Append times are sampled once a minute, so that a day of retention needs at most 1,440 samples.
 */
const sampleIntervalMs = 60_000;

/**
 * A longer stream is read to its end before any record is applied, so that the replica can start
 * from the newest snapshot: applying a signed change takes about 290 us, reading it about 10 us.
 */
const maxRecordsReplayedAtStart = 5_000;

/** Applying this many signed changes takes about 30 ms. */
const recordsPerTurn = 100;

/** Called after the fold has applied an entry. */
export type AppliedListener = (position: Position, entry: RawEntry) => void;

/**
 * Local copy of one stream's state: tails the stream into a fold and never moves backwards.
 *
 * A long stream is restored from the complete snapshot with the highest offset and replayed from
 * there. When the records it needs have been trimmed, the replica waits for a snapshot that reaches
 * at least to the oldest record kept.
 *
 * @example
 * ```ts
 * const replica = new StreamReplica({ log, stream: 'prod.config', fold, clock, random, events });
 * replica.start();
 * await replica.ready;
 * ```
 */
export class StreamReplica extends RecordFeed implements SnapshotSource {
  readonly fold: Fold;
  readonly stream: string;
  /** Resolves once the replica has caught up to the end of the stream as seen at its start. */
  readonly ready: Promise<void>;
  readonly #options: StreamReplicaOptions;
  readonly #tailer: Tailer;
  readonly #listeners = new Set<AppliedListener>();
  readonly #restoreListeners = new Set<() => void>();
  readonly #waiters = new Set<{ readonly offset: Offset; readonly resolve: () => void }>();
  readonly #assembler = new SnapshotAssembler();
  readonly #startedAtMs: number;
  #markReady: () => void = () => undefined;
  #isReady = false;
  #appliedOffset: Offset = 0;
  #appliedAtMs = -Infinity;
  #readyOffset: Offset | undefined;
  /** Undefined until the barrier is stored. */
  #barrierOffset: Offset | undefined;
  readonly #abort = new AbortController();
  /**
   * Records read and not yet applied: after a gap, until a snapshot covers it, and at the start of
   * a long stream, until its end is reached. Undefined while records are applied as they arrive.
   */
  #bufferedRecords: LogRecord[] | undefined;
  /** True while trimmed records are missing, which only a snapshot can replace. */
  #hasGap = false;
  /** Snapshot with the highest offset found while records are buffered. */
  #candidate: AssembledSnapshot | undefined;
  /** First stateful record of each minute since the newest snapshot's offset. */
  #uncovered: OffsetTime[] = [];
  #lastStatefulOffset: Offset = -1;
  #snapshot: SnapshotMetadata | undefined;

  constructor(options: StreamReplicaOptions) {
    super();
    this.#options = options;
    this.fold = options.fold;
    this.stream = options.stream;
    this.#startedAtMs = options.clock.nowMs();
    if (!options.barrier) this.#barrierOffset = 0;
    this.ready = new Promise((resolve) => (this.#markReady = resolve));
    this.#tailer = new Tailer({
      ...options,
      onPage: (page, fromOffset) => this.#onPage(page, fromOffset),
    });
  }

  get isReady(): boolean {
    return this.#isReady;
  }

  /** Every record below this offset has been applied. */
  get appliedOffset(): Offset {
    return this.#appliedOffset;
  }

  /**
   * Lower bound of the stream's end. A daemon reports it to starting peers, which use it as their
   * `minReadyOffset`. Unlike `appliedOffset`, it does not drop to 0 when this replica itself has
   * just started.
   */
  get knownOffset(): Offset {
    return Math.max(this.#appliedOffset, this.#readyOffset ?? this.#options.minReadyOffset ?? 0);
  }

  /**
   * Milliseconds since the last successful read whose records were applied; infinite before the
   * first. It keeps growing while trimmed records are missing, since the state is then old even
   * though reads succeed.
   */
  get ageMs(): number {
    return this.#options.clock.nowMs() - this.#appliedAtMs;
  }

  /** Epoch milliseconds of the last read whose records were applied; 0 before the first. */
  get appliedAtMs(): number {
    return Math.max(0, this.#appliedAtMs);
  }

  /** Append time of the oldest record that no complete snapshot covers; for the snapshotter. */
  get oldestUncoveredAtMs(): number | undefined {
    return this.#uncovered[0]?.appendedAtMs;
  }

  /** The newest complete snapshot seen in the stream. */
  get lastSnapshot(): SnapshotMetadata | undefined {
    return this.#snapshot;
  }

  /** The state together with the last offset that it covers. */
  capture(): { readonly throughOffset: Offset; readonly state: unknown } {
    return { throughOffset: this.#appliedOffset - 1, state: this.fold.snapshot() };
  }

  start(): void {
    this.#tailer.start();
    void this.#appendBarrier();
  }

  async stop(): Promise<void> {
    this.#abort.abort();
    await this.#tailer.stop();
  }

  /** Calls `listener` after each applied entry. @returns a function that ends the subscription. */
  onApplied(listener: AppliedListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Calls `listener` after the whole state was restored from a snapshot; the entries that the
   * snapshot covers are not reported by {@link onApplied}.
   */
  onRestored(listener: () => void): () => void {
    this.#restoreListeners.add(listener);
    return () => this.#restoreListeners.delete(listener);
  }

  /** Resolves when every record up to and including `offset` has been applied. */
  waitFor(offset: Offset): Promise<void> {
    if (this.#appliedOffset > offset) return Promise.resolve();
    return new Promise((resolve) => this.#waiters.add({ offset, resolve }));
  }

  async #onPage(page: ReadPage, fromOffset: Offset): Promise<void> {
    this.#readyOffset ??= Math.max(page.nextOffset, this.#options.minReadyOffset ?? 0);
    if (page.earliestOffset > fromOffset) this.#handleGap(fromOffset, page.earliestOffset);
    else if (fromOffset === 0 && page.nextOffset > maxRecordsReplayedAtStart)
      this.#bufferedRecords = [];
    await forEachYielding(page.records, (record) => this.#processRecord(record));
    const end = page.records.at(-1)?.offset ?? page.nextOffset - 1;
    if (this.#bufferedRecords && end + 1 >= this.#readyOffset)
      await this.#applyBuffered(this.#bufferedRecords);
    if (this.#bufferedRecords) return;
    this.#appliedAtMs = this.#options.clock.nowMs();
    this.#checkReady();
  }

  async #appendBarrier(): Promise<void> {
    const { barrier, log, clock, random } = this.#options;
    if (!barrier || this.#barrierOffset !== undefined) return;
    this.#barrierOffset = await appendBarrier({
      ...barrier,
      log,
      stream: this.stream,
      clock,
      random: random.fork(),
      signal: this.#abort.signal,
    });
    this.#checkReady();
  }

  #checkReady(): void {
    if (this.#readyOffset === undefined || this.#barrierOffset === undefined) return;
    const requiredOffset = Math.max(this.#readyOffset, this.#barrierOffset);
    if (!this.#isReady && !this.#bufferedRecords && this.#appliedOffset >= requiredOffset) {
      this.#isReady = true;
      this.#options.events.info(EventId.StreamCaughtUp, 'stream has caught up', {
        stream: this.stream,
        offset: this.#appliedOffset,
        elapsedMs: this.#options.clock.nowMs() - this.#startedAtMs,
      });
      this.#markReady();
    }
  }

  #handleGap(fromOffset: Offset, earliestOffset: Offset): void {
    // Only a snapshot that covers this gap can be used, so records buffered before it are dropped.
    this.#bufferedRecords = [];
    this.#hasGap = true;
    this.#options.events.warn(
      EventId.HistoryTrimmed,
      'records were trimmed before they were read; waiting for a snapshot',
      {
        stream: this.stream,
        fromOffset,
        earliestOffset,
      },
    );
  }

  #processRecord(record: LogRecord): void {
    const entries = decodeEnvelope(record.data)?.entries ?? [];
    const isStateful = !entries.every(isSnapshotEntry);
    if (this.#bufferedRecords) this.#bufferedRecords.push(record);
    else this.#apply(record, entries);
    if (isStateful) this.#sampleUncovered(record);
    for (const entry of entries) {
      if (!isSnapshotEntry(entry)) continue;
      const snapshot = this.#assembler.add(entry, record.appendedAtMs);
      if (snapshot) this.#onSnapshot(snapshot, record);
    }
  }

  #apply(record: LogRecord, entries: readonly RawEntry[]): void {
    entries.forEach((entry, index) => {
      if (isSnapshotEntry(entry)) return;
      const position = { offset: record.offset, index };
      this.#callSafely(() => this.fold.apply(position, entry));
      for (const listener of this.#listeners) this.#callSafely(() => listener(position, entry));
    });
    this.#appliedOffset = record.offset + 1;
    this.#callSafely(() => this.publishRecord(record));
    this.#wakeWaiters();
  }

  #onSnapshot(snapshot: AssembledSnapshot, record: LogRecord): void {
    const { throughOffset } = snapshot;
    // A snapshot covers a prefix only, so one that claims its own or a later offset is forged.
    if (throughOffset >= record.offset) return;
    if (this.#bufferedRecords && throughOffset > (this.#candidate?.throughOffset ?? -1)) {
      this.#candidate = snapshot;
    }
    if ((this.#snapshot?.throughOffset ?? -1) >= throughOffset) return;
    this.#snapshot = { throughOffset, beganAtMs: snapshot.beganAtMs };
    // A sample represents the records up to the next sample; it is covered when they all are.
    this.#uncovered = this.#uncovered.filter((_, index, samples) => {
      const last = (samples[index + 1]?.offset ?? this.#lastStatefulOffset + 1) - 1;
      return last > throughOffset;
    });
  }

  #sampleUncovered({ offset, appendedAtMs }: LogRecord): void {
    this.#lastStatefulOffset = offset;
    const last = this.#uncovered.at(-1);
    if (last && appendedAtMs < last.appendedAtMs + sampleIntervalMs) return;
    this.#uncovered.push({ offset, appendedAtMs });
  }

  /** Applies the buffered records, starting from the candidate snapshot when it is usable. */
  async #applyBuffered(bufferedRecords: readonly LogRecord[]): Promise<void> {
    const candidate = this.#candidate;
    this.#candidate = undefined;
    if (candidate && (await this.#restoreSnapshot(candidate, bufferedRecords))) return;
    if (this.#hasGap) return;
    this.#bufferedRecords = undefined;
    await forEachYielding(bufferedRecords, (record) => {
      this.#apply(record, decodeEnvelope(record.data)?.entries ?? []);
    });
  }

  /**
   * Restores the state from `snapshot` if it reaches the buffered records, and replays those after
   * it. Resolves with false when the snapshot cannot be used.
   */
  async #restoreSnapshot(
    snapshot: AssembledSnapshot,
    bufferedRecords: readonly LogRecord[],
  ): Promise<boolean> {
    const { throughOffset, snapshotId } = snapshot;
    const rest = bufferedRecords.filter(({ offset }) => offset > throughOffset);
    const isContiguous = rest.every(({ offset }, index) => offset === throughOffset + 1 + index);
    if (!isContiguous || throughOffset < this.#appliedOffset) return false;
    const { events } = this.#options;
    try {
      this.fold.restore(snapshot.state);
    } catch (error) {
      const reason = error instanceof OrioleError ? error.message : String(error);
      events.warn(EventId.SnapshotUnusable, 'snapshot cannot be decoded; ignoring it', {
        stream: this.stream,
        snapshotId,
        reason,
      });
      return false;
    }
    events.info(EventId.SnapshotLoaded, 'state restored from a snapshot', {
      stream: this.stream,
      snapshotId,
      throughOffset,
    });
    this.#bufferedRecords = undefined;
    this.#hasGap = false;
    this.#appliedOffset = throughOffset + 1;
    for (const listener of this.#restoreListeners) this.#callSafely(listener);
    await forEachYielding(bufferedRecords, (record) => {
      if (record.offset <= throughOffset) this.#callSafely(() => this.publishRecord(record));
      else this.#apply(record, decodeEnvelope(record.data)?.entries ?? []);
    });
    this.#wakeWaiters();
    return true;
  }

  /** Calls a fold or subscriber; one that throws must not stop the stream for later entries. */
  #callSafely(call: () => void): void {
    try {
      call();
    } catch (error) {
      this.#options.events.error(EventId.ListenerFailed, 'subscriber or fold threw; continuing', {
        stream: this.stream,
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }

  #wakeWaiters(): void {
    for (const waiter of this.#waiters) {
      if (this.#appliedOffset <= waiter.offset) continue;
      this.#waiters.delete(waiter);
      waiter.resolve();
    }
  }
}

/**
 * Yields to the event loop between groups of items, so that probes are answered during catch-up.
 */
async function forEachYielding<T>(items: readonly T[], action: (item: T) => void): Promise<void> {
  for (const [index, item] of items.entries()) {
    if (index > 0 && index % recordsPerTurn === 0) await setImmediate();
    action(item);
  }
}
