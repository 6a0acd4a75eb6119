import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Random } from '../../src/core/index.js';
import { exchangeIntervals } from '../../src/membership/exchange-intervals.js';
import { TokenQuota, type QuotaPeers } from '../../src/admission/token-quota.js';

const tolerance = { windowMs: 8_000, excessRatio: 0.1, slack: 140_000 };
const propagationDelayMs = 2_200;
const meanPromptTokens = 9_800;
const limit = { ratePerS: 100_000, burst: 100_000 };

describe('TokenQuota', () => {
  describe('a debt beyond all limits', () => {
    const peers = {
      daemons: 3,
      unreachableDaemons: 0,
      grantedByPeers: 0,
      askedOfPeers: 0,
      isConnected: true,
      propagationDelayMs: 700,
    };

    /** Times at which a quota grants a small request, each 100 ms. */
    function grantedAtMs(quota: TokenQuota, later: QuotaPeers, untilMs: number): number[] {
      const times: number[] = [];
      for (let atMs = 1_000; atMs < untilMs; atMs += 100)
        if (quota.tryTake(1_500, later, atMs) === undefined) times.push(atMs);
      return times;
    }

    // One request of a caller, or one report of another daemon, kept a workspace out until the restart.
    it.each([16_777_216, 1e15])(
      'of %d tokens granted elsewhere ends by itself within a minute',
      (tokens) => {
        const quota = new TokenQuota(limit, tolerance, new Random(1), 0);
        quota.tryTake(1_000, peers, 500);
        const nonsense = { ...peers, grantedByPeers: tokens, askedOfPeers: tokens };
        const granted = grantedAtMs(quota, nonsense, 60_000);
        expect(granted.length).toBeGreaterThan(0);
        expect(granted[0]).toBeGreaterThan(tolerance.windowMs / 2);
      },
    );
  });

  describe('long prompts that arrive at one daemon together', () => {
    it('are granted while the workspace as a whole is far below its limit', () => {
      const quota = new TokenQuota(limit, tolerance, new Random(1), 0);
      const peers = {
        daemons: 7,
        unreachableDaemons: 0,
        grantedByPeers: 0,
        askedOfPeers: 0,
        isConnected: true,
        propagationDelayMs,
      };
      quota.tryTake(1, peers, 8_000);
      const granted = [1, 2, 3].filter(
        (index) => quota.tryTake(12_000, peers, 8_000 + index) === undefined,
      );
      expect(granted).toHaveLength(3);
    });
  });

  describe("a prompt that is longer than a daemon's even share of the balance", () => {
    it('is granted while the peers use little', () => {
      const quota = new TokenQuota(limit, tolerance, new Random(1), 0);
      let grantedByPeers = 0;
      for (let atMs = 0; atMs < 20_000; atMs += 500) {
        quota.tryTake(
          1_000,
          {
            daemons: 7,
            unreachableDaemons: 0,
            grantedByPeers,
            askedOfPeers: grantedByPeers,
            isConnected: true,
            propagationDelayMs,
          },
          atMs,
        );
        grantedByPeers += 15_000;
      }
      const peers = {
        daemons: 7,
        unreachableDaemons: 0,
        grantedByPeers,
        askedOfPeers: grantedByPeers,
        isConnected: true,
        propagationDelayMs,
      };
      expect(quota.tryTake(65_000, peers, 20_000)).toBeUndefined();
    });
  });

  describe('a workspace that requests many times its limit from all daemons', () => {
    it('gets no more in any window than the limit with its tolerance', () => {
      fc.assert(
        fc.property(fc.integer({ min: 1, max: 9 }), fc.integer(), (daemons, seed) => {
          const grants = simulateOverload({
            daemons,
            seed,
            reportDelayMs: 1_000,
            isConnected: true,
          });
          expect(maxInWindow(grants)).toBeLessThanOrEqual(allowed());
        }),
        { numRuns: 30 },
      );
    });

    it('gets no more while some daemons are partitioned from the others', () => {
      for (const partitionedDaemons of [1, 2, 3]) {
        const grants = simulateOverload({
          daemons: 6,
          seed: 5,
          reportDelayMs: 1_000,
          isConnected: true,
          partitionedDaemons,
        });
        expect(maxInWindow(grants)).toBeLessThanOrEqual(allowed());
      }
    });

    it('gets no more while no daemon receives reports', () => {
      for (const daemons of [2, 7]) {
        const grants = simulateOverload({
          daemons,
          seed: 3,
          reportDelayMs: Infinity,
          isConnected: false,
        });
        expect(maxInWindow(grants)).toBeLessThanOrEqual(allowed());
      }
    });
  });

  describe('long prompts of a large workspace at many daemons', () => {
    const largeLimit = { ratePerS: 60_000, burst: 60_000 };

    it('are granted at half of the limit when grants are reported directly', () => {
      const options = { daemons: 73, demandPerS: 30_000, limit: largeLimit };
      const { requested, granted } = simulatePrompts({
        ...options,
        propagationDelayMs: 750,
        seed: 1,
      });
      expect(granted / requested).toBeGreaterThan(0.9);
    });

    it('are granted at half of the limit by hundreds of daemons, which report less often', () => {
      const daemons = 195;
      const { grantReportPeriodMs } = exchangeIntervals({
        daemons,
        domainDaemons: 34,
        maxRegistrationReadIntervalMs: 1_800,
      });
      const propagationDelayMs = grantReportPeriodMs + 250;
      const options = { daemons, demandPerS: 30_000, limit: largeLimit, propagationDelayMs };
      const { requested, granted } = simulatePrompts({ ...options, seed: 1 });
      expect(granted / requested).toBeGreaterThan(0.9);
    });

    it.each([750, 2_200, 5_000])(
      'stay within the limit with its tolerance under excess demand, reported after %i ms',
      (delayMs) => {
        const options = { daemons: 73, demandPerS: 240_000, limit: largeLimit };
        for (let seed = 1; seed <= 10; seed++) {
          const { grants } = simulatePrompts({ ...options, propagationDelayMs: delayMs, seed });
          expect(maxInWindow(grants)).toBeLessThanOrEqual(allowed(largeLimit));
        }
      },
    );
  });

  describe('a random refusal', () => {
    it('delays the retry until the peers have reported, so that callers cannot redraw', () => {
      const quota = new TokenQuota(limit, tolerance, new Random(1), 0);
      const peers = {
        daemons: 7,
        unreachableDaemons: 0,
        isConnected: true,
        propagationDelayMs: 400,
      };
      const counts = { grantedByPeers: 0, askedOfPeers: 0 };
      quota.refresh({ ...peers, ...counts }, 0);
      const overloadedPeers = { ...peers, grantedByPeers: 0, askedOfPeers: 50_000_000 };
      const answers = Array.from({ length: 20 }, () => quota.tryTake(10, overloadedPeers, 4_000));
      const refusals = answers.filter((retryAtMs) => retryAtMs !== undefined);
      expect(refusals.length).toBeGreaterThan(0);
      expect(Math.min(...refusals)).toBeGreaterThanOrEqual(4_400);
    });
  });

  describe('a refusal', () => {
    it('returns a retry time in the future', () => {
      const quota = new TokenQuota(limit, tolerance, new Random(1), 0);
      const peers = {
        daemons: 1,
        unreachableDaemons: 0,
        grantedByPeers: 0,
        askedOfPeers: 0,
        isConnected: true,
        propagationDelayMs,
      };
      let retryAtMs: number | undefined;
      while (retryAtMs === undefined) retryAtMs = quota.tryTake(20_000, peers, 10);
      expect(retryAtMs).toBeGreaterThan(10);
    });
  });
});

