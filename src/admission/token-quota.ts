import type { Random } from '../core/index.js';
import { CounterRate } from './counter-rate.js';
import { ValueShares, type RequestValue } from './value-shares.js';

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

/**
 * Fraction of the capacity at which the balance is kept while the demand exceeds the limit. It
 * covers the variation of the request sizes.
 */
const targetBalanceRatio = 0.2;

/** Age of the reports from which on the whole target is kept; less is unknown with newer reports. */
const fullTargetDelayMs = 500;

/** Time constant of the demand. It follows a change of demand within about two reports. */
const demandSmoothingMs = 800;

/** Time constant of the grants of the peers. */
const grantSmoothingMs = 1_500;

/** Time constant of a daemon's share of the demand, which varies with the sizes of few requests. */
const shareSmoothingMs = 20_000;

/** Time in which the balance is brought back to its target: twice the delay, and this long. */
const minCorrectionMs = 300;

/** Mean age of a peer's counts relative to the largest one. */
const meanAgeRatio = 0.75;

/** Age up to which the grants in a spike are unknown, relative to the largest one. */
const unseenAgeRatio = 0.85;

/** Requests after which their mean size counts as known. */
const fewRequests = 3;

/** Requests within one delay from which on a sudden excess of demand is assumed. */
const spikeRatio = 1.5;
const minSpikeRequests = 3;

/**
 * Fraction of the excess up to which all daemons together may grant before they know of each other;
 * the rest covers the variation of the request sizes.
 */
const unseenExcessRatio = 0.4;

/** Factor by which the demand of a workspace may suddenly exceed its limit. */
const demandSpikeRatio = 8;

/** Demand relative to the limit from which on it counts as an excess. */
const knownExcessRatio = 1.2;

/** Weight of a request in the mean request size. */
const sizeSmoothing = 0.02;

/** Latest retry of a refused request, relative to its refusal. */
const maxRetryDelayMs = 4_400;

/** Fraction of the capacity from which on the balance counts as unused. */
const unusedBalanceRatio = 0.8;

/** Fraction of its part that one request takes on average, above which a daemon draws for it. */
const largeRequestRatio = 0.125;

/** Demand relative to that of the last seconds from which on it is rising. */
const risingRatio = 1.5;

/** Share of the demand relative to an even one from which on a daemon's share counts as uneven. */
const unevenRatio = 2;

/** Delays after its start in which a daemon assumes that its peers have the same demand. */
const startDelays = 2;

/** Shortest time over which the demand of a starting daemon is averaged, in milliseconds. */
const minDemandMs = 500;

/** Rank of requests that state neither priority nor objective. */
const defaultValue: RequestValue = { priority: 0, objectiveMs: 0 };

/** A grant that the peers may not know yet. */
interface RecentGrant {
  readonly amount: number;
  readonly atMs: number;
}

