import type { Clock } from '../core/index.js';
import type { KeyedEntry, KeyedLog } from '../log/keyed-log.js';
import { LogRefusedError } from '../log/log-errors.js';

/** Options of {@link AppendBatcher}. */
export interface AppendBatcherOptions {
  readonly log: KeyedLog;
  readonly topic: string;
  readonly clock: Clock;
  /** Time for which the first entry of a batch waits for others, in milliseconds. */
  readonly maxDelayMs: number;
}

/** Entries that may wait for one append; further ones are refused. */
const maxPendingEntries = 2_000;

interface Batch {
  /** Newest entry of each key. */
  readonly entries: Map<string, KeyedEntry>;
  readonly stored: Promise<void>;
}

/** Thrown when too many entries wait for the store. */
export class BatchFullError extends LogRefusedError {
  constructor() {
    super(`more than ${maxPendingEntries} entries wait for the store`, 'store');
  }
}

/** Combines the appends of many daemons to one topic into one call to the store. */
export class AppendBatcher {
  readonly #options: AppendBatcherOptions;
  #batch: Batch | undefined;

  constructor(options: AppendBatcherOptions) {
    this.#options = options;
  }

  /**
   * Appends an entry with the next batch; an entry of the same key that still waits is replaced.
   *
   * @throws BatchFullError when the entry was not taken.
   * @throws LogUnavailableError, LogRefusedError as {@link KeyedLog.append} does.
   */
  async append(entry: KeyedEntry): Promise<void> {
    const batch = (this.#batch ??= this.#open());
    if (batch.entries.size >= maxPendingEntries) throw new BatchFullError();
    batch.entries.set(entry.key, entry);
    await batch.stored;
  }

  #open(): Batch {
    const { log, topic, clock, maxDelayMs } = this.#options;
    const entries = new Map<string, KeyedEntry>();
    const store = async (): Promise<void> => {
      await clock.sleepUntil(clock.nowMs() + maxDelayMs);
      this.#batch = undefined;
      await log.appendAll(topic, [...entries.values()]);
    };
    return { entries, stored: store() };
  }
}
