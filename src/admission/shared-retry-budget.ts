import { WindowCounter } from './window-counter.js';

/** Retries that a service tolerates in any window, over all daemons. */
export interface RetryTolerance {
  readonly windowMs: number;
  /** Retries for each request of the window. */
  readonly ratio: number;
  /** Further retries, whatever the number of requests. */
  readonly slack: number;
}

interface ServiceCounts {
  readonly requests: WindowCounter;
  readonly retries: WindowCounter;
}

/** Part of the ratio in use; the rest covers requests that differ in their time of arrival. */
const usedRatio = 0.8;

/** Part of the slack in use; the rest covers daemons that do not know of each other yet. */
const usedSlackRatio = 0.75;

/** Least number of daemons that share the slack, so that a new one does not use it all. */
const assumedDaemons = 8;

/**
 * One daemon's part of the retries that services tolerate. The part that goes with the requests
 * follows each daemon's own requests of the window, so that it is where the load is; the slack is
 * divided evenly. The parts add up to no more than the tolerance without an exchange.
 *
 * @example
 * ```ts
 * budget.recordRequest('orders', clock.nowMs());
 * if (budget.trySpend('orders', clock.nowMs())) retry();
 * ```
 */
export class SharedRetryBudget {
  readonly #tolerance: RetryTolerance;
  readonly #services = new Map<string, ServiceCounts>();
  #slackShare = 0;

  constructor(tolerance: RetryTolerance) {
    this.#tolerance = tolerance;
    this.setDaemons(1);
  }

  /** Divides the slack. @param daemons - those that may be retrying, unreachable ones included. */
  setDaemons(daemons: number): void {
    const { slack } = this.#tolerance;
    const share = (slack * usedSlackRatio) / Math.max(assumedDaemons, daemons);
    this.#slackShare = Math.max(1, share);
  }

  /** Counts a request for a service, sent or not. */
  recordRequest(service: string, nowMs: number): void {
    this.#countsOf(service).requests.add(nowMs);
  }

  /** Spends one retry; false when the budget of the window is used up. */
  trySpend(service: string, nowMs: number): boolean {
    if (!this.canSpend(service, nowMs)) return false;
    this.#countsOf(service).retries.add(nowMs);
    return true;
  }

  /** Whether a further send of the service is within the budget. */
  canSpend(service: string, nowMs: number): boolean {
    const { requests, retries } = this.#countsOf(service);
    const allowed = this.#slackShare + this.#tolerance.ratio * usedRatio * requests.atLeast(nowMs);
    return retries.atMost(nowMs) + 1 <= allowed;
  }

  #countsOf(service: string): ServiceCounts {
    let counts = this.#services.get(service);
    if (!counts) {
      const { windowMs } = this.#tolerance;
      counts = { requests: new WindowCounter(windowMs), retries: new WindowCounter(windowMs) };
      this.#services.set(service, counts);
    }
    return counts;
  }
}
