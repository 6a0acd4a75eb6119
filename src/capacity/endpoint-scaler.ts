import type { Clock } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { planDomains } from './domain-plan.js';
import {
  DutyFencedError,
  EndpointsUnavailableError,
  type DutyClient,
  type ScaleOrder,
} from './duty-client.js';
import type { DutyLease } from './duty-lease.js';

/** A service whose number of endpoints the gateway controls. */
export interface ScaledService {
  readonly serviceName: string;
  /** Endpoints needed in all failure domains together. */
  readonly target: number;
  readonly minPerDomain: number;
  readonly maxPerDomain: number;
  /** Price of a reclaimable endpoint relative to an on-demand one. */
  readonly reclaimablePriceRatio: number;
  /** Price of an on-demand endpoint by failure domain. */
  readonly priceByDomain: ReadonlyMap<string, number>;
  /** Time from an order until the endpoint takes its first request, in milliseconds. */
  readonly bootMs: number;
  /** Number of endpoints of a kind in a failure domain that take new work. */
  readonly live: (failureDomain: string, reclaimable: boolean) => number;
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

/** Time after the expected start of an endpoint until a missing one is ordered again. */
const bootGraceMs = 2_000;

/** Time until a kind of endpoint that was unavailable is ordered again. */
const unavailableRetryMs = 3_000;

/** A lower count is ordered only after it was planned for this long, because load fluctuates. */
const scaleDownDelayMs = 10_000;

interface SentOrder {
  readonly count: number;
  readonly atMs: number;
}

/** Orders endpoints for all scaled services while this daemon holds the duties. */
export class EndpointScaler {
  readonly #options: EndpointScalerOptions;
  readonly #sentOrders = new Map<string, SentOrder>();
  readonly #unavailableUntilMs = new Map<string, number>();
  readonly #surplusSinceMs = new Map<string, number>();
  #fence: number | undefined;
  #isTicking = false;

  constructor(options: EndpointScalerOptions) {
    this.#options = options;
  }

  /** Sends the orders that are due; overlapping calls return at once. */
  async tick(): Promise<void> {
    const { lease, services } = this.#options;
    if (this.#isTicking || lease.fence === undefined) return;
    this.#isTicking = true;
    try {
      if (lease.fence !== this.#fence) this.#sentOrders.clear();
      this.#fence = lease.fence;
      for (const service of services()) {
        for (const order of this.#planOrders(service)) {
          if (this.#isDue(order, service)) await this.#send(order);
        }
      }
    } finally {
      this.#isTicking = false;
    }
  }

  /** Reclaimable endpoints come first: on-demand ones are given up only once they are replaced. */
  #planOrders(service: ScaledService): ScaleOrder[] {
    const { serviceName, priceByDomain, live } = service;
    const nowMs = this.#options.clock.nowMs();
    const domains = [...priceByDomain].map(([failureDomain, price]) => {
      const key = keyOf({ serviceName, failureDomain, reclaimable: true });
      return {
        failureDomain,
        price,
        hasReclaimable: (this.#unavailableUntilMs.get(key) ?? 0) <= nowMs,
        liveReclaimable: live(failureDomain, true),
        onDemand: this.#onDemandCount(service, failureDomain),
      };
    });
    const plan = planDomains({ ...service, domains });
    const orders = (reclaimable: boolean): ScaleOrder[] =>
      plan.map((domain) => ({
        serviceName,
        failureDomain: domain.failureDomain,
        reclaimable,
        count: reclaimable ? domain.reclaimable : domain.onDemand,
      }));
    return [...orders(true), ...orders(false)];
  }

  #onDemandCount({ serviceName, live }: ScaledService, failureDomain: string): number {
    const key = keyOf({ serviceName, failureDomain, reclaimable: false });
    return this.#sentOrders.get(key)?.count ?? live(failureDomain, false);
  }

  async #send(order: ScaleOrder): Promise<void> {
    const { lease, duties, daemon, clock, events } = this.#options;
    const { fence } = lease;
    if (fence === undefined) return;
    const key = keyOf(order);
    const fields = { ...order, fence };
    try {
      await duties.orderEndpoints(order, { daemon, fence });
      this.#sentOrders.set(key, { count: order.count, atMs: clock.nowMs() });
      this.#surplusSinceMs.delete(key);
      events.info(EventId.EndpointsOrdered, 'endpoints ordered', fields);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      events.warn(EventId.OrderUnanswered, 'order for endpoints failed or its outcome is unknown', {
        ...fields,
        reason,
      });
      if (error instanceof DutyFencedError) lease.markFenced();
      if (error instanceof EndpointsUnavailableError) {
        this.#unavailableUntilMs.set(key, clock.nowMs() + unavailableRetryMs);
      }
    }
  }

  #isDue(order: ScaleOrder, service: ScaledService): boolean {
    const { count, failureDomain, reclaimable } = order;
    const key = keyOf(order);
    const nowMs = this.#options.clock.nowMs();
    if ((this.#unavailableUntilMs.get(key) ?? 0) > nowMs) return false;
    const sent = this.#sentOrders.get(key);
    const live = service.live(failureDomain, reclaimable);
    const known = sent?.count ?? live;
    if (count < known) return this.#isLastingSurplus(key, reclaimable, nowMs);
    this.#surplusSinceMs.delete(key);
    if (count > known) return true;
    const dueAtMs = (sent?.atMs ?? 0) + service.bootMs + bootGraceMs;
    return live < count && nowMs >= dueAtMs;
  }

  #isLastingSurplus(key: string, reclaimable: boolean, nowMs: number): boolean {
    // On-demand endpoints are expensive, and the plan keeps them until others have replaced them.
    if (!reclaimable) return true;
    const sinceMs = this.#surplusSinceMs.get(key) ?? nowMs;
    this.#surplusSinceMs.set(key, sinceMs);
    return nowMs >= sinceMs + scaleDownDelayMs;
  }
}

function keyOf(order: Omit<ScaleOrder, 'count'>): string {
  const { serviceName, failureDomain, reclaimable } = order;
  return `${serviceName}/${failureDomain}/${reclaimable ? 'reclaimable' : 'on-demand'}`;
}
