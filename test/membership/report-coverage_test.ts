import { describe, expect, it } from 'vitest';
import { ReportCoverage } from '../../src/membership/report-coverage.js';

const knownAtMs = 10_000;
const all = { directRatio: 1, isConnected: true };

describe('ReportCoverage', () => {
  it('is not complete right after a start, when a daemon knows no peers and none knows it', () => {
    const coverage = new ReportCoverage(knownAtMs);
    coverage.update(all, knownAtMs - 1);
    expect(coverage.sinceMs).toBe(Infinity);
    coverage.update(all, knownAtMs + 5);
    coverage.update(all, knownAtMs + 500);
    expect(coverage.sinceMs).toBe(knownAtMs + 5);
  });

  it('begins anew once the datagrams of a peer were missing, as its reports may be', () => {
    const coverage = new ReportCoverage(0);
    coverage.update(all, 1_000);
    coverage.update({ directRatio: 0.5, isConnected: true }, 2_000);
    expect(coverage.sinceMs).toBe(Infinity);
    coverage.update(all, 3_000);
    expect(coverage.sinceMs).toBe(3_000);
  });

  it('does without one daemon of hundreds, and not without one of seven', () => {
    for (const [peers, isComplete] of [
      [194, true],
      [6, false],
    ] as const) {
      const coverage = new ReportCoverage(0);
      coverage.update({ directRatio: (peers - 1) / peers, isConnected: true }, 1_000);
      expect(coverage.sinceMs < Infinity).toBe(isComplete);
    }
  });

  it('is not complete while live peers may be unknown', () => {
    const coverage = new ReportCoverage(0);
    coverage.update({ directRatio: 1, isConnected: false }, 1_000);
    expect(coverage.sinceMs).toBe(Infinity);
  });
});
