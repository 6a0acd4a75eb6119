/**
 * Smoothed rate of amounts by name.
 *
 * @example
 * ```ts
 * meter.note('assistant', 12_000, clock.nowMs());
 * meter.perS('assistant', clock.nowMs());
 * ```
 */
export class RateMeter {
  readonly #smoothingMs: number;
  readonly #rates = new Map<string, { perS: number; atMs: number }>();

  /** @param smoothingMs - time constant of the smoothing. */
  constructor(smoothingMs: number) {
    this.#smoothingMs = smoothingMs;
  }

  note(name: string, amount: number, nowMs: number): void {
    const perS = this.perS(name, nowMs) + (amount * 1_000) / this.#smoothingMs;
    this.#rates.set(name, { perS, atMs: nowMs });
  }

  /** Amount per second; 0 for a name that was never noted. */
  perS(name: string, nowMs: number): number {
    const rate = this.#rates.get(name);
    if (!rate) return 0;
    return rate.perS * Math.exp(-Math.max(0, nowMs - rate.atMs) / this.#smoothingMs);
  }

  /** All rates by name, rounded to whole units. */
  all(nowMs: number): Record<string, number> {
    return Object.fromEntries(
      [...this.#rates.keys()].map((name) => [name, Math.round(this.perS(name, nowMs))]),
    );
  }
}
