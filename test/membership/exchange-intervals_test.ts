import { describe, expect, it } from 'vitest';
import { exchangeIntervals } from '../../src/membership/exchange-intervals.js';

const drainMs = 4_000;
const maxRegistrationReadIntervalMs = drainMs * 0.45;

/** Calls of the store that all daemons make a second for samples and registrations. */
function storeCallsPerS(daemons: number): number {
  const intervals = exchangeIntervals(daemons, maxRegistrationReadIntervalMs);
  const periodsMs = [
    intervals.samplePeriodMs,
    intervals.sampleReadIntervalMs,
    intervals.registrationReadIntervalMs,
  ];
  return daemons * periodsMs.reduce((sum, periodMs) => sum + 1_000 / periodMs, 0);
}

describe('exchangePace', () => {
  it('keeps the calls of 73 daemons near those of 20, against calls that grow with the daemons', () => {
    expect(storeCallsPerS(73)).toBeLessThan(storeCallsPerS(20) * 1.5);
  });

  it('reads a leaving endpoint in time at any number of daemons', () => {
    for (const daemons of [1, 7, 73, 460, 5_000]) {
      const { registrationReadIntervalMs } = exchangeIntervals(
        daemons,
        maxRegistrationReadIntervalMs,
      );
      expect(registrationReadIntervalMs).toBeLessThanOrEqual(maxRegistrationReadIntervalMs);
    }
  });

  it('tells grants sooner than the store would', () => {
    for (const daemons of [1, 7, 73, 460]) {
      const { grantReportPeriodMs, samplePeriodMs } = exchangeIntervals(
        daemons,
        maxRegistrationReadIntervalMs,
      );
      expect(grantReportPeriodMs).toBeLessThanOrEqual(samplePeriodMs);
    }
  });
});
