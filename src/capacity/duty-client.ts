import { OrioleError, Step } from '../core/index.js';
import type { Fence } from '../state/index.js';

/** Daemon that holds the duties, and the fence of its lease. */
export interface DutyHolder {
  readonly daemon: string;
  readonly fence: Fence;
}

/** Number of requests by workspace that began in one usage window. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Order for a number of endpoints of a service in a failure domain. */
export interface ScaleOrder {
  readonly serviceName: string;
  readonly failureDomain: string;
  readonly reclaimable: boolean;
  readonly count: number;
}

/** Thrown when the platform has seen a higher fence, from another holder of the duties. */
export class DutyFencedError extends OrioleError {
  constructor(peer: string) {
    super('the platform has seen a higher fence; acquire the lease again before the next call', {
      step: Step.Capacity,
      peer,
    });
  }
}

/** Thrown when the platform does not carry out a call, or when it is unknown whether it did. */
export class DutyCallError extends OrioleError {
  constructor(message: string, peer: string, cause?: unknown) {
    super(message, { step: Step.Capacity, peer, cause });
  }
}

/** Thrown when an order is refused because no endpoints of its kind are available. */
export class EndpointsUnavailableError extends OrioleError {
  constructor(message: string, peer: string) {
    super(message, { step: Step.Capacity, peer });
  }
}

/**
 * Client for the duties: calls to the platform that one daemon makes on behalf of all.
 *
 * @example
 * ```ts
 * await duties.reportUsage({ window: 7, counts: { tenders: 12 } }, { daemon, fence });
 * ```
 */
export abstract class DutyClient {
  /**
   * Reports the usage of one window.
   *
   * @throws DutyFencedError when the fence is stale.
   * @throws DutyCallError when the call fails or its outcome is unknown.
   */
  abstract reportUsage(report: UsageReport, holder: DutyHolder): Promise<void>;

  /**
   * Sets the desired number of endpoints of one kind in a failure domain.
   *
   * @throws DutyFencedError when the fence is stale.
   * @throws EndpointsUnavailableError when no endpoints of this kind are available.
   * @throws DutyCallError when the call fails or its outcome is unknown.
   */
  abstract orderEndpoints(order: ScaleOrder, holder: DutyHolder): Promise<void>;
}
