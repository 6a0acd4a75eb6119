import { describe, expect, it } from 'vitest';
import {
  exchangeIntervals,
  type ExchangeIntervals,
} from '../../src/membership/exchange-intervals.js';

const drainMs = 4_000;
const maxRegistrationReadIntervalMs = drainMs * 0.45;

const failureDomains = 6;

function intervalsOf(daemons: number): ExchangeIntervals {
  const domainDaemons = Math.ceil(daemons / failureDomains);
  return exchangeIntervals({ daemons, domainDaemons, maxRegistrationReadIntervalMs });
}

/** Reads per second of samples and registrations at `readers` daemons or at the store. */
function readsPerS(daemons: number, readers: number): number {
  const { sampleReadIntervalMs, registrationReadIntervalMs } = intervalsOf(daemons);
  return readers * (1_000 / sampleReadIntervalMs + 1_000 / registrationReadIntervalMs);
}

describe('exchangeIntervals', () => {
  it('does not let store calls grow with the daemons: one distributor reads for a failure domain', () => {
    expect(readsPerS(460, failureDomains)).toBeLessThanOrEqual(readsPerS(20, failureDomains));
  });

  it('does not let the reads that a distributor serves grow in proportion to its readers', () => {
    // 460 daemons stand in 24 failure domains.
    expect(readsPerS(460, 460 / 24)).toBeLessThan(2 * readsPerS(73, 73 / failureDomains));
  });

  it('leaves the store within its rate when all daemons have to read it themselves', () => {
    expect(readsPerS(73, 73)).toBeLessThan(6_000 / 10);
    expect(readsPerS(195, 195)).toBeLessThan(16_000 / 10);
  });

  it('publishes no more samples with many daemons than 200 a second', () => {
    expect(460_000 / intervalsOf(460).samplePeriodMs).toBeLessThan(200);
  });

  it('reads the registration of a leaving endpoint in time at any number of daemons', () => {
    for (const daemons of [1, 7, 73, 460, 5_000]) {
      const { registrationReadIntervalMs } = intervalsOf(daemons);
      // The distributor reads the store, and the daemon the distributor.
      expect(2 * registrationReadIntervalMs).toBeLessThanOrEqual(maxRegistrationReadIntervalMs);
    }
  });

  it('reports grants within a second at hundreds of daemons, so that long prompts need not be refused for lack of knowledge', () => {
    expect(intervalsOf(195).grantReportPeriodMs).toBeLessThan(1_000);
  });

  it('reports grants at least as often as the store samples', () => {
    for (const daemons of [1, 7, 73, 460]) {
      const { grantReportPeriodMs, samplePeriodMs } = intervalsOf(daemons);
      expect(grantReportPeriodMs).toBeLessThanOrEqual(samplePeriodMs);
    }
  });
});
