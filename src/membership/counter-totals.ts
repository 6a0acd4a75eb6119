/** Counters of one run of a daemon, by name; they only grow. */
export interface CounterReport {
  readonly daemon: string;
  /** Tells runs of a daemon apart; the later run has the higher number. */
  readonly incarnation: number;
  readonly counts: Readonly<Record<string, number>>;
}

interface KnownCounters {
  readonly incarnation: number;
  readonly counts: Map<string, number>;
}

/**
 * Sums over all other daemons how far their counters grew since each is known here. Reports may come in any
 * order and more than once. A daemon that starts again counts from nothing; the sum never falls.
 */
export class CounterTotals {
  readonly #totals = new Map<string, number>();
  readonly #known = new Map<string, KnownCounters>();

  /** Takes a report of a daemon; an older one changes nothing. */
  merge({ daemon, incarnation, counts }: CounterReport): void {
    const known = this.#known.get(daemon);
    if (!known) {
      // What was granted before the daemon was known here has mostly been earned back since.
      this.#known.set(daemon, { incarnation, counts: new Map(Object.entries(counts)) });
      return;
    }
    if (incarnation < known.incarnation) return;
    const isSameRun = known.incarnation === incarnation;
    const previous = isSameRun ? known.counts : new Map<string, number>();
    for (const [name, amount] of Object.entries(counts)) {
      const added = amount - (previous.get(name) ?? 0);
      if (added <= 0) continue;
      this.#totals.set(name, this.total(name) + added);
      previous.set(name, amount);
    }
    if (!isSameRun) this.#known.set(daemon, { incarnation, counts: previous });
  }

  /** Growth of a counter over all daemons. */
  total(name: string): number {
    return this.#totals.get(name) ?? 0;
  }
}
