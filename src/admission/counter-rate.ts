/** Time constant of the rate. */
const smoothingMs = 4_000;

/** Smoothed rate of a counter that only grows and is read at uneven times. */
export class CounterRate {
  #last: number | undefined;
  #perS = 0;

  get perS(): number {
    return this.#perS;
  }

  /** Takes the counter's value. @returns how much it grew since the last one. */
  update(value: number, elapsedS: number): number {
    const grown = Math.max(0, value - (this.#last ?? value));
    this.#last = value;
    if (elapsedS === 0) {
      this.#perS += (grown * 1_000) / smoothingMs;
      return grown;
    }
    const kept = Math.exp((-elapsedS * 1_000) / smoothingMs);
    this.#perS = this.#perS * kept + (grown / elapsedS) * (1 - kept);
    return grown;
  }
}
