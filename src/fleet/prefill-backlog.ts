import { maxPrefixBlocks, promptBlockTokens } from './prompt-prefix.js';

interface Backlog {
  tokens: number;
  updatedAtMs: number;
}

/** Prompt tokens that an engine prefills per millisecond, until its speed has been observed. */
const initialTokensPerMs = 30;

/** Attention grows with the square of the prompt; at this length it doubles the prefill time. */
const doubleCostTokens = 50_000;

/** Tokens of the longest prompt that an endpoint prefills; it rejects one that is larger. */
const maxPromptTokens = maxPrefixBlocks * promptBlockTokens;

/** Time after which callers have left whose prompts an endpoint has not begun to prefill. */
const maxWaitMs = 60_000;

/** Tokens of a short prompt that take as long to prefill as a prompt of `tokens`. */
export function weightedTokens(tokens: number): number {
  const prefilledTokens = Math.min(tokens, maxPromptTokens);
  return prefilledTokens * (1 + prefilledTokens / doubleCostTokens);
}

/** Largest result of {@link weightedTokens}. */
export const maxPromptWork = weightedTokens(maxPromptTokens);

/**
 * Prompt tokens that each endpoint still has to prefill, as a queue that drains at the endpoint's
 * speed. It holds the prompts of this daemon and those that other daemons report. Engines prefill
 * between the tokens of their streams, so a long queue delays all streams. Tokens are weighted, see
 * {@link weightedTokens}.
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

  /** Weighted prompt tokens that a typical endpoint prefills per millisecond. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Applies an observed speed. Queueing makes it appear too low, so increases weigh more. */
  observeSpeed(tokensPerMs: number): void {
    const gain = tokensPerMs > this.#tokensPerMs ? 0.3 : 0.02;
    this.#tokensPerMs += (tokensPerMs - this.#tokensPerMs) * gain;
  }

  /** Adds the weighted uncached tokens of a prompt that was sent to an endpoint. */
  add(endpointId: string, tokens: number, nowMs: number): void {
    const maxTokens = maxWaitMs * this.#tokensPerMs;
    this.#backlogs.set(endpointId, {
      tokens: Math.min(maxTokens, this.#remainingTokens(endpointId, nowMs) + tokens),
      updatedAtMs: nowMs,
    });
  }

  /** Time until the endpoint has processed its known backlog, in milliseconds. */
  waitMs(endpointId: string, nowMs: number): number {
    return this.#remainingTokens(endpointId, nowMs) / this.#tokensPerMs;
  }

  /** Removes an endpoint whose identity is gone. */
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
