import { describe, expect, it } from 'vitest';
import { SpeedEstimator } from '../../src/fleet/speed-estimator.js';

const ids = ['a', 'b', 'c', 'd'];

function observe(speeds: SpeedEstimator, fromMs: number, toMs: number, slow?: string): void {
  for (let atMs = fromMs; atMs < toMs; atMs += 200) {
    for (const id of ids) {
      const gapMs = id === slow ? 150 : 30;
      speeds.observeTokens(id, 200 / gapMs, 200, atMs);
    }
  }
}

function newEstimator(): SpeedEstimator {
  const speeds = new SpeedEstimator({ probePeriodMs: 2_000 });
  for (const id of ids) speeds.add(id, 'group');
  return speeds;
}

describe('SpeedEstimator', () => {
  it('detects a slowdown to a fifth within three seconds', () => {
    const speeds = newEstimator();
    observe(speeds, 0, 10_000);
    expect(speeds.speed('a').slowdownRatio).toBeCloseTo(1, 1);
    observe(speeds, 10_000, 13_000, 'a');
    expect(speeds.isSlow('a')).toBe(true);
    expect(speeds.speed('a').slowdownRatio).toBeGreaterThan(3);
    expect(ids.filter((id) => speeds.isSlow(id))).toEqual(['a']);
  });

  it('detects a stalled stream before its next token', () => {
    const speeds = newEstimator();
    observe(speeds, 0, 5_000);
    speeds.observeStall('a', 1_500, 6_500);
    expect(speeds.isSlow('a')).toBe(true);
  });

  it('does not restore a slow endpoint after a single fast token', () => {
    const speeds = newEstimator();
    observe(speeds, 0, 5_000);
    observe(speeds, 5_000, 10_000, 'a');
    speeds.observeTokens('a', 1, 30, 10_000);
    speeds.observeTokens('a', 1, 150, 10_150);
    expect(speeds.isSlow('a')).toBe(true);
    observe(speeds, 10_200, 11_000);
    expect(speeds.isSlow('a')).toBe(false);
    expect(speeds.speed('a').slowdownRatio).toBeLessThan(1.2);
  });

  it('requests one probe per period while an endpoint is slow', () => {
    const speeds = newEstimator();
    observe(speeds, 0, 5_000);
    expect(speeds.isProbeDue('a', 60_000)).toBe(false);
    observe(speeds, 5_000, 10_000, 'a');
    expect(speeds.isProbeDue('a', 20_000)).toBe(true);
    speeds.recordProbe('a', 20_000);
    expect(speeds.isProbeDue('a', 21_000)).toBe(false);
    expect(speeds.isProbeDue('a', 22_000)).toBe(true);
  });

  it('ignores identities that have been removed', () => {
    const speeds = newEstimator();
    observe(speeds, 0, 1_000);
    speeds.remove('a');
    speeds.observeTokens('a', 1, 900, 1_100);
    expect(speeds.speed('a')).toEqual({
      tokenGapMs: undefined,
      prefillTokensPerS: undefined,
      slowdownRatio: 1,
    });
  });
});
