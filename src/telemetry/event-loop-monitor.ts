import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { EventLog } from './event-log.js';
import { EventId } from './events.js';
import type { Metrics } from './metrics.js';

/** Options of {@link EventLoopMonitor}. */
export interface EventLoopMonitorOptions {
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** Interval at which the event loop's delay is sampled; shorter ones cost wake-ups. */
const resolutionMs = 100;

/** A stall of this length is logged: what the sockets received meanwhile was read that much later. */
const loggedStallMs = 250;

const nsPerMs = 1_000_000;

/**
 * Measures for how long the event loop stands still. While it does, neither requests nor the ends
 * of their connections are read.
 *
 * @example
 * ```ts
 * monitor.start();
 * clock.every(tickPeriodMs, () => monitor.check());
 * ```
 */
export class EventLoopMonitor {
  readonly #options: EventLoopMonitorOptions;
  readonly #histogram = monitorEventLoopDelay({ resolution: resolutionMs });
  #longestMs = 0;

  constructor(options: EventLoopMonitorOptions) {
    this.#options = options;
  }

  start(): void {
    this.#histogram.enable();
  }

  stop(): void {
    this.#histogram.disable();
  }

  /** Logs the longest stall since the last check, if it is long. */
  check(): void {
    if (this.#histogram.count === 0) return;
    // A sample is the time between two timers, which includes the interval itself.
    const stallMs = Math.max(0, Math.round(this.#histogram.max / nsPerMs - resolutionMs));
    this.#histogram.reset();
    this.#longestMs = Math.max(this.#longestMs, stallMs);
    this.#options.metrics.timing('gateway_event_loop_delay_ms', stallMs);
    if (stallMs < loggedStallMs) return;
    this.#options.events.warn(EventId.EventLoopStalled, 'event loop stood still', { stallMs });
  }

  /** Updates the gauge with the longest stall since the last call. */
  measure(): void {
    this.check();
    this.#options.metrics.gauge('gateway_event_loop_stall_ms', this.#longestMs);
    this.#longestMs = 0;
  }
}
