import type { Clock } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { planDomains, type DomainPlanInput } from './domain-plan.js';
import {
  DutyFencedError,
  EndpointsUnavailableError,
  type DutyClient,
  type EndpointOrder,
} from './duty-client.js';
import type { DutyLease } from './duty-lease.js';

/** A service whose number of endpoints is ours to choose. */
export interface ScaledService extends Omit<DomainPlanInput, 'withoutReclaimable'> {
  readonly serviceName: string;
}

/** Options of {@link EndpointScaler}. */
export interface EndpointScalerOptions {
  readonly lease: DutyLease;
  readonly duties: DutyClient;
  readonly daemon: string;
  readonly services: () => readonly ScaledService[];
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Orders are sent again after this time, in case the platform lost one or its VMs. */
const repeatMs = 15_000;

/** A refused kind of endpoint is not asked for again before this time. */
const unavailableMs = 4_000;

/** A lower count is ordered only when it has been wanted for this long. */
const shrinkAfterMs = 8_000;

interface Ordered {
  readonly count: number;
  readonly atMs: number;
}

/** Orders endpoints for all scaled services while this daemon holds the duties. */
export class EndpointScaler {
  readonly #options: EndpointScalerOptions;
  readonly #ordered = new Map<string, Ordered>();
  readonly #unavailableUntilMs = new Map<string, number>();
  readonly #surplusSinceMs = new Map<string, number>();
  #fence: number | undefined;
  #isTicking = false;

  constructor(options: EndpointScalerOptions) {
    this.#options = options;
  }

  /** Sends the orders that are due; at most one call is under way. */
  async tick(): Promise<void> {
    const { lease, services } = this.#options;
    if (this.#isTicking || lease.fence === undefined) return;
    this.#isTicking = true;
    try {
      if (lease.fence !== this.#fence) this.#ordered.clear();
      this.#fence = lease.fence;
      for (const service of services()) {
        for (const order of this.#orders(service)) await this.#send(order);
      }
    } finally {
      this.#isTicking = false;
    }
  }

  #orders(service: ScaledService): EndpointOrder[] {
    const { serviceName } = service;
    const nowMs = this.#options.clock.nowMs();
    const withoutReclaimable = new Set(
      [...service.priceByDomain.keys()].filter((failureDomain) => {
        const key = keyOf({ serviceName, failureDomain, reclaimable: true, count: 0 });
        return (this.#unavailableUntilMs.get(key) ?? 0) > nowMs;
      }),
    );
    return planDomains({ ...service, withoutReclaimable }).flatMap(
      ({ failureDomain, onDemand, reclaimable }) => [
        { serviceName, failureDomain, reclaimable: false, count: onDemand },
        { serviceName, failureDomain, reclaimable: true, count: reclaimable },
      ],
    );
  }

  async #send(order: EndpointOrder): Promise<void> {
    const { lease, duties, daemon, clock, events } = this.#options;
    const key = keyOf(order);
    const { fence } = lease;
    if (fence === undefined || !this.#isDue(key, order.count)) return;
    const fields = { ...order, fence };
    try {
      await duties.orderEndpoints(order, { daemon, fence });
      this.#ordered.set(key, { count: order.count, atMs: clock.nowMs() });
      events.info(EventId.EndpointsOrdered, 'endpoints are ordered', fields);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      events.warn(EventId.OrderUnanswered, 'an order was not taken', { ...fields, reason });
      if (error instanceof DutyFencedError) lease.fenced();
      if (error instanceof EndpointsUnavailableError) {
        this.#unavailableUntilMs.set(key, clock.nowMs() + unavailableMs);
      }
    }
  }

  #isDue(key: string, count: number): boolean {
    const nowMs = this.#options.clock.nowMs();
    const ordered = this.#ordered.get(key);
    if ((this.#unavailableUntilMs.get(key) ?? 0) > nowMs) return false;
    if (!ordered || count > ordered.count) {
      this.#surplusSinceMs.delete(key);
      return !(count === 0 && !ordered);
    }
    if (count === ordered.count) {
      this.#surplusSinceMs.delete(key);
      return nowMs >= ordered.atMs + repeatMs;
    }
    const sinceMs = this.#surplusSinceMs.get(key) ?? nowMs;
    this.#surplusSinceMs.set(key, sinceMs);
    return nowMs >= sinceMs + shrinkAfterMs;
  }
}

function keyOf({ serviceName, failureDomain, reclaimable }: EndpointOrder): string {
  return `${serviceName}/${failureDomain}/${reclaimable ? 'reclaimable' : 'on-demand'}`;
}
