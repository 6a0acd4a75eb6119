import type { Random } from '../core/index.js';
import { CounterRate } from './counter-rate.js';

/** Rate and burst of a workspace over all daemons, in the workspace's unit. */
export interface QuotaLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

/** How far all daemons together may exceed a limit within a window. */
export interface QuotaTolerance {
  readonly windowMs: number;
  /** Excess relative to what the limit grants in a window. */
  readonly excessRatio: number;
  /** Further excess, in the limit's unit. */
  readonly slack: number;
}

/** Connectivity to the other daemons. */
export interface QuotaPeerStatus {
  /** Live daemons, including this one. */
  readonly daemons: number;
  /** Daemons that became unreachable without leaving; they may still grant requests. */
  readonly unreachableDaemons: number;
  /** Whether the reports of the other daemons arrive. */
  readonly isConnected: boolean;
  /** Grants younger than this may be unknown to the other daemons, in milliseconds. */
  readonly propagationDelayMs: number;
}

/** What the other daemons reported about one workspace. */
export interface QuotaPeers extends QuotaPeerStatus {
  /** Units that the other daemons granted since this one started, as far as reported. */
  readonly grantedByPeers: number;
  /** Units requested from the other daemons since this one started, as far as reported. */
  readonly askedOfPeers: number;
}

/** Fraction of the tolerance that is used; the rest covers grants that are not reported yet. */
const usableToleranceRatio = 0.6;

/** Factor by which the peers' grant rate may have grown since their last report. */
const peerRateGrowthRatio = 1.75;

/** Maximum fraction of the balance that one daemon grants before its peers know. */
const maxUnpropagatedRatio = 0.5;

/** Maximum delay of a retry, because the demand at the peers may end sooner than expected. */
const maxRetryDelayMs = 4_400;

/** Factor by which the demand of a workspace may suddenly exceed its limit. */
const demandSpikeRatio = 8;

/**
 * One daemon's view of a workspace's quota. Daemons report their grants to each other, so that each
 * knows the shared balance as of the last reports. Grants that the peers have made since then are
 * estimated from their rate. Any daemon may use the rest of the balance, so that a long prompt can
 * be granted anywhere. Each daemon may always use an even share of the balance.
 *
 * @example
 * ```ts
 * const limit = { ratePerS: 1_000, burst: 1_000 };
 * const quota = new TokenQuota(limit, tolerance, random, clock.nowMs());
 * const retryAtMs = quota.tryTake(300, peers, clock.nowMs()); // undefined when granted
 * ```
 */
export class TokenQuota {
  readonly #tolerance: QuotaTolerance;
  readonly #random: Random;
  readonly #unpropagatedGrants: { readonly amount: number; readonly atMs: number }[] = [];
  readonly #peerGrantedRate = new CounterRate();
  readonly #peerAskedRate = new CounterRate();
  #limit: QuotaLimit;
  #balance: number;
  #granted = 0;
  #asked = 0;
  #unpropagatedAmount = 0;
  #updatedAtMs: number;

  constructor(limit: QuotaLimit, tolerance: QuotaTolerance, random: Random, nowMs: number) {
    this.#limit = limit;
    this.#tolerance = tolerance;
    this.#random = random;
    this.#balance = limit.burst;
    this.#updatedAtMs = nowMs;
  }

  /** Units that this daemon granted since the start, as reported to its peers. */
  get granted(): number {
    return this.#granted;
  }

  /** Units requested from this daemon since the start, as reported to its peers. */
  get asked(): number {
    return this.#asked;
  }

  /** Units that may be granted now, before the deduction of the peers' unreported grants. */
  get balance(): number {
    return this.#balance;
  }

  /** Applies a changed limit; the next refill cuts a balance above the new capacity. */
  updateLimit(limit: QuotaLimit): void {
    this.#limit = limit;
  }

