/** Time constant of the rate. */
const smoothingMs = 4_000;

/** Smoothed rate of a counter that only grows and is read at uneven times. */
export class CounterRate {
  #lastValue: number | undefined;
  #perS = 0;

  get perS(): number {
    return this.#perS;
  }

  /** Takes the counter's value. @returns how much it grew since the last one. */
  update(value: number, elapsedS: number): number {
    const increase = Math.max(0, value - (this.#lastValue ?? value));
    this.#lastValue = value;
    if (elapsedS === 0) {
      this.#perS += (increase * 1_000) / smoothingMs;
      return increase;
    }
    const decay = Math.exp((-elapsedS * 1_000) / smoothingMs);
    this.#perS = this.#perS * decay + (increase / elapsedS) * (1 - decay);
    return increase;
  }
}
