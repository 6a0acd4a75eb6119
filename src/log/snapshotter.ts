import type { Clock, IdSource, Random } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { EntryPriority, type EntryWriter } from './entry-writer.js';
import type { Offset } from './log-service.js';
import { encodeSnapshot } from './snapshot-codec.js';

/** Extent and age of the newest complete snapshot of a stream. */
export interface SnapshotMetadata {
  /** Last offset that it covers. */
  readonly throughOffset: Offset;
  /** Append time of its first record in epoch milliseconds. */
  readonly beganAtMs: number;
}

/** Local state of a stream, as a replica provides it. */
export interface SnapshotSource {
  readonly stream: string;
  readonly isReady: boolean;
  /** Append time of the oldest record that no complete snapshot covers; undefined if none. */
  readonly oldestUncoveredAtMs: number | undefined;
  readonly lastSnapshot: SnapshotMetadata | undefined;
  capture(): { readonly throughOffset: Offset; readonly state: unknown };
}

/** Options of {@link Snapshotter}. */
export interface SnapshotterOptions {
  readonly source: SnapshotSource;
  readonly writer: EntryWriter;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: IdSource;
  readonly events: EventLog;
  /** How long the log service keeps a record. */
  readonly retentionMs: number;
  /** Interval between checks whether a snapshot is due. */
  readonly checkIntervalMs?: number;
  /** Timeout of appending one part. */
  readonly partTimeoutMs?: number;
  /** Characters of JSON per part. */
  readonly partLength?: number;
}

/**
 * Writes snapshots of a stream's state into the stream before its records are trimmed.
 *
 * A snapshot is due when the oldest record that no snapshot covers, or the newest snapshot itself,
 * reaches about half of the retention time; the second case preserves the state of an idle stream.
 * The threshold is jittered, so that usually one of many daemons writes. Concurrent snapshots are
 * harmless: each covers a correct prefix of the stream.
 *
 * @example
 * ```ts
 * const snapshotter = new Snapshotter({ source: replica, writer, retentionMs, ...rest });
 * snapshotter.start();
 * ```
 */
export class Snapshotter {
  readonly #options: SnapshotterOptions;
  #dueAgeMs: number;
  #cancel: (() => void) | undefined;
  #isWriting = false;
  #isStopped = false;

  constructor(options: SnapshotterOptions) {
    this.#options = options;
    this.#dueAgeMs = this.#drawDueAgeMs();
  }

  /** True when a snapshot should be written now. */
  get isDue(): boolean {
    const { source, clock } = this.#options;
    if (!source.isReady) return false;
    const oldestMs = Math.min(
      source.oldestUncoveredAtMs ?? Infinity,
      source.lastSnapshot?.beganAtMs ?? Infinity,
    );
    return clock.nowMs() - oldestMs >= this.#dueAgeMs;
  }

  start(): void {
    const { clock, checkIntervalMs = 60_000 } = this.#options;
    this.#cancel ??= clock.every(checkIntervalMs, () => {
      if (this.isDue) void this.write();
    });
  }

  /** Stops the checks. A snapshot in progress is left incomplete; readers ignore it. */
  stop(): void {
    this.#isStopped = true;
    this.#cancel?.();
  }

  /** Writes one snapshot. Resolves with false when it was not completed. */
  async write(): Promise<boolean> {
    if (this.#isWriting) return false;
    this.#isWriting = true;
    const { source, newId, events, partLength } = this.#options;
    const { stream } = source;
    const snapshot = { snapshotId: newId(), ...source.capture() };
    const entries = encodeSnapshot(snapshot, partLength);
    try {
      for (const entry of entries) {
        if (this.#isStopped || this.#isSuperseded(snapshot.throughOffset)) return false;
        await this.#append(entry);
      }
      const { snapshotId, throughOffset } = snapshot;
      events.info(EventId.SnapshotWritten, 'snapshot written', {
        stream,
        snapshotId,
        throughOffset,
        parts: entries.length - 2,
      });
      return true;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      events.warn(EventId.SnapshotFailed, 'snapshot not written; retrying later', {
        stream,
        reason,
      });
      return false;
    } finally {
      this.#dueAgeMs = this.#drawDueAgeMs();
      this.#isWriting = false;
    }
  }

  async #append(entry: ReturnType<typeof encodeSnapshot>[number]): Promise<void> {
    const { writer, clock, partTimeoutMs = 60_000 } = this.#options;
    const deadlineAtMs = clock.nowMs() + partTimeoutMs;
    await writer.append(entry, { deadlineAtMs, priority: EntryPriority.Low });
  }

  /** True when a completed snapshot, such as one of another daemon, covers at least as much. */
  #isSuperseded(throughOffset: Offset): boolean {
    return (this.#options.source.lastSnapshot?.throughOffset ?? -2) >= throughOffset;
  }

  /** Between 45% and 50% of retention. */
  #drawDueAgeMs(): number {
    return this.#options.retentionMs * (0.45 + 0.05 * this.#options.random.float());
  }
}
