/**
 * Time taken from the entries of a stream, so that every replica expires state at the same
 * position. One entry advances it by at most a minute: a daemon whose clock is far ahead must not
 * expire the claims of the others. It lags on a stream with few entries, which only keeps state
 * longer.
 *
 * @internal
 */
export class LogTime {
  #nowMs: number;

  constructor(nowMs = 0) {
    this.#nowMs = nowMs;
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  /** @param writtenAtMs - writer's clock, in epoch milliseconds. */
  observe(writtenAtMs: number): void {
    if (this.#nowMs === 0) this.#nowMs = writtenAtMs;
    else if (writtenAtMs > this.#nowMs)
      this.#nowMs = Math.min(writtenAtMs, this.#nowMs + maxStepMs);
  }
}

const maxStepMs = 60_000;