  /** Takes an amount. @returns the time of a retry, in epoch milliseconds, if refused. */
  tryTake(amount: number, peers: QuotaPeers, nowMs: number): number | undefined {
    this.#asked += amount;
    this.#refill(peers, nowMs);
    this.#dropPropagatedGrants(nowMs - peers.propagationDelayMs);
    const available = this.#available(peers);
    // An amount above the capacity is granted when nothing else has been granted for a while.
    const needed = Math.min(
      amount,
      this.#capacity(peers) * maxUnpropagatedRatio,
      this.#maxUnpropagated(peers),
    );
    if (available < needed) return this.#retryAtMs(needed - available, nowMs);
    // At the retry, the peers' grants are known: the balance suffices, or the next delay is longer.
    if (!this.#isRandomlyGranted(amount, peers)) return nowMs + peers.propagationDelayMs;
    this.#balance -= amount;
    this.#granted += amount;
    this.#unpropagatedAmount += amount;
    this.#unpropagatedGrants.push({ amount, atMs: nowMs });
    return undefined;
  }

  /** Deducts the peers' grants from the balance, even while this daemon receives no requests. */
  refresh(peers: QuotaPeers, nowMs: number): void {
    this.#refill(peers, nowMs);
  }

  #available(peers: QuotaPeers): number {
    const { daemons, isConnected, propagationDelayMs } = peers;
    if (!isConnected) return this.#balance;
    const sharedBalance = this.#balance + this.#unpropagatedAmount;
    const evenShare = sharedBalance / daemons - this.#unpropagatedAmount;
    const unpropagatedByPeers =
      (this.#peerGrantedRate.perS * peerRateGrowthRatio * propagationDelayMs) / 1_000;
    const ownAllowance =
      Math.min(sharedBalance * maxUnpropagatedRatio, this.#maxUnpropagated(peers)) -
      this.#unpropagatedAmount;
    return Math.max(evenShare, Math.min(ownAllowance, this.#balance - unpropagatedByPeers));
  }

  /**
   * Grants at random while the demand exceeds the balance. All daemons see the same balance at the
   * same time. Until they know of each other's grants, each grants only a fraction of its requests,
   * so that the grants add up to the balance. An amount above `#maxUnpropagated` is granted with a
   * proportionally lower probability.
   */
  #isRandomlyGranted(amount: number, peers: QuotaPeers): boolean {
    const { daemons, propagationDelayMs, isConnected } = peers;
    if (!isConnected || daemons === 1) return true;
    const askedDuringDelay = (this.#peerAskedRate.perS * propagationDelayMs) / 1_000;
    const balanceRatio = this.#balance / Math.max(1, askedDuringDelay);
    const sizeRatio = this.#maxUnpropagated(peers) / amount;
    return this.#random.float() < Math.min(1, balanceRatio) * Math.min(1, sizeRatio);
  }

  /**
   * Maximum amount that this daemon grants before its peers know. A workspace that suddenly sends
   * many times its limit to all daemons must not get more than a window allows.
   */
  #maxUnpropagated(peers: QuotaPeers): number {
    const { ratePerS } = this.#limit;
    const windowAllowance = this.#capacity(peers) + (ratePerS * this.#tolerance.windowMs) / 1_000;
    const spikeAmount = (ratePerS * demandSpikeRatio * peers.propagationDelayMs) / 1_000;
    return spikeAmount <= windowAllowance ? Infinity : windowAllowance / peers.daemons;
  }

  /** Maximum balance, which the connected daemons may grant at once. */
  #capacity(peers: QuotaPeers): number {
    const { ratePerS, burst } = this.#limit;
    const { windowMs, excessRatio, slack } = this.#tolerance;
    const excess = excessRatio * ((ratePerS * windowMs) / 1_000 + burst) + slack;
    return (burst + usableToleranceRatio * excess) * reachableRatio(peers);
  }

  #refill(peers: QuotaPeers, nowMs: number): void {
    const { grantedByPeers, askedOfPeers } = peers;
    const elapsedS = Math.max(0, nowMs - this.#updatedAtMs) / 1_000;
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
    const ratePerS = this.#limit.ratePerS * reachableRatio(peers);
    const grantedSinceUpdate = this.#peerGrantedRate.update(grantedByPeers, elapsedS);
    this.#peerAskedRate.update(askedOfPeers, elapsedS);
    this.#balance = Math.min(
      this.#capacity(peers),
      this.#balance + elapsedS * ratePerS - grantedSinceUpdate,
    );
  }

  #dropPropagatedGrants(untilMs: number): void {
    for (let first = this.#unpropagatedGrants[0]; first && first.atMs <= untilMs;) {
      this.#unpropagatedAmount -= first.amount;
      this.#unpropagatedGrants.shift();
      first = this.#unpropagatedGrants[0];
    }
  }

  #retryAtMs(missing: number, nowMs: number): number {
    return nowMs + Math.min(maxRetryDelayMs, (missing * 1_000) / Math.max(1, this.#limit.ratePerS));
  }
}

/**
 * Fraction of the quota for the connected daemons: their even share among all daemons that may be
 * granting, because unreachable daemons continue to use theirs.
 */
function reachableRatio({ daemons, unreachableDaemons, isConnected }: QuotaPeers): number {
  return (isConnected ? daemons : 1) / (daemons + unreachableDaemons);
}
