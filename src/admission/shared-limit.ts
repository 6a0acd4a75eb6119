import type { LimitsSettings } from '../settings/index.js';
import { TokenBucket } from './token-bucket.js';

/** Limits that {@link SharedLimit} shares between daemons. */
export type SharedLimitSettings = Pick<
  LimitsSettings,
  'rate_per_s' | 'burst_requests' | 'concurrency_requests' | 'spend_usd_per_hour'
>;

/** Which limit refused a request. */
export enum LimitKind {
  Rate = 'rate',
  Concurrency = 'concurrency',
  Spend = 'spend',
}

/** Refusal by {@link SharedLimit.tryAcquire}. */
export interface LimitRefusal {
  readonly kind: LimitKind;
  /** Recommended time of a retry, in epoch milliseconds. */
  readonly retryAtMs: number;
}

/** Time constant of the demand estimate, and thus of the shares when callers change daemons. */
const demandSmoothingMs = 5_000;

/** Burst of the spend limit, as time at the full rate. */
const spendBurstS = 60;

/**
 * One daemon's share of a workspace's limits, computed without a coordinator: limit × max(own share
 * of the known demand, 1/(2n)) for n live daemons.
 *
 * Overshoot bound: while the daemons agree on n and on each other's demand, the shares sum to at
 * most 1.5, because the demand shares sum to 1 and the floors to at most 1/2. All daemons together
 * thus grant at most 1.5 × the limit (for concurrency plus one request per daemon, because a share
 * is at least one request). Partitioned into k groups, they grant at most k times that. Demand
 * that moves between daemons can add the moved share until one gossip delay has passed.
 *
 * @example
 * ```ts
 * const limit = new SharedLimit(deployment.limits('tejidos/quotes'), clock.nowMs());
 * limit.updatePeers(7, 12.5, clock.nowMs());
 * const refusal = limit.tryAcquire(0.001, clock.nowMs());
 * if (!refusal) limit.release(0.001, 0.0008, clock.nowMs());
 * ```
 */
export class SharedLimit {
  #limits: SharedLimitSettings;
  #liveDaemons = 1;
  #peerDemandPerS = 0;
  #ownDemandPerS = 0;
  #demandAtMs: number;
  #inFlight = 0;
  #resizedAtMs: number;
  readonly #rate: TokenBucket;
  readonly #spend: TokenBucket;

  constructor(limits: SharedLimitSettings, nowMs: number) {
    this.#limits = limits;
    this.#demandAtMs = nowMs;
    this.#resizedAtMs = nowMs;
    this.#rate = new TokenBucket(limits.rate_per_s, limits.burst_requests, nowMs);
    const spendPerS = limits.spend_usd_per_hour / 3_600;
    this.#spend = new TokenBucket(spendPerS, spendPerS * spendBurstS, nowMs);
  }

  /** Requests acquired and not yet released. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Applies changed settings. */
  updateLimits(limits: SharedLimitSettings, nowMs: number): void {
    if (limits === this.#limits) return;
    this.#limits = limits;
    this.#resize(nowMs);
  }

  /**
   * Applies membership and demand received by gossip.
   *
   * @param liveDaemons - number of live daemons, including this one.
   * @param peerDemandPerS - requests per second for the workspace, summed over the other daemons.
   */
  updatePeers(liveDaemons: number, peerDemandPerS: number, nowMs: number): void {
    this.#liveDaemons = Math.max(1, liveDaemons);
    this.#peerDemandPerS = Math.max(0, peerDemandPerS);
    this.#resize(nowMs);
  }

  /** This daemon's smoothed demand for gossip, in requests per second, refused ones included. */
  demandPerS(nowMs: number): number {
    const idleMs = Math.max(0, nowMs - this.#demandAtMs);
    return this.#ownDemandPerS * Math.exp(-idleMs / demandSmoothingMs);
  }

  /** This daemon's share of the limits, in (0, 1]. */
  share(nowMs: number): number {
    const own = this.demandPerS(nowMs);
    const total = own + this.#peerDemandPerS;
    const ownShare = total > 0 ? own / total : 1 / this.#liveDaemons;
    return Math.max(ownShare, 1 / (2 * this.#liveDaemons));
  }

  /** Counts a request as demand and acquires all limits. @returns the refusing limit, if any. */
  tryAcquire(expectedUsd: number, nowMs: number): LimitRefusal | undefined {
    const demandPerS = this.demandPerS(nowMs);
    this.#ownDemandPerS = demandPerS + 1_000 / demandSmoothingMs;
    this.#demandAtMs = nowMs;
    // Shares change slowly; resizing at most every 100 ms keeps admission cheap at high rates.
    if (nowMs - this.#resizedAtMs >= 100) this.#resize(nowMs);

    const slots = Math.max(1, Math.floor(this.#limits.concurrency_requests * this.share(nowMs)));
    if (this.#inFlight >= slots) {
      return { kind: LimitKind.Concurrency, retryAtMs: nowMs + 1_000 };
    }
    const spendAtMs = this.#spend.availableAtMs(expectedUsd, nowMs);
    if (spendAtMs > nowMs) return { kind: LimitKind.Spend, retryAtMs: spendAtMs };
    if (!this.#rate.tryTake(1, nowMs)) {
      return { kind: LimitKind.Rate, retryAtMs: this.#rate.availableAtMs(1, nowMs) };
    }
    this.#spend.charge(expectedUsd, nowMs);
    this.#inFlight += 1;
    return undefined;
  }

  /** Ends a request and settles the difference between expected and actual spend. */
  release(expectedUsd: number, actualUsd: number, nowMs: number): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    this.#spend.charge(actualUsd - expectedUsd, nowMs);
  }

  #resize(nowMs: number): void {
    this.#resizedAtMs = nowMs;
    const share = this.share(nowMs);
    const { rate_per_s, burst_requests, spend_usd_per_hour } = this.#limits;
    this.#rate.resize(rate_per_s * share, Math.max(1, burst_requests * share), nowMs);
    const spendPerS = (spend_usd_per_hour * share) / 3_600;
    this.#spend.resize(spendPerS, spendPerS * spendBurstS, nowMs);
  }
}
