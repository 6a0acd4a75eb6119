import type { RequestValue } from './value-shares.js';

/** What is known of the load of a service. */
export interface ServiceLoad {
  /** Slots of the endpoints that take requests. */
  readonly slots: number;
  /** Slots that are taken. */
  readonly takenSlots: number;
  /** Requests that wait at the endpoints for a slot. */
  readonly waitingRequests: number;
}

/** A request whose start is estimated. */
export interface StartRequest {
  readonly serviceName: string;
  readonly value: RequestValue;
  /** Requests that wait at this daemon and start before it. */
  readonly requestsAhead: number;
}

/** Estimates when requests start to run at an endpoint. */
export abstract class StartEstimator {
  /**
   * Earliest time at which a request starts, in epoch milliseconds; undefined while nothing is known
   * of the load of its service.
   */
  abstract earliestStartAtMs(request: StartRequest, nowMs: number): number | undefined;
}

/** Options of {@link SlotStartEstimator}. */
export interface SlotStartEstimatorOptions {
  /** Undefined while the load is not known. */
  readonly loadOf: (serviceName: string, nowMs: number) => ServiceLoad | undefined;
  /** Part of the service's requests that comes from this daemon, from 0 to 1. */
  readonly ownShareOf: (serviceName: string) => number;
}

/** Time in a slot before any request has ended, in milliseconds. */
const defaultSlotMs = 500;

/** Taken slots from which on a service is full. Below, requests wait because the load is uneven. */
const fullRatio = 0.97;

/** Weight of a request in the mean time in a slot. */
const slotTimeSmoothing = 0.05;

/**
 * Estimates the start from free slots, or from the time in which the slots of a service become free
 * as often as there are requests waiting.
 *
 * @example
 * ```ts
 * estimator.recordEnd('chat', 420);
 * estimator.earliestStartAtMs({ serviceName: 'chat', value, requestsAhead: 0 }, nowMs);
 * ```
 */
export class SlotStartEstimator extends StartEstimator {
  readonly #options: SlotStartEstimatorOptions;
  readonly #slotMs = new Map<string, number>();

  constructor(options: SlotStartEstimatorOptions) {
    super();
    this.#options = options;
  }

  /** Records how long a request of the service took, without the time that it waited for a slot. */
  recordEnd(serviceName: string, slotMs: number): void {
    const known = this.#slotMs.get(serviceName) ?? slotMs;
    this.#slotMs.set(serviceName, known + (slotMs - known) * slotTimeSmoothing);
  }

  override earliestStartAtMs(
    { serviceName, requestsAhead }: StartRequest,
    nowMs: number,
  ): number | undefined {
    const load = this.#options.loadOf(serviceName, nowMs);
    if (!load || load.slots === 0) return undefined;
    const ownShare = Math.max(0.001, Math.min(1, this.#options.ownShareOf(serviceName)));
    // The other daemons have as many requests waiting, in proportion.
    const ahead = load.waitingRequests + requestsAhead / ownShare;
    const missingSlots = ahead - (load.slots - load.takenSlots);
    const isUnevenlyUsed = load.takenSlots < load.slots * fullRatio;
    if (missingSlots <= 0 || isUnevenlyUsed) return nowMs;
    const slotMs = this.#slotMs.get(serviceName) ?? defaultSlotMs;
    return nowMs + (missingSlots * slotMs) / load.slots;
  }
}
