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
  /** Excess in the limit's unit, besides the ratio. */
  readonly slack: number;
}

/** How the other daemons are heard. */
export interface QuotaPeerStatus {
  /** Live daemons, this one included. */
  readonly daemons: number;
  /** Daemons that went without a word; they may go on granting unheard. */
  readonly unreachableDaemons: number;
  /** False while nothing is heard from them. */
  readonly isConnected: boolean;
  /** Grants younger than this may be unknown to the other daemons, in milliseconds. */
  readonly propagationDelayMs: number;
}

/** What is known of the other daemons about one workspace. */
export interface QuotaPeers extends QuotaPeerStatus {
  /** Units that the others granted since the start, as far as they have told. */
  readonly grantedByPeers: number;
  /** Units that the others were asked for since the start, as far as they have told. */
  readonly askedOfPeers: number;
}

/** Part of the tolerance that is used; the rest covers what the others have not told yet. */
const usableToleranceRatio = 0.6;

/** How much faster the others may have become since they last told. */
const peerRateGrowthRatio = 1.75;

/** Part of the balance that one daemon grants at most before the others know. */
const maxUnpropagatedRatio = 0.5;

/** A refused caller is asked back within this time: the others' demand may end sooner than expected. */
const maxRetryDelayMs = 4_400;

/** A workspace may suddenly ask for this many times its limit. */
const demandSpikeRatio = 8;

/**
 * One daemon's view of a workspace's quota. Daemons tell each other what they granted, so that each
 * knows the balance that all share, up to a moment ago. What the others have granted since is
 * estimated from their rate; the rest of the balance is there for whoever needs it, so that a long
 * prompt finds room at any daemon. An even part of the balance is always a daemon's own.
 *
 * @example
 * ```ts
 * const quota = new TokenQuota({ ratePerS: 1_000, burst: 1_000 }, tolerance, clock.nowMs());
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

  /** Units granted here since the start, for the other daemons. */
  get granted(): number {
    return this.#granted;
  }

  /** Units asked for here since the start, for the other daemons. */
  get asked(): number {
    return this.#asked;
  }

  /** Units that may be granted now, before what is kept back for the others' unknown grants. */
  get balance(): number {
    return this.#balance;
  }

  /** Takes over a changed limit; a balance above the new capacity is cut. */
  updateLimit(limit: QuotaLimit): void {
    this.#limit = limit;
  }

  /** Takes an amount. @returns when to ask again, in epoch milliseconds, if refused. */
  tryTake(amount: number, peers: QuotaPeers, nowMs: number): number | undefined {
    this.#asked += amount;
    this.#refill(peers, nowMs);
    this.#dropPropagatedGrants(nowMs - peers.propagationDelayMs);
    const available = this.#available(peers);
    // A request above the whole capacity passes when nothing else was granted for a while.
    const needed = Math.min(
      amount,
      this.#capacity(peers) * maxUnpropagatedRatio,
      this.#maxUnpropagated(peers),
    );
    if (available < needed) return this.#retryAtMs(needed - available, nowMs);
    // Once the others' grants are known here, there is room or a reason to wait longer.
    if (!this.#isRandomlyGranted(amount, peers)) return nowMs + peers.propagationDelayMs;
    this.#balance -= amount;
    this.#granted += amount;
    this.#unpropagatedAmount += amount;
    this.#unpropagatedGrants.push({ amount, atMs: nowMs });
    return undefined;
  }

  /** Reckons with what the others granted, also while nothing is asked for here. */
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
   * Whether a request takes its chance while more is asked for than there is: all daemons see the
   * same balance at the same time, and before they know of each other's grants each passes only a
   * part of what it is asked for, so that all together pass what there is. A request longer than a
   * daemon may grant unheard takes its chance in proportion.
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
   * Most that this daemon grants before the others know. A workspace that suddenly asks at all
   * daemons for many times its limit must not get more than a window bears.
   */
  #maxUnpropagated(peers: QuotaPeers): number {
    const { ratePerS } = this.#limit;
    const windowAllowance = this.#capacity(peers) + (ratePerS * this.#tolerance.windowMs) / 1_000;
    const spikeAmount = (ratePerS * demandSpikeRatio * peers.propagationDelayMs) / 1_000;
    return spikeAmount <= windowAllowance ? Infinity : windowAllowance / peers.daemons;
  }

  /** Most that the daemons which hear each other grant at once. */
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
 * Part of the quota for the daemons that hear each other: their even part among all that may be
 * granting, since those that are cut off go on with theirs.
 */
function reachableRatio({ daemons, unreachableDaemons, isConnected }: QuotaPeers): number {
  return (isConnected ? daemons : 1) / (daemons + unreachableDaemons);
}
