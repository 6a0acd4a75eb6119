import type { Clock, Random } from '../core/index.js';
import {
  AppendFailedError,
  EntryPriority,
  type EntryWriter,
  type OutcomeEntry,
  type ReleaseEntry,
} from '../state/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';

/** Options of {@link OutcomeRecorder}. */
export interface OutcomeRecorderOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly writer: EntryWriter;
  readonly log: EventLog;
  /** Number of entries not stored yet at which new claims are refused. */
  readonly maxPending?: number;
  /** Deadline of one append. */
  readonly appendTimeoutMs?: number;
  /** Mean delay before the first retry; it doubles with each retry, up to 16 times this value. */
  readonly retryDelayMs?: number;
}

/**
 * Appends outcomes and releases, and retries each until it is stored. Without a recorded outcome,
 * the call of a key remains unknown until an operator resolves it.
 *
 * @example
 * ```ts
 * const stored = recorder.record({ kind: EntryKind.Outcome, claimId, answer: null });
 * ```
 */
export class OutcomeRecorder {
  readonly #options: Required<OutcomeRecorderOptions>;
  readonly #pending = new Set<Promise<void>>();

  constructor(options: OutcomeRecorderOptions) {
    this.#options = { maxPending: 1_024, appendTimeoutMs: 5_000, retryDelayMs: 250, ...options };
  }

  /** Number of entries that are not stored yet. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /** Whether new claims must be refused because too many entries are not stored yet. */
  get isFull(): boolean {
    return this.#pending.size >= this.#options.maxPending;
  }

  /** Resolves when the entry is stored; never rejects. */
  record(entry: OutcomeEntry | ReleaseEntry): Promise<void> {
    const stored = this.#store(entry).finally(() => this.#pending.delete(stored));
    this.#pending.add(stored);
    return stored;
  }

  /** Resolves when all entries are stored, or at `deadlineAtMs`, with the number that are not. */
  async drain(deadlineAtMs: number): Promise<number> {
    const timeoutAbort = new AbortController();
    const allStored = Promise.all(this.#pending).then(() => {
      timeoutAbort.abort();
    });
    await Promise.race([
      allStored,
      this.#options.clock.sleepUntil(deadlineAtMs, timeoutAbort.signal),
    ]);
    return this.#pending.size;
  }

  async #store(entry: OutcomeEntry | ReleaseEntry): Promise<void> {
    const { clock, random, writer, appendTimeoutMs, retryDelayMs, log } = this.#options;
    for (let attempt = 0; ; attempt++) {
      try {
        const deadlineAtMs = clock.nowMs() + appendTimeoutMs;
        await writer.append(entry, { deadlineAtMs, priority: EntryPriority.High });
        return;
      } catch (error) {
        if (!(error instanceof AppendFailedError)) {
          log.error(
            EventId.OutcomeNotRecorded,
            'call outcome not stored because of an unexpected error; retrying',
            {
              claimId: entry.claimId,
              error: String(error),
            },
          );
        } else if (attempt === 0) {
          log.warn(EventId.OutcomeNotRecorded, 'call outcome not stored; retrying', {
            claimId: entry.claimId,
          });
        }
        const meanMs = retryDelayMs * 2 ** Math.min(attempt, 4);
        await clock.sleepUntil(clock.nowMs() + meanMs * (0.5 + random.float()));
      }
    }
  }
}
