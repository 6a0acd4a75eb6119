import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from '../../src/admission/shared-retry-budget.js';
import { Random } from '../../src/core/index.js';

const tolerance = { windowMs: 10_000, ratio: 0.2, slack: 430 };

interface Load {
  readonly daemons: number;
  readonly requestsPerS: number;
  /** Ratio of requests that fail at their first endpoint, by second. */
  readonly failureRatio: (second: number) => number;
  readonly seconds: number;
  readonly seed: number;
}

/** Requests for one service that arrive at random daemons, and their retries. */
function simulate({ daemons, requestsPerS, failureRatio, seconds, seed }: Load) {
  const random = new Random(seed);
  const budgets = Array.from({ length: daemons }, () => new SharedRetryBudget(tolerance));
  for (const budget of budgets) budget.setDaemons(daemons);
  const requestsAtMs: number[] = [];
  const retriesAtMs: number[] = [];
  let failures = 0;
  for (let number = 0; number < requestsPerS * seconds; number++) {
    const atMs = 1_000_000 + (number * 1_000) / requestsPerS;
    const budget = random.pick(budgets);
    budget.recordRequest('orders', atMs);
    requestsAtMs.push(atMs);
    if (random.float() >= failureRatio(Math.floor(number / requestsPerS))) continue;
    failures += 1;
    if (budget.trySpend('orders', atMs)) retriesAtMs.push(atMs);
  }
  return { requestsAtMs, retriesAtMs, failures };
}

function countIn(timesMs: readonly number[], fromMs: number, toMs: number): number {
  return timesMs.filter((atMs) => atMs > fromMs && atMs <= toMs).length;
}

describe('SharedRetryBudget', () => {
  it('retries nearly every failure of a service whose requests fail now and then, at hundreds of daemons', () => {
    const load = { daemons: 195, requestsPerS: 100, seconds: 40, seed: 1 };
    const { retriesAtMs, failures } = simulate({ ...load, failureRatio: () => 0.05 });
    expect(retriesAtMs.length / failures).toBeGreaterThan(0.95);
  });

  it('never lets all daemons together retry more than the service tolerates in any window', () => {
    const daemonCounts = fc.constantFrom(1, 7, 73, 195, 300);
    fc.assert(
      fc.property(daemonCounts, fc.integer(), fc.nat(20), (daemons, seed, calmUntilS) => {
        const failureRatio = (second: number): number => (second < calmUntilS ? 0.02 : 0.9);
        const load = { daemons, requestsPerS: 150, seconds: 30, seed, failureRatio };
        const { requestsAtMs, retriesAtMs } = simulate(load);
        for (const endMs of retriesAtMs) {
          const startMs = endMs - tolerance.windowMs;
          const allowed = tolerance.ratio * countIn(requestsAtMs, startMs, endMs) + tolerance.slack;
          expect(countIn(retriesAtMs, startMs, endMs)).toBeLessThanOrEqual(allowed);
        }
      }),
      { numRuns: 8 },
    );
  });

  it('always leaves a daemon its first retry', () => {
    const budget = new SharedRetryBudget(tolerance);
    budget.setDaemons(5_000);
    expect(budget.trySpend('orders', 1_000_000)).toBe(true);
    expect(budget.trySpend('orders', 1_000_000)).toBe(false);
  });
});
