import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { planDomains, type DomainState } from '../../src/capacity/domain-plan.js';

function domain(failureDomain: string, changes: Partial<DomainState> = {}): DomainState {
  return {
    failureDomain,
    price: 1,
    hasReclaimable: true,
    liveReclaimable: 0,
    onDemand: 0,
    ...changes,
  };
}

const bounds = { minPerDomain: 1, maxPerDomain: 8, reclaimablePriceRatio: 0.22 };

describe('planDomains', () => {
  describe('in normal operation', () => {
    it('spreads reclaimable endpoints evenly, the cheapest domain first', () => {
      const domains = [domain('a', { price: 1.25 }), domain('b', { price: 0.8 }), domain('c')];
      expect(planDomains({ target: 7, ...bounds, domains })).toEqual([
        { failureDomain: 'b', onDemand: 0, reclaimable: 3 },
        { failureDomain: 'c', onDemand: 0, reclaimable: 2 },
        { failureDomain: 'a', onDemand: 0, reclaimable: 2 },
      ]);
    });

    it('uses on-demand endpoints if they cost no more', () => {
      const domains = [domain('a'), domain('b')];
      const plan = planDomains({ target: 4, ...bounds, reclaimablePriceRatio: 1, domains });
      expect(plan.map(({ onDemand }) => onDemand)).toEqual([2, 2]);
    });
  });

  describe('when a domain is reclaimed and no reclaimable endpoints are available', () => {
    it('adds on-demand endpoints only as far as the rest cannot carry the load', () => {
      const live = { liveReclaimable: 5, hasReclaimable: false };
      const domains = [
        domain('a', live),
        domain('b', live),
        domain('c', { hasReclaimable: false }),
      ];
      const plan = planDomains({ target: 15, ...bounds, domains });
      expect(plan.reduce((sum, { onDemand }) => sum + onDemand, 0)).toBe(0);
      const second = [domain('a', live), domain('b', { hasReclaimable: false }), domains[2]!];
      const after = planDomains({ target: 15, ...bounds, domains: second });
      expect(after.reduce((sum, { onDemand }) => sum + onDemand, 0)).toBe(4);
    });

    it('keeps existing on-demand endpoints instead of ordering new ones elsewhere', () => {
      const domains = [
        domain('a', { hasReclaimable: false }),
        domain('b', { hasReclaimable: false, onDemand: 4 }),
        domain('c', { liveReclaimable: 5 }),
      ];
      const plan = planDomains({ target: 15, ...bounds, domains });
      expect(plan.find(({ failureDomain }) => failureDomain === 'b')?.onDemand).toBe(4);
      expect(plan.find(({ failureDomain }) => failureDomain === 'a')?.onDemand).toBe(0);
    });
  });

  describe('when reclaimable endpoints are available again', () => {
    it('gives up on-demand endpoints one by one as reclaimable ones replace them', () => {
      const counts = [0, 3, 6, 9].map((live) => {
        const domains = [domain('a', { onDemand: 8, liveReclaimable: live }), domain('b')];
        const plan = planDomains({ target: 12, ...bounds, domains });
        return plan.reduce((sum, { onDemand }) => sum + onDemand, 0);
      });
      expect(counts).toEqual([8, 5, 2, 0]);
    });
  });

  describe('for any input', () => {
    it('keeps the sum of both kinds within the bounds of each domain', () => {
      const states = fc.array(
        fc.record({
          price: fc.double({ min: 0.1, max: 9, noNaN: true }),
          hasReclaimable: fc.boolean(),
          liveReclaimable: fc.integer({ min: 0, max: 8 }),
          onDemand: fc.integer({ min: 0, max: 8 }),
        }),
        { minLength: 1, maxLength: 6 },
      );
      fc.assert(
        fc.property(states, fc.integer({ min: 0, max: 80 }), (list, target) => {
          const domains = list.map((state, index) => domain(`d${index}`, state));
          for (const { onDemand, reclaimable } of planDomains({ target, ...bounds, domains })) {
            expect(onDemand + reclaimable).toBeLessThanOrEqual(bounds.maxPerDomain);
            expect(onDemand + reclaimable).toBeGreaterThanOrEqual(bounds.minPerDomain);
          }
        }),
      );
    });
  });
});
