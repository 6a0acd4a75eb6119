/**
 * Writers' time as carried by entries, so that every fold expires state at the same position. One
 * entry moves it by at most a minute: a daemon whose clock is far ahead must not expire the claims
 * of the others. It lags behind on a quiet stream, which only keeps state longer.
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
