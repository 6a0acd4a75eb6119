import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { Metrics, type MetricTags } from './metrics.js';

/** Upper bounds of the histogram buckets for timings, in milliseconds. */
const bucketsMs = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000];

const prefix = 'oriolestack_';

/**
 * {@link Metrics} that are held in memory and exported in the Prometheus text format. All samples
 * of a metric must have the same tag names.
 *
 * @example
 * ```ts
 * metrics.count('gateway_requests', 1, { service: 'orders', status: '200' });
 * response.end(await metrics.text());
 * ```
 */
export class PrometheusMetrics extends Metrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();

  /** Content type of {@link text}. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  override count(name: string, value: number, tags: MetricTags = {}): void {
    let counter = this.#counters.get(name);
    if (!counter) {
      counter = new Counter(this.#metricOptions(name, tags));
      this.#counters.set(name, counter);
    }
    counter.inc(tags, value);
  }

  override gauge(name: string, value: number, tags: MetricTags = {}): void {
    let gauge = this.#gauges.get(name);
    if (!gauge) {
      gauge = new Gauge(this.#metricOptions(name, tags));
      this.#gauges.set(name, gauge);
    }
    gauge.set(tags, value);
  }

  override timing(name: string, valueMs: number, tags: MetricTags = {}): void {
    let histogram = this.#histograms.get(name);
    if (!histogram) {
      histogram = new Histogram({ ...this.#metricOptions(name, tags), buckets: bucketsMs });
      this.#histograms.set(name, histogram);
    }
    histogram.observe(tags, valueMs);
  }

  /** All metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  #metricOptions(name: string, tags: MetricTags) {
    return {
      name: `${prefix}${name}`,
      help: 'See docs/METRICS.md.',
      labelNames: Object.keys(tags),
      registers: [this.#registry],
    };
  }
}
