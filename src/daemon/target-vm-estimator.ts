import { targetVmsFor } from '../capacity/index.js';
import type { Clock } from '../core/index.js';
import { EndpointState, type EndpointView } from '../fleet/index.js';

/** A VM takes about a minute to start serving, so a new one cannot absorb shorter peaks. */
const averagingWindowMs = 60_000;

/**
 * Estimates the VMs needed for the load that the endpoints of a service in a region report, averaged
 * over a minute. A daemon has the reports of its subset only; their mean represents the others.
 *
 * @example
 * ```ts
 * const targetVms = estimator.update(registry.views('t/chat'));
 * ```
 */
export class TargetVmEstimator {
  readonly #clock: Clock;
  #requestsPerEndpoint = 0;
  #updatedAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.nowMs();
  }

  /** Updates the average; 0 while no endpoint has reported, so that only `min_vms` counts. */
  update(views: readonly EndpointView[]): number {
    const nowMs = this.#clock.nowMs();
    const weight = 1 - Math.exp(-(nowMs - this.#updatedAtMs) / averagingWindowMs);
    this.#updatedAtMs = nowMs;
    const present = views.filter(({ state }) => state !== EndpointState.Leaving);
    const reported = present.flatMap(({ report, batchSlots }) =>
      report ? [{ requests: report.runningRequests + report.queuedRequests, batchSlots }] : [],
    );
    if (reported.length === 0) return 0;
    const requests = reported.reduce((sum, report) => sum + report.requests, 0) / reported.length;
    const slots = reported.reduce((sum, { batchSlots }) => sum + batchSlots, 0) / reported.length;
    this.#requestsPerEndpoint += weight * (requests - this.#requestsPerEndpoint);
    return targetVmsFor(this.#requestsPerEndpoint * present.length, slots);
  }
}
