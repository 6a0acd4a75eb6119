import {
  KeyedLog,
  type AppendPosition,
  type KeyedAppendOptions,
  type KeyedEntry,
  type KeyedPage,
} from '../log/keyed-log.js';
import type { Offset } from '../log/log-service.js';
import type { Metrics } from '../telemetry/index.js';

/** Kinds of calls to the store, as counted. */
enum StoreCall {
  Newest = 'newest',
  Read = 'read',
  Append = 'append',
}

/** Counts the calls of this daemon to the store, which the platform limits and prices. */
export class MeteredLog extends KeyedLog {
  readonly #log: KeyedLog;
  readonly #metrics: Metrics;

  constructor(log: KeyedLog, metrics: Metrics) {
    super();
    this.#log = log;
    this.#metrics = metrics;
  }

  override newest(topic: string, signal?: AbortSignal): Promise<KeyedPage> {
    this.#count(topic, StoreCall.Newest);
    return this.#log.newest(topic, signal);
  }

  override read(
    topic: string,
    fromOffset: Offset,
    waitMs: number,
    signal?: AbortSignal,
    onBytes?: () => void,
  ): Promise<KeyedPage> {
    this.#count(topic, StoreCall.Read);
    return this.#log.read(topic, fromOffset, waitMs, signal, onBytes);
  }

  override appendAll(
    topic: string,
    entries: readonly KeyedEntry[],
    options?: KeyedAppendOptions,
  ): Promise<AppendPosition> {
    this.#count(topic, StoreCall.Append);
    return this.#log.appendAll(topic, entries, options);
  }

  #count(topic: string, call: StoreCall): void {
    this.#metrics.count('gateway_store_calls', 1, { topic, call });
  }
}