interface Grant {
  readonly atMs: number;
  readonly amount: number;
}

interface OverloadOptions {
  readonly daemons: number;
  readonly seed: number;
  readonly reportDelayMs: number;
  readonly isConnected: boolean;
  /** Number of daemons that are partitioned from the others. */
  readonly partitionedDaemons?: number;
}

/** Requests far more than the limit from all daemons, which report to each other with a delay. */
function simulateOverload({
  daemons,
  seed,
  reportDelayMs,
  isConnected,
  partitionedDaemons = 0,
}: OverloadOptions): Grant[] {
  const quotas = Array.from(
    { length: daemons },
    () => new TokenQuota(limit, tolerance, new Random(1), 0),
  );
  const grants: (Grant & { readonly daemon: number })[] = [];
  const requested: typeof grants = [];
  for (let step = 0; step < 3_000; step++) {
    const atMs = step * 10;
    const daemon = Math.abs((step * 7 + seed) % daemons);
    const amount = 200 + ((step * 997) % 13_000);
    const knownAmount = (list: typeof grants): number =>
      list
        .filter(
          (other) =>
            other.daemon !== daemon &&
            other.daemon >= partitionedDaemons &&
            daemon >= partitionedDaemons,
        )
        .filter((other) => other.atMs + reportDelayMs <= atMs)
        .reduce((sum, other) => sum + other.amount, 0);
    const isPartitioned = daemon < partitionedDaemons;
    const peers = {
      daemons: isPartitioned ? daemons : daemons - partitionedDaemons,
      unreachableDaemons: isPartitioned ? 0 : partitionedDaemons,
      grantedByPeers: knownAmount(grants),
      askedOfPeers: knownAmount(requested),
      isConnected: isConnected && !isPartitioned,
      propagationDelayMs,
    };
    requested.push({ atMs, amount, daemon });
    if (quotas[daemon]!.tryTake(amount, peers, atMs) === undefined) {
      grants.push({ atMs, amount, daemon });
    }
  }
  return grants;
}

