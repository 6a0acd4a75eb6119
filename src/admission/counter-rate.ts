/** Default time constant of the exponential smoothing. */
const defaultSmoothingMs = 4_000;

/** Smoothed rate of a monotonic counter that is sampled at irregular intervals. */
export class CounterRate {
  readonly #smoothingMs: number;
  #lastValue: number | undefined;
  #perS = 0;

  constructor(smoothingMs = defaultSmoothingMs) {
    this.#smoothingMs = smoothingMs;
  }

  get perS(): number {
    return this.#perS;
  }

  /** Adds a sample of the counter. @returns the increase since the previous sample. */
  update(value: number, elapsedS: number): number {
    const increase = Math.max(0, value - (this.#lastValue ?? value));
    this.#lastValue = value;
    if (elapsedS === 0) {
      this.#perS += (increase * 1_000) / this.#smoothingMs;
      return increase;
    }
    const decay = Math.exp((-elapsedS * 1_000) / this.#smoothingMs);
    this.#perS = this.#perS * decay + (increase / elapsedS) * (1 - decay);
    return increase;
  }
}
