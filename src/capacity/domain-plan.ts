/** State of a service in a failure domain; live endpoints are those that take new work. */
export interface DomainState {
  readonly failureDomain: string;
  /** Price of an on-demand endpoint, in the same unit for all failure domains. */
  readonly price: number;
  /** Whether reclaimable endpoints are available now. */
  readonly hasReclaimable: boolean;
  readonly liveReclaimable: number;
  /** On-demand endpoints that are live or ordered. */
  readonly onDemand: number;
}

/** Input of {@link planDomains} for one service. */
export interface DomainPlanInput {
  /** Endpoints needed in all failure domains together. */
  readonly target: number;
  readonly minPerDomain: number;
  readonly maxPerDomain: number;
  /** Price of a reclaimable endpoint relative to an on-demand one. */
  readonly reclaimablePriceRatio: number;
  readonly domains: readonly DomainState[];
}

/** Planned endpoints of each kind in a failure domain. */
export interface DomainCount {
  readonly failureDomain: string;
  readonly onDemand: number;
  readonly reclaimable: number;
}

/** Ratio of the target that on-demand endpoints secure while no reclaimable ones are available. */
const guaranteedRatio = 0.6;

/**
 * Spreads the endpoints of a service evenly over failure domains, cheapest first, and uses
 * reclaimable endpoints if they are cheaper. On-demand endpoints are planned only while too few
 * reclaimable ones are live and no more are available, because an on-demand endpoint costs as much
 * as several reclaimable ones. Pure function.
 *
 * @example
 * ```ts
 * const counts = planDomains({ target: 9, minPerDomain: 1, maxPerDomain: 6, ...rest });
 * ```
 */
export function planDomains(input: DomainPlanInput): DomainCount[] {
  const { target, minPerDomain, maxPerDomain, reclaimablePriceRatio } = input;
  const domains = [...input.domains].sort(
    (a, b) => a.price - b.price || (a.failureDomain < b.failureDomain ? -1 : 1),
  );
  const totals = spreadEvenly(target, minPerDomain, maxPerDomain, domains.length);
  if (reclaimablePriceRatio >= 1) {
    return domains.map(({ failureDomain }, index) => ({
      failureDomain,
      onDemand: totals[index] ?? 0,
      reclaimable: 0,
    }));
  }
  const cappedTarget = Math.min(target, maxPerDomain * domains.length);
  const live = domains.reduce((sum, { liveReclaimable }) => sum + liveReclaimable, 0);
  const missing = Math.ceil(cappedTarget * guaranteedRatio) - live;
  const onDemand = onDemandCounts(domains, missing, maxPerDomain);
  return domains.map(({ failureDomain }, index) => ({
    failureDomain,
    onDemand: onDemand[index] ?? 0,
    reclaimable: Math.min(totals[index] ?? 0, maxPerDomain - (onDemand[index] ?? 0)),
  }));
}

/**
 * On-demand endpoints by domain. Existing ones are kept while too few reclaimable ones are live;
 * new ones are added only where no reclaimable ones are available.
 */
function onDemandCounts(domains: readonly DomainState[], missing: number, max: number): number[] {
  let left = Math.max(0, missing);
  const kept = domains.map(({ onDemand }) => {
    const count = Math.min(left, onDemand);
    left -= count;
    return count;
  });
  return domains.map(({ hasReclaimable, liveReclaimable }, index) => {
    const base = kept[index] ?? 0;
    const room = hasReclaimable ? 0 : Math.max(0, max - liveReclaimable - base);
    const added = Math.min(left, room);
    left -= added;
    return base + added;
  });
}

/** Endpoints by rank of the failure domain, as even as the bounds allow. */
function spreadEvenly(target: number, min: number, max: number, domains: number): number[] {
  const even = Math.floor(target / Math.max(1, domains));
  const rest = target - even * domains;
  return Array.from({ length: domains }, (_, index) =>
    Math.min(max, Math.max(min, even + (index < rest ? 1 : 0))),
  );
}
