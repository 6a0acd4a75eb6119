interface Backlog {
  tokens: number;
  updatedAtMs: number;
}

/** Prompt tokens that an engine reads per millisecond, until it has been observed. */
const initialTokensPerMs = 30;

/** Attention grows with the square of the prompt; at this length it doubles the time of reading. */
const doubleCostTokens = 50_000;

/** Tokens of a short prompt that take as long to read as `tokens` of a long one. */
export function weightedTokens(tokens: number): number {
  return tokens * (1 + tokens / doubleCostTokens);
}

/**
 * Prompt tokens that each endpoint still has to read, as a queue that drains at the endpoint's
 * speed. Fed by the daemon's own sends and by what the other daemons tell of theirs: an engine reads
 * prompts between the tokens of its streams, so that a long queue delays all of them. Tokens are
 * weighted, see {@link weightedTokens}.
 *
 * @example
 * ```ts
 * backlog.add('i-7', 12_000, clock.nowMs());
 * backlog.waitMs('i-7', clock.nowMs());
 * ```
 */
export class PrefillBacklog {
  readonly #backlogs = new Map<string, Backlog>();
  #tokensPerMs = initialTokensPerMs;

  /** Weighted prompt tokens read per millisecond by a typical endpoint. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Takes an observed speed. The queue makes it look lower than it is, so rises count more. */
  observeSpeed(tokensPerMs: number): void {
    const gain = tokensPerMs > this.#tokensPerMs ? 0.3 : 0.02;
    this.#tokensPerMs += (tokensPerMs - this.#tokensPerMs) * gain;
  }

  /** Adds the weighted uncached tokens of a prompt that was sent to an endpoint. */
  add(endpointId: string, tokens: number, nowMs: number): void {
    this.#backlogs.set(endpointId, {
      tokens: this.#remainingTokens(endpointId, nowMs) + tokens,
      updatedAtMs: nowMs,
    });
  }

  /** Time until the endpoint has read everything that is known to wait, in milliseconds. */
  waitMs(endpointId: string, nowMs: number): number {
    return this.#remainingTokens(endpointId, nowMs) / this.#tokensPerMs;
  }

  /** Drops what is known of an endpoint, when its identity has left. */
  remove(endpointId: string): void {
    this.#backlogs.delete(endpointId);
  }

  #remainingTokens(endpointId: string, nowMs: number): number {
    const backlog = this.#backlogs.get(endpointId);
    if (!backlog) return 0;
    const processedTokens = Math.max(0, nowMs - backlog.updatedAtMs) * this.#tokensPerMs;
    return Math.max(0, backlog.tokens - processedTokens);
  }
}
