import { TokenBucket } from './token-bucket.js';

/** Rate and burst of a workspace over all daemons, in the workspace's unit. */
export interface QuotaLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

/** Part of the quota that is split evenly, so that callers who move find room at their new daemon. */
const evenRatio = 0.3;

/** Time constant of the demand estimate; also how fast shares follow callers between daemons. */
const demandSmoothingMs = 4_000;

/**
 * One daemon's share of a workspace's quota. The shares of daemons that know each other's demand sum
 * to 1, so that together they grant no more than the quota.
 *
 * @example
 * ```ts
 * const quota = new TokenQuota({ ratePerS: 1_000, burst: 1_000 }, 1 / 7, clock.nowMs());
 * const retryAtMs = quota.tryTake(300, clock.nowMs()); // undefined when granted
 * ```
 */
export class TokenQuota {
  #limit: QuotaLimit;
  #share: number;
  #demandPerS = 0;
  #demandAtMs: number;
  readonly #bucket: TokenBucket;

  /** @param share - of the quota, in (0, 1]. */
  constructor(limit: QuotaLimit, share: number, nowMs: number) {
    this.#limit = limit;
    this.#share = share;
    this.#demandAtMs = nowMs;
    this.#bucket = new TokenBucket(limit.ratePerS * share, limit.burst * share, nowMs);
  }

  /** Takes over a changed limit. */
  updateLimit(limit: QuotaLimit, nowMs: number): void {
    if (limit.ratePerS === this.#limit.ratePerS && limit.burst === this.#limit.burst) return;
    this.#limit = limit;
    this.#resize(nowMs);
  }

  /**
   * Takes over what the other daemons say.
   *
   * @param daemons - live daemons, this one included.
   * @param othersDemandPerS - their demand for the workspace.
   */
  updatePeers(daemons: number, othersDemandPerS: number, nowMs: number): void {
    const own = this.demandPerS(nowMs);
    const total = own + othersDemandPerS;
    const demandShare = total > 0 ? own / total : 1 / daemons;
    this.#share = evenRatio / daemons + (1 - evenRatio) * demandShare;
    this.#resize(nowMs);
  }

  /** Smoothed demand per second, refused requests included. */
  demandPerS(nowMs: number): number {
    const idleMs = Math.max(0, nowMs - this.#demandAtMs);
    return this.#demandPerS * Math.exp(-idleMs / demandSmoothingMs);
  }

  /** Takes an amount. @returns when it may be asked for again, in epoch milliseconds, if refused. */
  tryTake(amount: number, nowMs: number): number | undefined {
    this.#demandPerS = this.demandPerS(nowMs) + (amount * 1_000) / demandSmoothingMs;
    this.#demandAtMs = nowMs;
    if (this.#bucket.tryTake(amount, nowMs)) return undefined;
    return this.#bucket.availableAtMs(amount, nowMs);
  }

  #resize(nowMs: number): void {
    const { ratePerS, burst } = this.#limit;
    this.#bucket.resize(ratePerS * this.#share, burst * this.#share, nowMs);
  }
}
