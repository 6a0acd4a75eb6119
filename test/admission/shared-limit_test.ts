import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { LimitKind, SharedLimit } from '../../src/admission/index.js';
import { limitsSchema } from '../../src/settings/index.js';

function limits(changes: Record<string, string>) {
  return limitsSchema.parse(changes);
}

describe('SharedLimit', () => {
  it('overshoots a rate by at most half while the daemons agree', () => {
    fc.assert(
      fc.property(
        fc.array(fc.double({ min: 0, max: 200, noNaN: true }), { minLength: 1, maxLength: 20 }),
        (demands) => {
          const settings = limits({ rate_per_s: '50', burst_requests: '1' });
          const total = demands.reduce((sum, demand) => sum + demand, 0);
          const daemons = demands.map(() => new SharedLimit(settings, 0));
          let granted = 0;
          const seconds = 40;
          for (let tick = 0; tick < seconds * 20; tick++) {
            const nowMs = tick * 50;
            for (const [index, daemon] of daemons.entries()) {
              const demand = demands[index] ?? 0;
              if (tick % 20 === 0) daemon.updatePeers(demands.length, total - demand, nowMs);
              const arrivals =
                Math.floor(((tick + 1) * demand) / 20) - Math.floor((tick * demand) / 20);
              for (let arrival = 0; arrival < arrivals; arrival++) {
                if (daemon.tryAcquire(0, nowMs)) continue;
                daemon.release(0, 0, nowMs);
                // In the first 20 s, the estimate of the own demand has not converged yet.
                if (tick >= 20 * 20) granted += 1;
              }
            }
          }
          // Each bucket holds one request on top of the bound; demand estimates fluctuate.
          expect(granted).toBeLessThanOrEqual(50 * 20 * 1.5 * 1.02 + 2 * demands.length);
        },
      ),
      { numRuns: 40, seed: 11 },
    );
  });

  it('bounds concurrency by 1.5 times the limit plus one request per daemon', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 1, maxLength: 20 }),
        fc.integer({ min: 1, max: 300 }),
        (demands, concurrency) => {
          const settings = limits({
            concurrency_requests: String(concurrency),
            rate_per_s: '1000000',
            burst_requests: '1000000',
          });
          const total = demands.reduce((sum, demand) => sum + demand, 0);
          let granted = 0;
          for (const demand of demands) {
            const daemon = new SharedLimit(settings, 0);
            // The burst below raises each daemon's own demand to `demand` requests per second: over
            // the smoothing time of 5 s, this is a burst of 5 × demand requests.
            daemon.updatePeers(demands.length, total - demand, 0);
            for (let arrival = 0; arrival < 5 * demand; arrival++) daemon.tryAcquire(0, 0);
            granted += daemon.inFlight;
          }
          expect(granted).toBeLessThanOrEqual(concurrency * 1.5 + demands.length);
        },
      ),
      { numRuns: 200, seed: 12 },
    );
  });

  it('grants at most k times the bound in a partition into k groups', () => {
    const settings = limits({
      concurrency_requests: '60',
      rate_per_s: '100000',
      burst_requests: '100000',
    });
    let granted = 0;
    for (let partition = 0; partition < 2; partition++) {
      for (let member = 0; member < 3; member++) {
        const daemon = new SharedLimit(settings, 0);
        daemon.updatePeers(3, 200, 0);
        for (let arrival = 0; arrival < 500; arrival++) daemon.tryAcquire(0, 0);
        granted += daemon.inFlight;
      }
    }
    expect(granted).toBeLessThanOrEqual(2 * (60 * 1.5 + 3));
  });

  it('shifts the share to the daemon that has the demand', () => {
    const limit = new SharedLimit(limits({ rate_per_s: '100' }), 0);
    limit.updatePeers(10, 0.5, 0);
    for (let nowMs = 0; nowMs < 20_000; nowMs += 20) limit.tryAcquire(0, nowMs);
    expect(limit.share(20_000)).toBeGreaterThan(0.95);
  });

  it('charges the actual spend and refuses until the bucket has refilled', () => {
    const limit = new SharedLimit(limits({ spend_usd_per_hour: '3.6' }), 0);
    expect(limit.tryAcquire(0.01, 0)).toBeUndefined();
    limit.release(0.01, 0.5, 0);
    const refusal = limit.tryAcquire(0.01, 0);
    expect(refusal?.kind).toBe(LimitKind.Spend);
    // The bucket refills at 0.001 USD/s; its burst of 0.06 USD was overdrawn by 0.44 USD.
    expect(refusal?.retryAtMs).toBeCloseTo(450_000, -3);
  });
});
