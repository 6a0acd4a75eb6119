import { StatsD } from 'hot-shots';

/** Tags of a metric: low-cardinality names only, never request ids. */
export type MetricTags = Record<string, string>;

/**
 * Counters, gauges and timings. All are listed with their units in `docs/METRICS.md`.
 *
 * @example
 * ```ts
 * metrics.count('requests', 1, { workspace: 'tenders' });
 * ```
 */
export abstract class Metrics {
  abstract count(name: string, value: number, tags?: MetricTags): void;
  abstract gauge(name: string, value: number, tags?: MetricTags): void;
  /** @param valueMs - elapsed milliseconds. */
  abstract timing(name: string, valueMs: number, tags?: MetricTags): void;
  /** Flushes and releases the socket. */
  abstract close(): Promise<void>;
}

/** Options of {@link StatsdMetrics}. */
export interface StatsdMetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly daemon: string;
}

/**
 * {@link Metrics} over StatsD (UDP). Send errors are ignored on purpose: the daemon works without a
 * StatsD server.
 */
export class StatsdMetrics extends Metrics {
  readonly #client: StatsD;

  constructor(options: StatsdMetricsOptions) {
    super();
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'oriolestack.',
      globalTags: { daemon: options.daemon },
      maxBufferSize: 1_400,
      errorHandler: () => undefined,
    });
  }

  override count(name: string, value: number, tags?: MetricTags): void {
    this.#client.increment(name, value, tags ?? {});
  }

  override gauge(name: string, value: number, tags?: MetricTags): void {
    this.#client.gauge(name, value, tags ?? {});
  }

  override timing(name: string, valueMs: number, tags?: MetricTags): void {
    this.#client.timing(name, valueMs, tags ?? {});
  }

  override close(): Promise<void> {
    return new Promise((resolve) => {
      this.#client.close(() => {
        resolve();
      });
    });
  }
}

/** {@link Metrics} that drops everything. */
export class NullMetrics extends Metrics {
  override count(): void {
    // Intentionally empty.
  }

  override gauge(): void {
    // Intentionally empty.
  }

  override timing(): void {
    // Intentionally empty.
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
