/** Rate and burst of a workspace over all daemons, in the workspace's unit. */
export interface QuotaLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

/** How far all daemons together may exceed a limit within a window. */
export interface QuotaTolerance {
  readonly windowMs: number;
  /** Excess relative to what the limit grants in a window. */
  readonly overRatio: number;
  /** Excess in the limit's unit, besides the ratio. */
  readonly slack: number;
}

/** What is known of the other daemons. */
export interface QuotaPeers {
  /** Live daemons, this one included. */
  readonly daemons: number;
  /** Daemons that went without a word; they may go on granting unheard. */
  readonly silentDaemons: number;
  /** Units that the others granted since the start, as far as they have told. */
  readonly grantedByOthers: number;
  /** False while nothing is heard from them. */
  readonly isCurrent: boolean;
}

/** Part of the tolerance that is used; the rest covers what the others have not told yet. */
const toleranceRatio = 0.6;

/** Grants younger than this may be unknown to the other daemons. */
const untoldMs = 2_200;

/** How much faster the others may have become since they last told. */
const growthRatio = 1.75;

/** Part of the balance that one daemon grants at most before the others know. */
const maxBalanceRatio = 0.5;

/** Time constant of the others' rate. */
const rateSmoothingMs = 4_000;

/**
 * One daemon's view of a workspace's quota. Daemons tell each other what they granted, so that each
 * knows the balance that all share, up to two seconds ago. What the others have granted since is
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
  readonly #untold: { readonly amount: number; readonly atMs: number }[] = [];
  #limit: QuotaLimit;
  #balance: number;
  #granted = 0;
  #untoldAmount = 0;
  #knownByOthers: number | undefined;
  #othersPerS = 0;
  #updatedAtMs: number;

  constructor(limit: QuotaLimit, tolerance: QuotaTolerance, nowMs: number) {
    this.#limit = limit;
    this.#tolerance = tolerance;
    this.#balance = limit.burst;
    this.#updatedAtMs = nowMs;
  }

  /** Units granted here since the start, for the other daemons. */
  get granted(): number {
    return this.#granted;
  }

  /** Takes over a changed limit; a balance above the new capacity is cut. */
  updateLimit(limit: QuotaLimit): void {
    this.#limit = limit;
  }

  /** Takes an amount. @returns when to ask again, in epoch milliseconds, if refused. */
  tryTake(amount: number, peers: QuotaPeers, nowMs: number): number | undefined {
    this.#refill(peers, nowMs);
    this.#forgetTold(nowMs);
    const available = this.#available(peers);
    // A request above the whole capacity passes when nothing else was granted for a while.
    const needed = Math.min(amount, this.#capacity(peers) * maxBalanceRatio);
    if (available < needed) return this.#retryAtMs(needed - available, nowMs);
    this.#balance -= amount;
    this.#granted += amount;
    this.#untoldAmount += amount;
    this.#untold.push({ amount, atMs: nowMs });
    return undefined;
  }

  #available({ daemons, isCurrent }: QuotaPeers): number {
    if (!isCurrent) return this.#balance;
    const whole = this.#balance + this.#untoldAmount;
    const even = whole / daemons - this.#untoldAmount;
    const untoldByOthers = (this.#othersPerS * growthRatio * untoldMs) / 1_000;
    const own = whole * maxBalanceRatio - this.#untoldAmount;
    return Math.max(even, Math.min(own, this.#balance - untoldByOthers));
  }

  /** Most that the daemons which hear each other grant at once. */
  #capacity(peers: QuotaPeers): number {
    const { ratePerS, burst } = this.#limit;
    const { windowMs, overRatio, slack } = this.#tolerance;
    const excess = overRatio * ((ratePerS * windowMs) / 1_000 + burst) + slack;
    return (burst + toleranceRatio * excess) * heardRatio(peers);
  }

  #refill(peers: QuotaPeers, nowMs: number): void {
    const { grantedByOthers } = peers;
    const elapsedS = Math.max(0, nowMs - this.#updatedAtMs) / 1_000;
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
    const ratePerS = this.#limit.ratePerS * heardRatio(peers);
    const spent = Math.max(0, grantedByOthers - (this.#knownByOthers ?? grantedByOthers));
    this.#knownByOthers = grantedByOthers;
    const kept = Math.exp((-elapsedS * 1_000) / rateSmoothingMs);
    this.#othersPerS = this.#othersPerS * kept + (spent * 1_000) / rateSmoothingMs;
    this.#balance = Math.min(this.#capacity(peers), this.#balance + elapsedS * ratePerS - spent);
  }

  #forgetTold(nowMs: number): void {
    for (let first = this.#untold[0]; first && first.atMs + untoldMs <= nowMs;) {
      this.#untoldAmount -= first.amount;
      this.#untold.shift();
      first = this.#untold[0];
    }
  }

  #retryAtMs(missing: number, nowMs: number): number {
    return nowMs + Math.min(untoldMs * 2, (missing * 1_000) / Math.max(1, this.#limit.ratePerS));
  }
}

/**
 * Part of the quota for the daemons that hear each other: their even part among all that may be
 * granting, since those that are cut off go on with theirs.
 */
function heardRatio({ daemons, silentDaemons, isCurrent }: QuotaPeers): number {
  return (isCurrent ? daemons : 1) / (daemons + silentDaemons);
}
