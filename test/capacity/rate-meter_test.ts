import { describe, expect, it } from 'vitest';
import { RateMeter } from '../../src/capacity/rate-meter.js';

describe('RateMeter', () => {
  it('shows a load that has just started without the delay of the smoothing', () => {
    const meter = new RateMeter(5_000);
    for (let atMs = 0; atMs <= 2_000; atMs += 20) meter.record('assistant', 200, atMs);
    const ratePerS = meter.ratePerS('assistant', 2_000);
    expect(ratePerS).toBeGreaterThan(9_000);
    expect(ratePerS).toBeLessThan(12_000);
  });

  it('does not report a single large amount as a rate', () => {
    const meter = new RateMeter(5_000);
    meter.record('assistant', 10_000, 0);
    expect(meter.ratePerS('assistant', 0)).toBeLessThan(12_000);
  });

  it('decays after a load has ended', () => {
    const meter = new RateMeter(5_000);
    for (let atMs = 0; atMs <= 20_000; atMs += 100) meter.record('assistant', 1_000, atMs);
    expect(meter.ratePerS('assistant', 50_000)).toBeLessThan(50);
  });
});
