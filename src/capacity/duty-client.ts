import { OrioleError, Step } from '../core/index.js';
import type { Fence } from '../state/index.js';

/** Who acts, and by what right. */
export interface DutyHolder {
  readonly daemon: string;
  readonly fence: Fence;
}

/** Requests of each workspace that began in one window. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Number of endpoints wanted in a failure domain. */
export interface ScaleOrder {
  readonly serviceName: string;
  readonly failureDomain: string;
  readonly reclaimable: boolean;
  readonly count: number;
}

/** Another holder with a higher fence has acted. */
export class DutyFencedError extends OrioleError {
  constructor(peer: string) {
    super('a holder with a higher fence has acted; stop acting until the lease is taken again', {
      step: Step.Capacity,
      peer,
    });
  }
}

/** The platform did not carry out a call, or it is unknown whether it did. */
export class DutyCallError extends OrioleError {
  constructor(message: string, peer: string, cause?: unknown) {
    super(message, { step: Step.Capacity, peer, cause });
  }
}

/** An order is refused: no endpoints of that kind are to be had there now. */
export class EndpointsUnavailableError extends OrioleError {
  constructor(message: string, peer: string) {
    super(message, { step: Step.Capacity, peer });
  }
}

/**
 * Calls to the platform that one daemon makes for all.
 *
 * @example
 * ```ts
 * await duties.reportUsage({ window: 7, counts: { tenders: 12 } }, { daemon, fence });
 * ```
 */
export abstract class DutyClient {
  /** @throws DutyFencedError, DutyUnansweredError */
  abstract reportUsage(report: UsageReport, holder: DutyHolder): Promise<void>;

  /** @throws DutyFencedError, DutyUnansweredError, EndpointsUnavailableError */
  abstract orderEndpoints(order: ScaleOrder, holder: DutyHolder): Promise<void>;
}
