import { describe, expect, it } from 'vitest';
import {
  CapacityPlanner,
  RefusalBackoff,
  type PlanInput,
  type PlannedVm,
  type VmOffer,
} from '../../src/capacity/index.js';
import { Random, VirtualClock } from '../../src/core/index.js';
import { serviceSchema } from '../../src/settings/index.js';

function offersIn(...domains: string[]): VmOffer[] {
  return domains.flatMap((failureDomain) => [
    { failureDomain, vmClass: 'standard', reclaimable: true, priceUsdPerHour: 1 },
    { failureDomain, vmClass: 'standard', reclaimable: false, priceUsdPerHour: 2.5 },
  ]);
}

function plan(change: Partial<PlanInput> & { ratio?: string; max?: string }) {
  return new CapacityPlanner().plan({
    targetVms: 4,
    settings: serviceSchema.parse({
      kind: 'engine',
      reclaimable_ratio_max: change.ratio ?? '1',
      max_vms: change.max ?? '64',
    }),
    vms: [],
    offers: offersIn('a', 'b', 'c'),
    reclaimsPerHour: () => 0,
    weightLoadMs: 120_000,
    ...change,
  });
}

function vm(vmId: string, failureDomain: string, reclaimable = true): PlannedVm {
  return { vmId, failureDomain, vmClass: 'standard', reclaimable };
}

describe('CapacityPlanner', () => {
  it('creates no more VMs than the loss of any one failure domain requires', () => {
    const domains = plan({}).creates.map(({ failureDomain }) => failureDomain);
    expect(domains.sort()).toEqual(['a', 'a', 'b', 'b', 'c', 'c']);
  });

  it('creates only the target number of VMs in a single failure domain', () => {
    expect(plan({ offers: offersIn('a') }).creates).toHaveLength(4);
  });

  it('keeps the maximum ratio of reclaimable VMs', () => {
    const { creates } = plan({ ratio: '0.5' });
    expect(creates.filter(({ reclaimable }) => reclaimable)).toHaveLength(creates.length / 2);
  });

  it('prefers on-demand VMs where reclaims cost more than the lower price saves', () => {
    const { creates } = plan({
      weightLoadMs: 600_000,
      reclaimsPerHour: (failureDomain) => (failureDomain === 'a' ? 5 : 0),
    });
    for (const { failureDomain, reclaimable } of creates) {
      expect(reclaimable).toBe(failureDomain !== 'a');
    }
  });

  it('meets the target in the remaining domain when the others have no offers', () => {
    const { creates } = plan({ vms: [vm('1', 'a')], offers: offersIn('a') });
    expect(creates).toHaveLength(3);
  });

  it('never exceeds max_vms and changes nothing when the plan is already met', () => {
    expect(plan({ max: '3' }).creates).toHaveLength(3);
    const vms = ['a', 'a', 'b', 'b', 'c', 'c'].map((domain, index) => vm(`${index}`, domain));
    expect(plan({ vms })).toEqual({ creates: [], deletes: [] });
  });

  it('deletes a VM only when the rest still meets the target after the loss of a domain', () => {
    const vms = ['a', 'a', 'a', 'b', 'b', 'c', 'c'].map((domain, index) => vm(`${index}`, domain));
    expect(plan({ vms }).deletes).toEqual([vm('0', 'a')]);
  });
});

describe('RefusalBackoff', () => {
  it('blocks a pool longer after each refusal and does not block the others', () => {
    const clock = new VirtualClock();
    const backoff = new RefusalBackoff(clock, new Random(1));
    const [pool, other] = offersIn('a') as [VmOffer, VmOffer];
    backoff.refused(pool);
    expect(backoff.isBlocked(pool)).toBe(true);
    expect(backoff.isBlocked(other)).toBe(false);
    clock.runUntil(clock.nowMs() + 5_000);
    expect(backoff.isBlocked(pool)).toBe(false);
    for (let refusals = 0; refusals < 20; refusals++) backoff.refused(pool);
    clock.runUntil(clock.nowMs() + 149_000);
    expect(backoff.isBlocked(pool)).toBe(true);
    clock.runUntil(clock.nowMs() + 152_000);
    expect(backoff.isBlocked(pool)).toBe(false);
  });
});
