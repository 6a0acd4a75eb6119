/** What a plan for one service depends on. */
export interface DomainPlanInput {
  /** Endpoints wanted in all failure domains together. */
  readonly target: number;
  readonly minPerDomain: number;
  readonly maxPerDomain: number;
  /** Price of an on-demand endpoint by failure domain, in any one unit. */
  readonly priceByDomain: ReadonlyMap<string, number>;
  /** Price of a reclaimable endpoint relative to an on-demand one. */
  readonly reclaimablePriceRatio: number;
  /** Failure domains whose reclaimable endpoints are not to be had now. */
  readonly withoutReclaimable: ReadonlySet<string>;
}

/** Endpoints of each kind wanted in a failure domain. */
export interface DomainCount {
  readonly failureDomain: string;
  readonly onDemand: number;
  readonly reclaimable: number;
}

/** On-demand endpoints in each failure domain that serve on when all reclaimable ones go at once. */
const onDemandFloor = 1;

/**
 * Spreads the endpoints of a service over failure domains, cheapest first and evenly, so that the
 * loss of one domain's reclaimable endpoints costs no more than its share. Pure.
 *
 * @example
 * ```ts
 * const counts = planDomains({ target: 9, minPerDomain: 1, maxPerDomain: 6, ...prices });
 * ```
 */
export function planDomains(input: DomainPlanInput): DomainCount[] {
  const { target, minPerDomain, maxPerDomain, priceByDomain, withoutReclaimable } = input;
  const domains = [...priceByDomain]
    .sort(([a, priceA], [b, priceB]) => priceA - priceB || (a < b ? -1 : 1))
    .map(([failureDomain]) => failureDomain);
  const floor = Math.min(maxPerDomain, Math.max(minPerDomain, onDemandFloor));
  const counts = new Map(domains.map((domain) => [domain, floor]));
  let missing = target - floor * domains.length;
  for (let level = floor; level < maxPerDomain && missing > 0; level++) {
    for (const domain of domains) {
      if (missing <= 0) break;
      counts.set(domain, level + 1);
      missing -= 1;
    }
  }
  return domains.map((failureDomain) => {
    const total = counts.get(failureDomain) ?? floor;
    const extra = total - onDemandFloor;
    const isReclaimable = input.reclaimablePriceRatio < 1 && !withoutReclaimable.has(failureDomain);
    return isReclaimable
      ? { failureDomain, onDemand: onDemandFloor, reclaimable: extra }
      : { failureDomain, onDemand: total, reclaimable: 0 };
  });
}
