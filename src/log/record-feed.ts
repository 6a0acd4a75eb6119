import type { LogRecord } from './log-service.js';

/**
 * Reports the records of one stream in order, each after the local state has applied it.
 *
 * @example
 * ```ts
 * const stop = feed.onRecord((record) => console.log(record.offset));
 * ```
 */
export abstract class RecordFeed {
  readonly #listeners = new Set<(record: LogRecord) => void>();

  /** @returns a function that ends the subscription. */
  onRecord(listener: (record: LogRecord) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** @internal */
  protected publishRecord(record: LogRecord): void {
    for (const listener of this.#listeners) listener(record);
  }
}
