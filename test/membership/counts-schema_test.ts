import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeBatch } from '../../src/membership/broadcast-message.js';
import { countsSchema, maxCount } from '../../src/membership/counts-schema.js';

/** What JSON makes of numbers that it cannot carry, and numbers that no sum can. */
const nonsense = [null, 1e300, -1, 'many', Number.MAX_SAFE_INTEGER * 4];

describe('countsSchema', () => {
  // One infinite count travels as null, for which the heartbeat, the usage and the grants of all
  // workspaces were ignored that came with it.
  it.each(nonsense)('leaves out %j and keeps the other counts', (value) => {
    expect(countsSchema.parse({ theirs: value, ours: 5 })).toEqual({ ours: 5 });
  });

  it('keeps counts that sums can bear, whatever comes with them', () => {
    fc.assert(
      fc.property(fc.dictionary(fc.string(), fc.anything()), (values) => {
        const counts = countsSchema.parse({ ...values, ours: 1 });
        expect(Object.hasOwn(counts, 'ours')).toBe(true);
        for (const count of Object.values(counts)) {
          expect(count).toBeGreaterThanOrEqual(0);
          expect(count).toBeLessThanOrEqual(maxCount);
        }
      }),
    );
  });
});

describe('decodeBatch', () => {
  it.each(nonsense)('keeps the grants of the other workspaces beside %j', (value) => {
    const messages = [['grants', 'd1', 1, { theirs: value, ours: 5 }, { theirs: value, ours: 7 }]];
    const batch = { scope: 'receiver', sender: 'd1', senderAddress: '', messages };
    expect(decodeBatch(Buffer.from(JSON.stringify(batch)))?.messages).toEqual([
      ['grants', 'd1', 1, { ours: 5 }, { ours: 7 }],
    ]);
  });

  it('takes no prompt that is longer than an endpoint prefills', () => {
    const messages = [['prefill', 'e-1', 1e300, 'd1']];
    const batch = { scope: 'receiver', sender: 'd1', senderAddress: '', messages };
    expect(decodeBatch(Buffer.from(JSON.stringify(batch)))?.messages).toEqual([]);
  });
});
