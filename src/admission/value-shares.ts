/** What the loss of a request costs, relative to the others of its workspace. */
export interface RequestValue {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Latency objective in milliseconds; of one priority, a shorter one is more urgent. */
  readonly objectiveMs: number;
}

/** Time constant with which earlier demand is forgotten, in milliseconds. */
const memoryMs = 20_000;

/**
 * Share of the overall probability that the least urgent requests keep. Callers of every route must
 * get at least a quarter of the overall rate; the rest is a margin for uneven demand.
 */
const leastServedRatio = 0.4;

/** Most ranks that are told apart; further ones count as the least urgent. */
const maxRanks = 64;

/** Demand of one rank, as of its last request. */
interface RankDemand {
  readonly value: RequestValue;
  amount: number;
  updatedAtMs: number;
}

/**
 * Demand of a workspace by the urgency of its requests. While only part of the demand can be
 * granted, it divides the grants: every rank keeps a part of its share, and the most urgent ranks
 * get the rest. The probability does not depend on the size of a request.
 *
 * @example
 * ```ts
 * shares.record({ priority: 0, objectiveMs: 300 }, 1_200, nowMs);
 * shares.grantProbability({ priority: 0, objectiveMs: 300 }, 0.5, nowMs);
 * ```
 */
export class ValueShares {
  #ranks: RankDemand[] = [];

  /** Counts a request, granted or not. */
  record(value: RequestValue, amount: number, nowMs: number): void {
    let rank = this.#ranks.find((other) => compareValues(other.value, value) === 0);
    if (!rank) {
      rank = { value, amount: 0, updatedAtMs: nowMs };
      this.#ranks.push(rank);
      this.#ranks.sort((a, b) => compareValues(a.value, b.value));
      if (this.#ranks.length > maxRanks) this.#ranks.pop();
    }
    rank.amount = amountAt(rank, nowMs) + amount;
    rank.updatedAtMs = nowMs;
  }

  /**
   * Probability with which a request is granted.
   *
   * @param overall - part of the demand that can be granted, from 0 to 1.
   */
  grantProbability(value: RequestValue, overall: number, nowMs: number): number {
    if (overall >= 1) return 1;
    const least = overall * leastServedRatio;
    const demands = this.#ranks.map((rank) => ({
      value: rank.value,
      amount: amountAt(rank, nowMs),
    }));
    const total = demands.reduce((sum, { amount }) => sum + amount, 0);
    if (total <= 0) return overall;
    let rest = overall - least;
    for (const demand of demands) {
      const share = demand.amount / total;
      const extra = share > 0 ? Math.min(1 - least, rest / share) : 0;
      if (compareValues(demand.value, value) >= 0) return least + extra;
      rest -= extra * share;
    }
    return least;
  }
}

/** Negative when the loss of the first request costs more. */
export function compareValues(a: RequestValue, b: RequestValue): number {
  return a.priority - b.priority || a.objectiveMs - b.objectiveMs;
}

function amountAt({ amount, updatedAtMs }: RankDemand, nowMs: number): number {
  return amount * Math.exp(-Math.max(0, nowMs - updatedAtMs) / memoryMs);
}
