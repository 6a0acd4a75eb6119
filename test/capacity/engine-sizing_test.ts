import { describe, expect, it } from 'vitest';
import { endpointsFor } from '../../src/capacity/engine-sizing.js';

const load = { prefillTokensPerS: 0, inFlight: 0, batchSlots: 64, prefillRateTokensPerS: 60_000 };

describe('endpointsFor', () => {
  describe('long prompts with few requests at a time', () => {
    it('orders by the time that endpoints spend reading, not by free batch slots', () => {
      expect(endpointsFor({ ...load, prefillTokensPerS: 120_000, inFlight: 40 })).toBe(10);
    });
  });

  describe('short prompts with long answers', () => {
    it('orders by the batch slots that they hold', () => {
      expect(endpointsFor({ ...load, prefillTokensPerS: 1_000, inFlight: 512 })).toBe(20);
    });
  });

  it('needs none without load', () => {
    expect(endpointsFor(load)).toBe(0);
  });
});
