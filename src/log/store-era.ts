/**
 * The era of the store as far as this process knows it. The store increases its era each time it
 * comes back from an older copy: offsets of different eras are not comparable. One instance is shared
 * by all parts of a daemon, so that a response to any call makes the new era known to all of them.
 *
 * @example
 * ```ts
 * const era = new StoreEra();
 * era.onChange((next, previous) => log.warn('store came back from an older copy'));
 * era.observe(page.era);
 * ```
 */
export class StoreEra {
  #current: number | undefined;
  readonly #listeners: ((era: number, previousEra: number) => void)[] = [];

  /** Highest era observed; 0 before the first response. */
  get current(): number {
    return this.#current ?? 0;
  }

  /** Applies the era of a response. The first one that is observed is no change. */
  observe(era: number): void {
    const previous = this.#current;
    if (previous !== undefined && era <= previous) return;
    this.#current = era;
    if (previous === undefined) return;
    for (const listener of this.#listeners) listener(era, previous);
  }

  /** Whether a response of this era comes from before a recovery of the store. */
  isOlder(era: number): boolean {
    return era < this.current;
  }

  /** Calls `listener` with each later era. */
  onChange(listener: (era: number, previousEra: number) => void): void {
    this.#listeners.push(listener);
  }
}
