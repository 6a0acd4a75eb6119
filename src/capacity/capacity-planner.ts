import type { ServiceSettings } from '../settings/index.js';
import type { VmOffer } from './cloud-api.js';

/** A VM that counts towards the capacity of a service: running or being created. */
export interface PlannedVm {
  readonly vmId: string;
  readonly failureDomain: string;
  readonly vmClass: string;
  readonly reclaimable: boolean;
}

/** Input of {@link CapacityPlanner.plan}. */
export interface PlanInput {
  /** VMs needed for the load. */
  readonly targetVms: number;
  readonly settings: Pick<
    ServiceSettings,
    'vm_class' | 'min_vms' | 'max_vms' | 'reclaimable_ratio_max'
  >;
  /** VMs that are not leaving, including those being created. */
  readonly vms: readonly PlannedVm[];
  /** Offers that are available now, without those that the cloud recently refused. */
  readonly offers: readonly VmOffer[];
  /** Observed reclaims per VM and hour in a failure domain. */
  readonly reclaimsPerHour: (failureDomain: string) => number;
  /** Time from the start of a VM until its model weights are loaded, in milliseconds. */
  readonly weightLoadMs: number;
}

/** VMs to create and VMs to delete. */
export interface CapacityPlan {
  readonly creates: readonly VmOffer[];
  readonly deletes: readonly PlannedVm[];
}

/**
 * Plans which VMs to create and delete, by failure domain and purchase option (reclaimable or
 * on-demand). Stateless and deterministic: equal inputs give equal plans.
 *
 * The plan keeps `targetVms` VMs after the loss of any one failure domain, provided that there are
 * at least two failure domains and that `max_vms` allows it.
 *
 * @example
 * ```ts
 * const { creates } = new CapacityPlanner().plan(input);
 * ```
 */
export class CapacityPlanner {
  plan(input: PlanInput): CapacityPlan {
    const { settings } = input;
    const target = Math.min(settings.max_vms, Math.max(settings.min_vms, input.targetVms));
    const offers = input.offers
      .filter(({ vmClass }) => vmClass === settings.vm_class)
      .sort((a, b) => effectiveUsdPerHour(a, input) - effectiveUsdPerHour(b, input));
    const vms: Omit<PlannedVm, 'vmId'>[] = [...input.vms];
    const creates: VmOffer[] = [];
    while (vms.length < settings.max_vms) {
      const offer = nextOffer(vms, offers, target, settings.reclaimable_ratio_max);
      if (!offer) break;
      vms.push(offer);
      creates.push(offer);
    }
    return { creates, deletes: creates.length > 0 ? [] : surplus(input, target) };
  }
}

/** VMs needed for a load, at a utilization of at most 70% so that free slots absorb peaks. */
export function targetVmsFor(busySlots: number, slotsPerVm: number): number {
  return Math.ceil(busySlots / (slotsPerVm * 0.7));
}

/**
 * Effective price per hour, including the time lost to reclaims: after each reclaim, the
 * replacement is billed while it loads weights.
 */
function effectiveUsdPerHour(offer: VmOffer, input: PlanInput): number {
  if (!offer.reclaimable) return offer.priceUsdPerHour;
  const loadHours = input.weightLoadMs / 3_600_000;
  const lostRatio = Math.min(0.9, input.reclaimsPerHour(offer.failureDomain) * loadHours);
  return offer.priceUsdPerHour / (1 - lostRatio);
}

/** Cheapest offer that helps to reach the target; undefined when it is met or no offer helps. */
function nextOffer(
  vms: readonly Omit<PlannedVm, 'vmId'>[],
  offers: readonly VmOffer[],
  target: number,
  reclaimableRatioMax: number,
): VmOffer | undefined {
  const counts = countByDomain(vms);
  const largest = Math.max(0, ...counts.values());
  const survivors = vms.length - largest;
  const domains = new Set([...counts.keys(), ...offers.map((offer) => offer.failureDomain)]);
  const isMet = domains.size > 1 ? survivors >= target : vms.length >= target;
  if (isMet) return undefined;
  const reclaimable = vms.filter((vm) => vm.reclaimable).length;
  const canAddReclaimable = reclaimable + 1 <= reclaimableRatioMax * (vms.length + 1);
  const allowed = offers.filter((offer) => canAddReclaimable || !offer.reclaimable);
  const spreadOffer = allowed.find(
    ({ failureDomain }) => (counts.get(failureDomain) ?? 0) < largest,
  );
  if (spreadOffer) return spreadOffer;
  // All domains have the same number of VMs, or the smaller ones have no offers. One more VM in the
  // largest domain helps to reach the target in normal operation. Above the target it helps only if
  // another domain can follow.
  const isBalanced = new Set(allowed.map(({ failureDomain }) => failureDomain)).size > 1;
  return isBalanced || vms.length < target ? allowed[0] : undefined;
}

/**
 * Most expensive VM that is not needed, if any. One at a time, because load estimates are inexact.
 */
function surplus(input: PlanInput, target: number): PlannedVm[] {
  const priceOf = (vm: PlannedVm): number => {
    const offer = input.offers.find(
      (candidate) =>
        candidate.failureDomain === vm.failureDomain && candidate.reclaimable === vm.reclaimable,
    );
    return offer ? effectiveUsdPerHour(offer, input) : 0;
  };
  const candidates = input.vms
    .filter((vm) => {
      const rest = input.vms.filter((other) => other !== vm);
      const counts = countByDomain(rest);
      const domains = countByDomain(input.vms).size;
      const largest = domains > 1 ? Math.max(0, ...counts.values()) : 0;
      const reclaimable = rest.filter((other) => other.reclaimable).length;
      return (
        rest.length - largest >= target &&
        reclaimable <= input.settings.reclaimable_ratio_max * rest.length
      );
    })
    .sort((a, b) => priceOf(b) - priceOf(a) || (a.vmId < b.vmId ? -1 : 1));
  return candidates.slice(0, 1);
}

function countByDomain(vms: readonly { readonly failureDomain: string }[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { failureDomain } of vms) {
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  }
  return counts;
}
