import { LRUCache } from 'lru-cache';

/**
 * Budget of extra attempts by key: each request adds a fraction of an attempt, each extra attempt
 * costs one. Keys name workspace and hop, so that one cannot use up the budget of another.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.recordRequest('tejidos/quotes engine', 0.1);
 * if (budget.trySpend('tejidos/quotes engine')) retry();
 * ```
 */
export class RetryBudget {
  #maxTokens: number;
  #initialTokens: number;
  readonly #tokens: LRUCache<string, number>;

  /**
   * @param maxTokens - maximum balance, in extra attempts.
   * @param initialTokens - balance of a new key, so that its first failure can be retried.
   */
  constructor(maxTokens = 20, initialTokens = 3) {
    this.#maxTokens = maxTokens;
    this.#initialTokens = initialTokens;
    this.#tokens = new LRUCache({ max: 10_000 });
  }

  /** Changes the bounds; a balance above the new maximum is cut. */
  resize(maxTokens: number, initialTokens: number): void {
    this.#maxTokens = maxTokens;
    this.#initialTokens = initialTokens;
  }

  /** Credits the budget for a new request. @param ratio - extra attempts allowed per request. */
  recordRequest(key: string, ratio: number): void {
    const tokens = this.#tokens.get(key) ?? this.#initialTokens;
    this.#tokens.set(key, Math.min(this.#maxTokens, tokens + ratio));
  }

  /** Spends one extra attempt; false when the budget is used up. */
  trySpend(key: string): boolean {
    const tokens = Math.min(this.#maxTokens, this.#tokens.get(key) ?? this.#initialTokens);
    if (tokens < 1) return false;
    this.#tokens.set(key, tokens - 1);
    return true;
  }

  /** Returns an extra attempt that was spent but not made. */
  refund(key: string): void {
    const tokens = this.#tokens.get(key) ?? 0;
    this.#tokens.set(key, Math.min(this.#maxTokens, tokens + 1));
  }
}
