import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CounterTotals } from '../../src/membership/counter-totals.js';

function report(daemon: string, incarnation: number, tokens: number) {
  return { daemon, incarnation, counts: { tejidos: tokens } };
}

describe('CounterTotals', () => {
  it('counts the growth since the first report of a daemon', () => {
    const totals = new CounterTotals();
    totals.merge(report('a', 1, 500));
    totals.merge(report('a', 1, 700));
    totals.merge(report('b', 1, 90));
    expect(totals.total('tejidos')).toBe(200);
  });

  it('counts a restarted daemon from zero and ignores reports of its earlier run', () => {
    const totals = new CounterTotals();
    totals.merge(report('a', 1, 500));
    totals.merge(report('a', 2, 40));
    totals.merge(report('a', 1, 900));
    expect(totals.total('tejidos')).toBe(40);
  });

  it('reaches the same sum in any order and with repeats, as datagrams may overtake samples', () => {
    const amounts = fc.array(fc.integer({ min: 1, max: 1_000 }), { minLength: 1, maxLength: 20 });
    fc.assert(
      fc.property(
        amounts.chain((list) =>
          fc.tuple(
            fc.constant(list),
            fc.shuffledSubarray([...list, ...list], { minLength: list.length }),
          ),
        ),
        ([list, shuffled]) => {
          const totals = new CounterTotals();
          totals.merge(report('a', 1, 0));
          for (const amount of [...shuffled, ...list]) totals.merge(report('a', 1, amount));
          expect(totals.total('tejidos')).toBe(Math.max(...list));
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });
});
