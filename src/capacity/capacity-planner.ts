import type { ServiceSettings } from '../settings/index.js';
import type { VmOffer } from './cloud-api.js';

/** A VM that serves or will serve. */
export interface PlannedVm {
  readonly vmId: string;
  readonly failureDomain: string;
  readonly vmClass: string;
  readonly reclaimable: boolean;
}

/** Everything that a plan depends on. */
export interface PlanInput {
  /** VMs needed for the load. */
  readonly targetVms: number;
  readonly settings: Pick<
    ServiceSettings,
    'vm_class' | 'min_vms' | 'max_vms' | 'reclaimable_ratio_max'
  >;
  /** VMs that are not leaving, those being created included. */
  readonly vms: readonly PlannedVm[];
  /** Offers that may be bought now; refused ones are left out. */
  readonly offers: readonly VmOffer[];
  /** Observed reclaims per VM and hour of a failure domain. */
  readonly reclaimsPerHour: (failureDomain: string) => number;
  /** Time from a start until the weights are loaded, in milliseconds. */
  readonly weightLoadMs: number;
}

/** What to start and what to end. */
export interface CapacityPlan {
  readonly creates: readonly VmOffer[];
  readonly deletes: readonly PlannedVm[];
}

/**
 * Chooses VMs by failure domain and way of buying. Pure: equal inputs give equal plans.
 *
 * The target holds after the loss of any one failure domain, as far as there are two to choose
 * from and `max_vms` allows it.
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

/** VMs needed for a load, kept at or below 70% so that a peak meets free slots. */
export function targetVmsFor(busySlots: number, slotsPerVm: number): number {
  return Math.ceil(busySlots / (slotsPerVm * 0.7));
}

/**
 * Price including the time lost to reclaims: each costs the VM the time of a weight load, and its
 * replacement is paid while it loads.
 */
function effectiveUsdPerHour(offer: VmOffer, input: PlanInput): number {
  if (!offer.reclaimable) return offer.priceUsdPerHour;
  const loadHours = input.weightLoadMs / 3_600_000;
  const lostRatio = Math.min(0.9, input.reclaimsPerHour(offer.failureDomain) * loadHours);
  return offer.priceUsdPerHour / (1 - lostRatio);
}

/** The cheapest offer that brings the target nearer; undefined when it is met or none helps. */
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
  // All domains are level, or the others are refused. More in the largest domain keeps the target
  // in normal operation; beyond that it only helps as the first of a new level.
  const isBalanced = new Set(allowed.map(({ failureDomain }) => failureDomain)).size > 1;
  return isBalanced || vms.length < target ? allowed[0] : undefined;
}

/** The dearest VM that is not needed, if any; one at a time, since load estimates err. */
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
