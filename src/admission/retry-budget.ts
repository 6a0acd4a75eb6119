import { LRUCache } from 'lru-cache';

/**
 * Budget of extra attempts by key: each request earns a fraction of an attempt, each extra attempt
 * costs one. Keys name workspace and hop, so that one workspace or hop cannot use up another's.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.noteRequest('tejidos/quotes engine', 0.1);
 * if (budget.trySpend('tejidos/quotes engine')) retry();
 * ```
 */
export class RetryBudget {
  #maxTokens: number;
  #initialTokens: number;
  readonly #tokens: LRUCache<string, number>;

  /**
   * @param maxTokens - extra attempts that may be saved up.
   * @param initialTokens - extra attempts of a new key, so that its first failure can be retried.
   */
  constructor(maxTokens = 20, initialTokens = 3) {
    this.#maxTokens = maxTokens;
    this.#initialTokens = initialTokens;
    this.#tokens = new LRUCache({ max: 10_000 });
  }

  /** Changes the bounds; what is saved up beyond the new one is lost. */
  resize(maxTokens: number, initialTokens: number): void {
    this.#maxTokens = maxTokens;
    this.#initialTokens = initialTokens;
  }

  /** Earns for one new request. @param ratio - extra attempts allowed per request. */
  recordRequest(key: string, ratio: number): void {
    const tokens = this.#tokens.get(key) ?? this.#initialTokens;
    this.#tokens.set(key, Math.min(this.#maxTokens, tokens + ratio));
  }

  /** Takes one extra attempt; false when the budget is used up. */
  trySpend(key: string): boolean {
    const tokens = Math.min(this.#maxTokens, this.#tokens.get(key) ?? this.#initialTokens);
    if (tokens < 1) return false;
    this.#tokens.set(key, tokens - 1);
    return true;
  }

  /** Returns an attempt that was taken and not made. */
  refund(key: string): void {
    const tokens = this.#tokens.get(key) ?? 0;
    this.#tokens.set(key, Math.min(this.#maxTokens, tokens + 1));
  }
}
