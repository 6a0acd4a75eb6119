import { describe, expect, it } from 'vitest';
import { endpointsFor } from '../../src/capacity/engine-sizing.js';

const load = { prefillTokensPerS: 0, inFlight: 0, batchSlots: 64, prefillRateTokensPerS: 60_000 };

describe('endpointsFor', () => {
  describe('with long prompts and few concurrent requests', () => {
    it('sizes by the time that endpoints spend on prefill, not by free batch slots', () => {
      expect(endpointsFor({ ...load, prefillTokensPerS: 120_000, inFlight: 40 })).toBe(10);
    });
  });

  describe('with short prompts and long completions', () => {
    it('sizes by the batch slots that the requests occupy', () => {
      expect(endpointsFor({ ...load, prefillTokensPerS: 1_000, inFlight: 512 })).toBe(20);
    });
  });

  it('needs no endpoints without load', () => {
    expect(endpointsFor(load)).toBe(0);
  });
});
