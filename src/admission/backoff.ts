import type { Random } from '../core/index.js';

/** Options of {@link Backoff}. */
export interface BackoffOptions {
  readonly random: Random;
  readonly baseMs?: number;
  readonly maxMs?: number;
}

/**
 * Exponential backoff with full jitter, which spreads the retries after a common failure evenly.
 *
 * @example
 * ```ts
 * const backoff = new Backoff({ random });
 * const retryAtMs = backoff.retryAtMs(1, deadlineAtMs, clock.nowMs());
 * ```
 */
export class Backoff {
  readonly #random: Random;
  readonly #baseMs: number;
  readonly #maxMs: number;

  constructor(options: BackoffOptions) {
    this.#random = options.random;
    this.#baseMs = options.baseMs ?? 50;
    this.#maxMs = options.maxMs ?? 2_000;
  }

  /** Random delay after the given number of failed attempts, in milliseconds. */
  delayMs(failedAttempts: number): number {
    const boundMs = Math.min(this.#maxMs, this.#baseMs * 2 ** Math.max(0, failedAttempts));
    return this.#random.float() * boundMs;
  }

  /** Time of the next attempt, in epoch milliseconds; undefined when the deadline passes first. */
  retryAtMs(failedAttempts: number, deadlineAtMs: number, nowMs: number): number | undefined {
    const atMs = nowMs + this.delayMs(failedAttempts);
    return atMs < deadlineAtMs ? atMs : undefined;
  }
}
