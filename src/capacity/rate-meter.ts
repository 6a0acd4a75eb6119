/** Shortest time over which a rate is computed; a single amount does not define a rate. */
const minElapsedMs = 1_000;

/**
 * Exponentially smoothed rates of amounts, by name.
 *
 * @example
 * ```ts
 * meter.record('assistant', 12_000, clock.nowMs());
 * meter.ratePerS('assistant', clock.nowMs());
 * ```
 */
export class RateMeter {
  readonly #smoothingMs: number;
  readonly #rates = new Map<string, { ratePerS: number; atMs: number; sinceMs: number }>();

  /** @param smoothingMs - time constant of the smoothing, in milliseconds. */
  constructor(smoothingMs: number) {
    this.#smoothingMs = smoothingMs;
  }

  record(name: string, amount: number, nowMs: number): void {
    const known = this.#rates.get(name);
    const ratePerS = this.#decayedPerS(name, nowMs) + (amount * 1_000) / this.#smoothingMs;
    this.#rates.set(name, { ratePerS, atMs: nowMs, sinceMs: known?.sinceMs ?? nowMs });
  }

  /** Amount per second; 0 for a name without recorded amounts. */
  ratePerS(name: string, nowMs: number): number {
    const rate = this.#rates.get(name);
    if (!rate) return 0;
    // The average starts at zero. Without this correction the rate of a new name would rise only as
    // fast as the smoothing allows.
    const elapsedMs = Math.max(minElapsedMs, nowMs - rate.sinceMs);
    return this.#decayedPerS(name, nowMs) / (1 - Math.exp(-elapsedMs / this.#smoothingMs));
  }

  #decayedPerS(name: string, nowMs: number): number {
    const rate = this.#rates.get(name);
    if (!rate) return 0;
    return rate.ratePerS * Math.exp(-Math.max(0, nowMs - rate.atMs) / this.#smoothingMs);
  }

  /** All rates by name, rounded to integers. */
  ratesPerS(nowMs: number): Record<string, number> {
    return Object.fromEntries(
      [...this.#rates.keys()].map((name) => [name, Math.round(this.ratePerS(name, nowMs))]),
    );
  }
}