/**
 * One daemon's view of a workspace's quota. Daemons report their grants and their demand to each
 * other, so that each knows the shared balance as of the last reports.
 *
 * While the demand of all daemons together fits the limit and the balance, everything is granted.
 * Otherwise each daemon grants the same fraction of its requests, chosen at random: the fraction of
 * the known demand that the rate allows, corrected by the distance of the balance from a target. So
 * the sum of all grants follows the limit whatever the age of the reports, which only delays the
 * correction. Urgent requests are granted with a higher probability, large ones with the same.
 *
 * A daemon that sees a sudden excess in its own requests assumes the same of its peers until their
 * reports arrive.
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
  readonly #unpropagatedGrants: RecentGrant[] = [];
  readonly #recentRequestsAtMs: number[] = [];
  readonly #peerGrantedRate = new CounterRate(grantSmoothingMs);
  readonly #peerAskedRate = new CounterRate(demandSmoothingMs);
  readonly #ownAskedRate = new CounterRate(demandSmoothingMs);
  readonly #peerSlowRate = new CounterRate();
  readonly #ownShareRate = new CounterRate(shareSmoothingMs);
  readonly #peerShareRate = new CounterRate(shareSmoothingMs);
  readonly #requestRate = new CounterRate();
  readonly #shares = new ValueShares();
  readonly #startedAtMs: number;
  /** Differs between daemons, so that fractions of a request add up over all of them. */
  readonly #roundingOffset: number;
  #limit: QuotaLimit;
  #balance: number;
  #granted = 0;
  #asked = 0;
  #requests = 0;
  #meanAmount = 0;
  #reachableRatio = 1;
  #unpropagatedAmount = 0;
  #updatedAtMs: number;

  constructor(limit: QuotaLimit, tolerance: QuotaTolerance, random: Random, nowMs: number) {
    this.#limit = limit;
    this.#tolerance = tolerance;
    this.#random = random;
    // All daemons may have restarted in the midst of an excess: what they granted before counts too.
    const unusedTolerance = (1 - usableToleranceRatio) * this.#excess;
    const target = (limit.burst + usableToleranceRatio * this.#excess) * targetBalanceRatio;
    this.#balance = Math.min(limit.burst, target + unusedTolerance);
    this.#updatedAtMs = nowMs;
    this.#startedAtMs = nowMs;
    this.#roundingOffset = random.float();
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
  tryTake(
    amount: number,
    peers: QuotaPeers,
    nowMs: number,
    value: RequestValue = defaultValue,
  ): number | undefined {
    this.#refill(peers, nowMs);
    this.#dropPropagated(nowMs - peers.propagationDelayMs);
    const ratio = this.#grantableRatio(amount, peers, nowMs);
    this.#countRequest(amount, value, nowMs);
    const probability = this.#shares.grantProbability(value, ratio, nowMs);
    if (probability < 1 && this.#random.float() >= probability)
      return this.#retryAtMs(probability, peers, nowMs);
    const charge = peers.isConnected ? amount : this.#drawCharge(amount, peers);
    if (charge === undefined) return this.#retryAtMs(probability, peers, nowMs);
    this.#balance -= charge;
    this.#granted += amount;
    this.#unpropagatedAmount += amount;
    this.#unpropagatedGrants.push({ amount, atMs: nowMs });
    return undefined;
  }

  /** Deducts the peers' grants from the balance, even while this daemon receives no requests. */
  refresh(peers: QuotaPeers, nowMs: number): void {
    this.#refill(peers, nowMs);
  }

  #countRequest(amount: number, value: RequestValue, nowMs: number): void {
    const weight = Math.max(sizeSmoothing, 1 / (this.#requests + 1));
    this.#meanAmount += (amount - this.#meanAmount) * weight;
    this.#asked += amount;
    this.#requests += 1;
    this.#recentRequestsAtMs.push(nowMs);
    this.#shares.record(value, amount, nowMs);
  }

  /** Part of the demand that can be granted now, from 0 to 1. */
  #grantableRatio(amount: number, peers: QuotaPeers, nowMs: number): number {
    if (this.#hasGrantedItsPart(amount, peers, nowMs)) return 0;
    // Draws for large requests keep the balance at 0; a fraction of them would leave it unused.
    if (!peers.isConnected && this.#meanAmount > largeRequestRatio * this.#capacity(peers))
      return this.#balance > 0 ? 1 : 0;
    const spike = this.#spike(peers);
    const capacity = this.#capacity(peers);
    const balance = this.#balance - this.#unreportedByPeers(peers, spike);
    if (balance + this.#unusedTolerance(peers) < Math.min(amount, capacity / 2)) return 0;
    const correctionMs = minCorrectionMs + 2 * delayOf(peers);
    const correctionPerS = ((balance - this.#target(peers)) * 1_000) / correctionMs;
    const grantablePerS = this.#limit.ratePerS * reachableRatio(peers) + correctionPerS;
    const demandPerS = this.#demandPerS(peers, nowMs) * spike;
    return Math.max(0, Math.min(1, grantablePerS / Math.max(1, demandPerS)));
  }

  /** Balance that is kept for the variation of grants that are not known yet. */
  #target(peers: QuotaPeers): number {
    const delayRatio = Math.min(1, delayOf(peers) / fullTargetDelayMs);
    return this.#capacity(peers) * targetBalanceRatio * delayRatio;
  }

  /** Tolerance for grants that are not known yet. */
  #unusedTolerance(peers: QuotaPeers): number {
    return (1 - usableToleranceRatio) * this.#excess * reachableRatio(peers);
  }

  /**
   * Whether this daemon has granted so many requests that the balance would be used up before the
   * daemons know of each other's grants, if all of them did the same. While the demand is known to
   * exceed the limit, the granted fraction of it bounds the sum instead.
   */
  #hasGrantedItsPart(amount: number, peers: QuotaPeers, nowMs: number): boolean {
    const { ratePerS } = this.#limit;
    const isStarting = this.#isStarting(peers, nowMs);
    const knownPerS = this.#demandPerS(peers, nowMs);
    // While the demand rises, it is larger than what is known of it.
    const capacity = this.#capacity(peers);
    const windowAllowance = capacity + (ratePerS * this.#tolerance.windowMs) / 1_000;
    const spikeAmount = (ratePerS * demandSpikeRatio * delayOf(peers)) / 1_000;
    const isSpikeWithinWindow = spikeAmount <= windowAllowance;
    const isKnown = !isStarting && isSpikeWithinWindow && !this.#isDemandRising;
    if (isKnown && knownPerS > ratePerS * knownExcessRatio) return false;
    const excess = isStarting ? 0 : unseenExcessRatio * this.#excess;
    const shared = this.#balance + this.#unpropagatedAmount + excess;
    if (spikeAmount * unseenAgeRatio <= shared) return false;
    // A part may be less than one request. Those of few requests fit nevertheless.
    const isUnused = this.#balance >= capacity * unusedBalanceRatio;
    if (isUnused && isSpikeWithinWindow && this.#unpropagatedGrants.length === 0) return false;
    // The mean of few requests of varying sizes is mostly too low.
    const meanAmount =
      this.#requests === 0
        ? amount
        : this.#meanAmount * (1 + fewRequests / (this.#requests + fewRequests));
    const requests = (shared * this.#ownShare(peers)) / Math.max(1, meanAmount);
    return this.#unpropagatedGrants.length + 1 > Math.floor(requests + this.#roundingOffset);
  }

  get #isDemandRising(): boolean {
    return this.#peerAskedRate.perS > risingRatio * this.#peerSlowRate.perS;
  }

  /** Units requested per second, of this daemon and of those connected with it. */
  #demandPerS(peers: QuotaPeers, nowMs: number): number {
    if (!peers.isConnected) return this.#ownAskedRate.perS;
    const knownPerS = this.#ownAskedRate.perS + this.#peerAskedRate.perS;
    if (!this.#isStarting(peers, nowMs)) return knownPerS;
    const elapsedMs = Math.max(minDemandMs, nowMs - this.#startedAtMs);
    return Math.max(knownPerS, (this.#asked * peers.daemons * 1_000) / elapsedMs);
  }

  /** Whether too little time has passed to know the demand at the peers. */
  #isStarting(peers: QuotaPeers, nowMs: number): boolean {
    return nowMs - this.#startedAtMs < startDelays * delayOf(peers);
  }

  /** Units that the peers have probably granted since their reports. */
  #unreportedByPeers(peers: QuotaPeers, spike: number): number {
    const delayMs = delayOf(peers);
    if (delayMs === 0) return 0;
    const expected = (this.#peerGrantedRate.perS * delayMs * meanAgeRatio) / 1_000;
    if (spike === 1) return expected;
    // The others are assumed to have granted as much as this one.
    return Math.max(expected, this.#unpropagatedAmount * (peers.daemons - 1));
  }

  /** This daemon's share of the demand; an even one unless its own is clearly larger. */
  #ownShare(peers: QuotaPeers): number {
    const evenShare = 1 / peers.daemons;
    const sum = this.#ownShareRate.perS + this.#peerShareRate.perS;
    const share = sum > 0 ? this.#ownShareRate.perS / sum : 0;
    return share > evenShare * unevenRatio ? share : evenShare;
  }

  /**
   * Factor by which the demand exceeds what has been reported, judged by the number of own requests
   * within one delay; 1 without a spike. The number varies less than the amount.
   */
  #spike(peers: QuotaPeers): number {
    const delayMs = delayOf(peers);
    if (delayMs === 0) return 1;
    const expected = (this.#requestRate.perS * delayMs) / 1_000;
    const requests = this.#recentRequestsAtMs.length;
    if (requests <= spikeRatio * expected + minSpikeRequests) return 1;
    return requests / Math.max(1, expected);
  }

  /**
   * What an amount costs a daemon without connection. An amount above its part of the balance is
   * granted in proportion, and the part is used up in any case: so the expected grants of all
   * daemons are the sum of their parts, however large a request is.
   *
   * @returns undefined when the request is not granted.
   */
  #drawCharge(amount: number, peers: QuotaPeers): number | undefined {
    const available = Math.max(0, this.#balance + this.#unusedTolerance(peers));
    if (available >= amount) return amount;
    if (this.#random.float() < available / amount) return available;
    this.#balance -= available;
    return undefined;
  }

  /** How far all daemons together may exceed the limit within a window. */
  get #excess(): number {
    const { ratePerS, burst } = this.#limit;
    const { windowMs, excessRatio, slack } = this.#tolerance;
    return excessRatio * ((ratePerS * windowMs) / 1_000 + burst) + slack;
  }

  /** What all daemons together may grant within a window. */
  get #windowAllowance(): number {
    const { ratePerS, burst } = this.#limit;
    return (ratePerS * this.#tolerance.windowMs) / 1_000 + burst + this.#excess;
  }

  /** Maximum balance, which the connected daemons may grant at once. */
  #capacity(peers: QuotaPeers): number {
    return (this.#limit.burst + usableToleranceRatio * this.#excess) * reachableRatio(peers);
  }

  #refill(peers: QuotaPeers, nowMs: number): void {
    const { grantedByPeers, askedOfPeers } = peers;
    this.#divideBalance(peers);
    const elapsedS = Math.max(0, nowMs - this.#updatedAtMs) / 1_000;
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
    const ratePerS = this.#limit.ratePerS * reachableRatio(peers);
    const grantedSinceUpdate = this.#peerGrantedRate.update(grantedByPeers, elapsedS);
    this.#peerAskedRate.update(askedOfPeers, elapsedS);
    this.#ownAskedRate.update(this.#asked, elapsedS);
    this.#ownShareRate.update(this.#asked, elapsedS);
    this.#peerShareRate.update(askedOfPeers, elapsedS);
    this.#peerSlowRate.update(askedOfPeers, elapsedS);
    this.#requestRate.update(this.#requests, elapsedS);
    // Unreported grants have been made from it. A debt of more than a window's grants would outlast the
    // window in which they count.
    this.#balance = Math.max(
      -this.#windowAllowance,
      Math.min(
        this.#capacity(peers) + this.#unreportedByPeers(peers, 1),
        this.#balance + elapsedS * ratePerS - grantedSinceUpdate,
      ),
    );
  }

  /** Leaves the daemons that are not reachable any more their part of the balance. */
  #divideBalance(peers: QuotaPeers): void {
    const ratio = reachableRatio(peers);
    if (ratio < this.#reachableRatio) {
      const unreported = (this.#peerGrantedRate.perS * peers.propagationDelayMs) / 1_000;
      this.#balance = ((this.#balance - unreported) * ratio) / this.#reachableRatio;
    }
    this.#reachableRatio = ratio;
  }

  #dropPropagated(untilMs: number): void {
    for (let first = this.#unpropagatedGrants[0]; first && first.atMs <= untilMs;) {
      this.#unpropagatedAmount -= first.amount;
      this.#unpropagatedGrants.shift();
      first = this.#unpropagatedGrants[0];
    }
    while ((this.#recentRequestsAtMs[0] ?? Infinity) <= untilMs) this.#recentRequestsAtMs.shift();
  }

  /**
   * Time of a retry: not before the peers' grants are known, so that callers cannot redraw, and
   * later the smaller the chance is. Retries are spread over that time.
   */
  #retryAtMs(probability: number, { propagationDelayMs }: QuotaPeers, nowMs: number): number {
    const spreadMs = Math.max(0, maxRetryDelayMs - propagationDelayMs) * (1 - probability);
    return nowMs + propagationDelayMs + spreadMs * this.#random.float();
  }
}

/** Age that the counts of the peers may have, in milliseconds; 0 without connected peers. */
function delayOf({ daemons, isConnected, propagationDelayMs }: QuotaPeers): number {
  return isConnected && daemons > 1 ? propagationDelayMs : 0;
}

/**
 * Fraction of the quota for the connected daemons: their even share among all daemons that may be
 * granting, because unreachable daemons continue to use theirs.
 */
function reachableRatio({ daemons, unreachableDaemons, isConnected }: QuotaPeers): number {
  return (isConnected ? daemons : 1) / (daemons + unreachableDaemons);
}
