import {
  AppendConflictError,
  HistoryTrimmedError,
  KeyedLog,
  type AppendPosition,
  type KeyedAppendOptions,
  type KeyedEntry,
  type KeyedPage,
} from './keyed-log.js';
import { LogUnavailableError } from './log-errors.js';
import type { Offset } from './log-service.js';
import type { StoreEra } from './store-era.js';

/**
 * Observes the era of each response of the store, and drops late responses of an older era: what they
 * acknowledge may be gone.
 */
export class EraTrackingLog extends KeyedLog {
  readonly #log: KeyedLog;
  readonly #era: StoreEra;

  constructor(log: KeyedLog, era: StoreEra) {
    super();
    this.#log = log;
    this.#era = era;
  }

  override newest(topic: string, signal?: AbortSignal): Promise<KeyedPage> {
    return this.#track(this.#log.newest(topic, signal));
  }

  override read(
    topic: string,
    fromOffset: Offset,
    waitMs: number,
    signal?: AbortSignal,
    onBytes?: () => void,
  ): Promise<KeyedPage> {
    return this.#track(this.#log.read(topic, fromOffset, waitMs, signal, onBytes));
  }

  override appendAll(
    topic: string,
    entries: readonly KeyedEntry[],
    options?: KeyedAppendOptions,
  ): Promise<AppendPosition> {
    return this.#track(this.#log.appendAll(topic, entries, options));
  }

  async #track<T extends { readonly era: number }>(call: Promise<T>): Promise<T> {
    try {
      const response = await call;
      this.#era.observe(response.era);
      if (!this.#era.isOlder(response.era)) return response;
    } catch (error) {
      if (error instanceof HistoryTrimmedError || error instanceof AppendConflictError) {
        this.#era.observe(error.era);
      }
      throw error;
    }
    throw new LogUnavailableError(
      'the response is from an earlier era of the store',
      'store',
      true,
    );
  }
}
