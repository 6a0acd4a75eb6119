import { beforeEach, describe, expect, it } from 'vitest';
import type { QuarantineEntry } from '../../src/quarantine/quarantine-entry.js';
import { QuarantineReview } from '../../src/quarantine/quarantine-review.js';

const nowMs = 1_000_000;

const entry: QuarantineEntry = {
  partIds: ['first'],
  version: 1,
  crashes: 3,
  firstCrashAtMs: nowMs - 1_000,
  isReleased: false,
  trials: 0,
  nextTrialAtMs: nowMs + 300_000,
};

describe('QuarantineReview', () => {
  let review: QuarantineReview;

  beforeEach(() => {
    review = new QuarantineReview();
    review.began(entry, nowMs);
  });

  /** Endpoints crash at intervals from `fromMs` on, under requests with the parts. */
  function crash(count: number, fromMs: number, partIds = ['x'], intervalMs = 500): void {
    for (let end = 0; end < count; end++) {
      const crashedAtMs = fromMs + end * intervalMs;
      const requestId = `r${crashedAtMs}-${partIds.join('-')}`;
      const ids = { endpointId: `i-${crashedAtMs}`, requestId, partIds };
      review.recordCrash({ ...ids, sentAtMs: crashedAtMs - 80, crashedAtMs });
    }
  }

  it('doubts a quarantine when endpoints go on crashing under other prompts', () => {
    crash(2, nowMs + 100);
    expect(review.isDoubtful(entry, nowMs + 5_000)).toBe(false);
    crash(1, nowMs + 1_500);
    expect(review.isDoubtful(entry, nowMs + 5_000)).toBe(true);
  });

  it('leaves time for the cause of these crashes to be held back before a trial', () => {
    crash(4, nowMs + 300, undefined, 260);
    expect(review.isDoubtful(entry, nowMs + 2_200)).toBe(false);
    expect(review.isDoubtful(entry, nowMs + 2_300)).toBe(true);
  });

  it('does not doubt one by crashes before it, under its own prompts, or of a failure domain', () => {
    crash(5, nowMs - 5_000);
    crash(5, nowMs + 100, ['first', 'own']);
    crash(18, nowMs + 5_000, undefined, 5);
    expect(review.isDoubtful(entry, nowMs + 20_000)).toBe(false);
  });

  it('does not doubt one by crashes that are far apart, each of which has a cause of its own', () => {
    crash(6, nowMs + 100, undefined, 40_000);
    expect(review.isDoubtful(entry, nowMs + 205_000)).toBe(false);
  });

  it('takes a trial under which an endpoint crashed for a proof, and makes no further one', () => {
    crash(3, nowMs + 100);
    const trial = { ...entry, version: 2, trials: 1 };
    review.began(trial, nowMs + 3_000);
    crash(1, nowMs + 3_500, ['first', 'own']);
    crash(9, nowMs + 4_000);
    expect(review.isDoubtful(trial, nowMs + 60_000)).toBe(false);
  });

  it('doubts two quarantines by the same crashes, although endpoints crash no more', () => {
    const dead = { ...entry, partIds: ['dead'] };
    crash(4, nowMs - 2_000, ['first', 'own']);
    crash(3, nowMs - 2_000, ['other', 'dead']);
    expect(review.isDoubtful(entry, nowMs + 5_000)).toBe(false);
    review.began(dead, nowMs + 100);
    expect(review.isDoubtful(entry, nowMs + 1_900)).toBe(false);
    expect(review.isDoubtful(entry, nowMs + 2_200)).toBe(true);
    expect(review.isDoubtful(dead, nowMs + 2_200)).toBe(true);
  });

  it('doubts two by the same crashes also when the reports with the parts of one never came', () => {
    crash(4, nowMs - 2_000, ['first', 'own']);
    const endpointIds = [0, 500, 1_000].map((atMs) => `i-${nowMs - 2_000 + atMs}`);
    review.began({ ...entry, partIds: ['dead'], endpointIds }, nowMs + 100);
    expect(review.isDoubtful(entry, nowMs + 2_200)).toBe(true);
  });

  it('does not doubt two quarantines by crashes of their own', () => {
    const other = { ...entry, partIds: ['other'] };
    crash(4, nowMs - 2_000, ['first', 'own']);
    crash(4, nowMs - 1_900, ['other', 'own']);
    review.began(other, nowMs);
    expect(review.isDoubtful(entry, nowMs + 5_000)).toBe(false);
    expect(review.isDoubtful(other, nowMs + 5_000)).toBe(false);
  });

  it('allows another trial when the first one showed nothing, after a while', () => {
    crash(3, nowMs + 100);
    const trial = { ...entry, version: 2, trials: 1 };
    review.began(trial, nowMs + 3_000);
    expect(review.isDoubtful(trial, nowMs + 12_900)).toBe(false);
    expect(review.isDoubtful(trial, nowMs + 13_000)).toBe(true);
  });

  it('forgets quarantines that are in force no more', () => {
    crash(3, nowMs + 100);
    review.retain([]);
    expect(review.isDoubtful(entry, nowMs + 5_000)).toBe(false);
  });
});