/** Sends prompts of 3,000 to 30,000 tokens to random daemons, which report with a delay. */
function simulatePrompts(options: {
  readonly daemons: number;
  readonly demandPerS: number;
  readonly limit: { readonly ratePerS: number; readonly burst: number };
  readonly propagationDelayMs: number;
  readonly seed: number;
}): { readonly requested: number; readonly granted: number; readonly grants: Grant[] } {
  const { daemons, demandPerS, propagationDelayMs } = options;
  const random = new Random(options.seed);
  const quotas = Array.from(
    { length: daemons },
    () => new TokenQuota(options.limit, tolerance, random.fork(), 0),
  );
  const grants: (Grant & { readonly daemon: number })[] = [];
  const requested: typeof grants = [];
  const gapMs = (meanPromptTokens * 1_000) / demandPerS;
  const peersOf = (daemon: number, atMs: number): QuotaPeers => {
    const knownAmount = (list: typeof grants): number =>
      list
        .filter((other) => other.daemon !== daemon && other.atMs + propagationDelayMs <= atMs)
        .reduce((sum, other) => sum + other.amount, 0);
    const counts = { grantedByPeers: knownAmount(grants), askedOfPeers: knownAmount(requested) };
    return { daemons, unreachableDaemons: 0, ...counts, isConnected: true, propagationDelayMs };
  };
  let refreshAtMs = 0;
  for (let atMs = 0; atMs < 30_000; atMs += gapMs * 2 * random.float()) {
    if (atMs >= refreshAtMs) {
      quotas.forEach((quota, daemon) => {
        quota.refresh(peersOf(daemon, atMs), atMs);
      });
      refreshAtMs = atMs + 500;
    }
    const amount = random.float() < 0.6 ? 3_000 : random.int(10_000, 30_000);
    const daemon = random.int(0, daemons - 1);
    requested.push({ atMs, amount, daemon });
    if (quotas[daemon]!.tryTake(amount, peersOf(daemon, atMs), atMs) === undefined) {
      grants.push({ atMs, amount, daemon });
    }
  }
  return { requested: requested.length, granted: grants.length, grants };
}

function maxInWindow(grants: readonly Grant[]): number {
  return Math.max(
    ...grants.map(({ atMs }) =>
      grants
        .filter((other) => other.atMs >= atMs && other.atMs < atMs + tolerance.windowMs)
        .reduce((sum, { amount }) => sum + amount, 0),
    ),
  );
}

function allowed({ ratePerS, burst } = limit): number {
  const { windowMs, excessRatio, slack } = tolerance;
  return ((ratePerS * windowMs) / 1_000 + burst) * (1 + excessRatio) + slack;
}
