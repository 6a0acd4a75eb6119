import type { Random } from '../core/index.js';

/** Options of {@link RetryDelay}. */
export interface RetryDelayOptions {
  readonly random: Random;
  readonly baseMs?: number;
  readonly maxMs?: number;
}

/**
 * Delays between the attempts of an operation that is retried until it succeeds: exponential
 * backoff, half of each delay random, so that daemons that failed together do not retry together.
 * For a request that is retried only until its deadline, see `Backoff` in `admission`.
 *
 * @example
 * ```ts
 * const retryDelay = new RetryDelay({ random, baseMs: 100, maxMs: 5_000 });
 * await clock.sleepUntil(clock.nowMs() + retryDelay.nextMs());
 * ```
 */
export class RetryDelay {
  readonly #random: Random;
  readonly #baseMs: number;
  readonly #maxMs: number;
  #failures = 0;

  constructor(options: RetryDelayOptions) {
    this.#random = options.random;
    this.#baseMs = options.baseMs ?? 100;
    this.#maxMs = options.maxMs ?? 5_000;
  }

  /** Delay before the next attempt in milliseconds; grows until {@link reset}. */
  nextMs(): number {
    const ceilingMs = Math.min(this.#maxMs, this.#baseMs * 2 ** this.#failures);
    this.#failures = Math.min(this.#failures + 1, 30);
    return ceilingMs * (0.5 + 0.5 * this.#random.float());
  }

  /** Returns to the base delay after a success. */
  reset(): void {
    this.#failures = 0;
  }
}
