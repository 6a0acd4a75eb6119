import { ValueShares, type RequestValue } from './value-shares.js';

/** Part of a rank's probability that a workspace with much demand keeps. */
const leastWorkspaceRatio = 0.6;

/** Time constant with which earlier demand is forgotten, in milliseconds. */
const memoryMs = 10_000;

/** Most workspaces that are told apart; the demand of further ones is not limited. */
const maxWorkspaces = 2_048;

/** Time for which the sorted demand is reused; sorting thousands takes longer than a decision may. */
const cacheMs = 100;

interface WorkspaceDemand {
  cost: number;
  updatedAtMs: number;
}

/**
 * Divides what a service can take among urgency and workspaces. The fraction of each rank comes from
 * {@link ValueShares}; within it, workspaces get equal parts, and what one does not need goes to the
 * others. Sizes are served alike.
 *
 * @example
 * ```ts
 * fractions.record(value, 'tejidos', 1, nowMs);
 * if (random.float() < fractions.startProbability(value, 'tejidos', 0.5, nowMs)) start();
 * ```
 */
export class FairFractions {
  readonly #ranks = new ValueShares();
  readonly #workspaces = new Map<string, WorkspaceDemand>();
  #costs: { readonly sorted: readonly number[]; readonly untilMs: number } = {
    sorted: [],
    untilMs: -Infinity,
  };

  /** Counts a request, started or not. */
  record(value: RequestValue, workspaceName: string, cost: number, nowMs: number): void {
    this.#ranks.record(value, cost, nowMs);
    const known = this.#workspaces.get(workspaceName);
    if (!known && this.#workspaces.size >= maxWorkspaces) return;
    this.#workspaces.set(workspaceName, {
      cost: (known ? costAt(known, nowMs) : 0) + cost,
      updatedAtMs: nowMs,
    });
  }

  /** @param overall - part of the demand that can start, from 0 to 1. */
  startProbability(
    value: RequestValue,
    workspaceName: string,
    overall: number,
    nowMs: number,
  ): number {
    const ofRank = this.#ranks.grantProbability(value, overall, nowMs);
    if (ofRank >= 1) return 1;
    const least = ofRank * leastWorkspaceRatio;
    return least + (1 - leastWorkspaceRatio) * this.#fairFraction(workspaceName, ofRank, nowMs);
  }

  /** Removes workspaces without demand. */
  forget(nowMs: number): void {
    for (const [name, demand] of this.#workspaces) {
      if (costAt(demand, nowMs) < 0.01) this.#workspaces.delete(name);
    }
  }

  /** Fraction of a workspace's demand that fits when all workspaces get equal parts. */
  #fairFraction(workspaceName: string, overall: number, nowMs: number): number {
    const own = this.#workspaces.get(workspaceName);
    const ownCost = own ? costAt(own, nowMs) : 0;
    if (ownCost <= 0) return 1;
    const costs = this.#sortedCosts(nowMs);
    let rest = overall * costs.reduce((sum, cost) => sum + cost, 0);
    let left = costs.length;
    let part = 0;
    for (const cost of costs) {
      part = rest / left;
      if (cost >= part) break;
      rest -= cost;
      left -= 1;
    }
    return Math.min(1, part / ownCost);
  }

  #sortedCosts(nowMs: number): readonly number[] {
    if (nowMs >= this.#costs.untilMs) {
      const sorted = [...this.#workspaces.values()]
        .map((demand) => costAt(demand, nowMs))
        .sort((a, b) => a - b);
      this.#costs = { sorted, untilMs: nowMs + cacheMs };
    }
    return this.#costs.sorted;
  }
}

function costAt({ cost, updatedAtMs }: WorkspaceDemand, nowMs: number): number {
  return cost * Math.exp(-Math.max(0, nowMs - updatedAtMs) / memoryMs);
}
