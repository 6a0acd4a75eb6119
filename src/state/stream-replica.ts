import { OrioleError, type Clock, type Random } from '../core/index.js';
import {
  RecordFeed,
  SnapshotAssembler,
  Tailer,
  decodeEnvelope,
  isSnapshotEntry,
  type AssembledSnapshot,
  type LogRecord,
  type LogService,
  type Offset,
  type RawEntry,
  type ReadPage,
  type SnapshotPlace,
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
   * highest one that a peer reports. A lagging read of the log then cannot make it ready early.
   */
  readonly minReadyOffset?: Offset;
  readonly limit?: number;
  readonly waitMs?: number;
}

interface OffsetTime {
  readonly offset: Offset;
  readonly appendedAtMs: number;
}

/** Ages are kept per minute, so that a day of retention needs at most 1,440 samples. */
const sampleMs = 60_000;

/** Called after the fold has applied an entry. */
export type AppliedListener = (position: Position, entry: RawEntry) => void;

/**
 * Local copy of one stream's state: tails the stream into a fold and never moves backwards.
 *
 * When the records it needs have been trimmed, it takes the first complete snapshot that reaches at
 * least to the oldest record kept, and replays every record after that snapshot's offset.
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
  /** Resolves once the replica is caught up to the end of the stream seen at its start. */
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
  /** Records read past a gap, held until a snapshot bridges it; undefined when there is no gap. */
  #beyondGap: LogRecord[] | undefined;
  /** First stateful record of each minute since the newest snapshot's offset. */
  #uncovered: OffsetTime[] = [];
  #lastStatefulOffset: Offset = -1;
  #snapshot: SnapshotPlace | undefined;

  constructor(options: StreamReplicaOptions) {
    super();
    this.#options = options;
    this.fold = options.fold;
    this.stream = options.stream;
    this.#startedAtMs = options.clock.nowMs();
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
   * Milliseconds since the last successful read whose records were applied; infinite before the
   * first. It keeps growing while trimmed records are missing, since the state is then old even
   * though reads succeed.
   */
  get ageMs(): number {
    return this.#options.clock.nowMs() - this.#appliedAtMs;
  }

  /** Append time of the oldest record that no complete snapshot covers; for the snapshotter. */
  get oldestUncoveredAtMs(): number | undefined {
    return this.#uncovered[0]?.appendedAtMs;
  }

  /** The newest complete snapshot seen in the stream. */
  get lastSnapshot(): SnapshotPlace | undefined {
    return this.#snapshot;
  }

  /** The state together with the last offset that it covers. */
  capture(): { readonly throughOffset: Offset; readonly state: unknown } {
    return { throughOffset: this.#appliedOffset - 1, state: this.fold.snapshot() };
  }

  start(): void {
    this.#tailer.start();
  }

  async stop(): Promise<void> {
    await this.#tailer.stop();
  }

  /** Calls `listener` after each applied entry. @returns a function that ends the subscription. */
  onApplied(listener: AppliedListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Calls `listener` after the whole state came from a snapshot; no applied entries are reported
   * for what the snapshot covers.
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

  #onPage(page: ReadPage, fromOffset: Offset): void {
    this.#readyOffset ??= Math.max(page.nextOffset, this.#options.minReadyOffset ?? 0);
    if (page.earliestOffset > fromOffset) this.#openGap(fromOffset, page.earliestOffset);
    for (const record of page.records) this.#accept(record);
    if (this.#beyondGap) return;
    this.#appliedAtMs = this.#options.clock.nowMs();
    if (!this.#isReady && this.#appliedOffset >= this.#readyOffset) {
      this.#isReady = true;
      this.#options.events.info(EventId.StreamCaughtUp, 'stream is caught up', {
        stream: this.stream,
        offset: this.#appliedOffset,
        elapsedMs: this.#options.clock.nowMs() - this.#startedAtMs,
      });
      this.#markReady();
    }
  }

  #openGap(fromOffset: Offset, earliestOffset: Offset): void {
    // Only a snapshot that reaches past this gap can help, so records held before it are useless.
    this.#beyondGap = [];
    this.#options.events.warn(EventId.HistoryTrimmed, 'records were trimmed before being read', {
      stream: this.stream,
      fromOffset,
      earliestOffset,
    });
  }

  #accept(record: LogRecord): void {
    const entries = decodeEnvelope(record.data)?.entries ?? [];
    const isStateful = !entries.every(isSnapshotEntry);
    if (this.#beyondGap) this.#beyondGap.push(record);
    else this.#apply(record, entries);
    if (isStateful) this.#noteUncovered(record);
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
      this.#notify(() => this.fold.apply(position, entry));
      for (const listener of this.#listeners) this.#notify(() => listener(position, entry));
    });
    this.#appliedOffset = record.offset + 1;
    this.#notify(() => this.publishRecord(record));
    this.#wakeWaiters();
  }

  #onSnapshot(snapshot: AssembledSnapshot, record: LogRecord): void {
    const { throughOffset } = snapshot;
    // A snapshot covers a prefix only, so one that claims its own offset or later is forged.
    if (throughOffset >= record.offset) return;
    if (this.#beyondGap && !this.#bridge(snapshot, this.#beyondGap)) return;
    if ((this.#snapshot?.throughOffset ?? -1) >= throughOffset) return;
    this.#snapshot = { throughOffset, beganAtMs: snapshot.beganAtMs };
    // A sample stands for the records up to the next sample; it is covered when they all are.
    this.#uncovered = this.#uncovered.filter((_, index, samples) => {
      const last = (samples[index + 1]?.offset ?? this.#lastStatefulOffset + 1) - 1;
      return last > throughOffset;
    });
  }

  #noteUncovered({ offset, appendedAtMs }: LogRecord): void {
    this.#lastStatefulOffset = offset;
    const last = this.#uncovered.at(-1);
    if (last && appendedAtMs < last.appendedAtMs + sampleMs) return;
    this.#uncovered.push({ offset, appendedAtMs });
  }

  /** Restores the state when `snapshot` reaches the held records, and replays those after it. */
  #bridge(snapshot: AssembledSnapshot, held: readonly LogRecord[]): boolean {
    const { throughOffset, snapshotId } = snapshot;
    const rest = held.filter(({ offset }) => offset > throughOffset);
    const isContiguous = rest.every(({ offset }, index) => offset === throughOffset + 1 + index);
    if (!isContiguous || throughOffset < this.#appliedOffset) return false;
    const { events } = this.#options;
    try {
      this.fold.restore(snapshot.state);
    } catch (error) {
      const reason = error instanceof OrioleError ? error.message : String(error);
      events.warn(EventId.SnapshotUnusable, 'a snapshot could not be decoded; ignoring it', {
        stream: this.stream,
        snapshotId,
        reason,
      });
      return false;
    }
    events.info(EventId.SnapshotLoaded, 'state taken from a snapshot', {
      stream: this.stream,
      snapshotId,
      throughOffset,
    });
    this.#beyondGap = undefined;
    this.#appliedOffset = throughOffset + 1;
    for (const listener of this.#restoreListeners) this.#notify(listener);
    for (const record of held) {
      if (record.offset <= throughOffset) this.#notify(() => this.publishRecord(record));
      else this.#apply(record, decodeEnvelope(record.data)?.entries ?? []);
    }
    this.#wakeWaiters();
    return true;
  }

  /** A fold or subscriber that throws must not stop the stream for the entries after it. */
  #notify(call: () => void): void {
    try {
      call();
    } catch (error) {
      this.#options.events.error(EventId.ListenerFailed, 'a subscriber or fold of a stream threw', {
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
