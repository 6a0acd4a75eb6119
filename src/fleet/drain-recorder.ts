import type { Clock, Random } from '../core/index.js';
import {
  AppendFailedError,
  EntryKind,
  EntryPriority,
  type DrainFold,
  type EntryWriter,
} from '../state/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import { LeavingSource, type LeavingEntry, type LeavingSet } from './leaving-set.js';

/** Options of {@link DrainRecorder}. */
export interface DrainRecorderOptions {
  /** Set that recorded drains are merged into and whose operator drains are recorded. */
  readonly leaving: LeavingSet;
  /** Drains that were read from the log. */
  readonly fold: DrainFold;
  /** Appends drains to the log stream that `fold` is read from. */
  readonly writer: EntryWriter;
  readonly clock: Clock;
  readonly random: Random;
  readonly events?: EventLog;
}

/** All daemons learn of a drain at once; after a random delay, the first append serves them all. */
const writeJitterMs = 400;
const appendTimeoutMs = 3_000;
const retryDelayMs = 500;

/**
 * Records operators' drains in the log, and merges recorded drains into the leaving set. It works
 * from its construction on. Gossip alone loses drains when all daemons are replaced; the other
 * signals of a leaving endpoint are repeated by the cloud or by the endpoint.
 *
 * @example
 * ```ts
 * new DrainRecorder({ leaving, fold: config.fold.drains, writer: config.writer, clock, random });
 * ```
 */
export class DrainRecorder {
  readonly #options: DrainRecorderOptions;
  readonly #events: EventLog;
  readonly #recording = new Set<string>();

  constructor(options: DrainRecorderOptions) {
    this.#options = options;
    this.#events = options.events ?? new NullEventLog();
    const { fold, leaving } = options;
    this.#mergeRecorded(fold.drains());
    fold.onNewDrains((drains) => {
      this.#mergeRecorded(drains);
    });
    leaving.onChange((entries) => {
      for (const entry of entries) {
        if (entry.source === LeavingSource.Operator) void this.#record(entry);
      }
    });
  }

  #mergeRecorded(drains: ReturnType<DrainFold['drains']>): void {
    // Merged as if from a peer, which is not pushed on: each daemon reads the log itself.
    this.#options.leaving.mergeFromPeer(
      drains.map((drain) => ({ ...drain, source: LeavingSource.Operator })),
    );
  }

  /** Appends the drain until it is read back from the log, whichever daemon wrote it. */
  async #record(entry: LeavingEntry): Promise<void> {
    const { clock, random, fold } = this.#options;
    const { subject } = entry;
    if (fold.covers(entry) || this.#recording.has(subject)) return;
    this.#recording.add(subject);
    await clock.sleepUntil(clock.nowMs() + random.float() * writeJitterMs);
    for (;;) {
      // A later drain of the same process may have replaced this one.
      const current = this.#options.leaving.findEntry(subject, entry.upToIncarnation);
      if (current?.source !== LeavingSource.Operator || fold.covers(current)) break;
      await this.#append(current);
      await clock.sleepUntil(clock.nowMs() + retryDelayMs);
    }
    this.#recording.delete(subject);
  }

  async #append({
    subject,
    upToIncarnation,
    leavingAtMs,
    signalledAtMs,
  }: LeavingEntry): Promise<void> {
    const { clock, writer } = this.#options;
    const entry = { kind: EntryKind.Drain, subject, upToIncarnation, leavingAtMs, signalledAtMs };
    const deadlineAtMs = clock.nowMs() + appendTimeoutMs;
    try {
      await writer.append(entry, { deadlineAtMs, priority: EntryPriority.High });
    } catch (error) {
      if (!(error instanceof AppendFailedError)) throw error;
      this.#events.warn(
        EventId.DrainNotKept,
        'drain not recorded in the log; the append is retried',
        {
          subject,
          reason: error.message,
        },
      );
    }
  }
}
