import { describe, expect, it } from 'vitest';
import { exchangeIntervals } from '../../src/membership/exchange-intervals.js';

const drainMs = 4_000;
const maxRegistrationReadIntervalMs = drainMs * 0.45;

/** Store calls per second that all daemons make for samples and registrations. */
function storeCallsPerS(daemons: number): number {
  const intervals = exchangeIntervals(daemons, maxRegistrationReadIntervalMs);
  const periodsMs = [
    intervals.samplePeriodMs,
    intervals.sampleReadIntervalMs,
    intervals.registrationReadIntervalMs,
  ];
  return daemons * periodsMs.reduce((sum, periodMs) => sum + 1_000 / periodMs, 0);
}

describe('exchangeIntervals', () => {
  it('does not let store calls grow in proportion to the daemons, from 20 to 73', () => {
    expect(storeCallsPerS(73)).toBeLessThan(storeCallsPerS(20) * 1.5);
  });

  it('reads the registration of a leaving endpoint in time at any number of daemons', () => {
    for (const daemons of [1, 7, 73, 460, 5_000]) {
      const { registrationReadIntervalMs } = exchangeIntervals(
        daemons,
        maxRegistrationReadIntervalMs,
      );
      expect(registrationReadIntervalMs).toBeLessThanOrEqual(maxRegistrationReadIntervalMs);
    }
  });

  it('reports grants at least as often as the store samples', () => {
    for (const daemons of [1, 7, 73, 460]) {
      const { grantReportPeriodMs, samplePeriodMs } = exchangeIntervals(
        daemons,
        maxRegistrationReadIntervalMs,
      );
      expect(grantReportPeriodMs).toBeLessThanOrEqual(samplePeriodMs);
    }
  });
});
