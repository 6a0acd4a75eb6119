/** Monotonic counters of one run of a daemon, by name. */
export interface CounterReport {
  readonly daemon: string;
  /** Distinguishes the runs of a daemon; a later run has a higher number. */
  readonly incarnation: number;
  readonly counts: Readonly<Record<string, number>>;
}

interface KnownCounters {
  readonly incarnation: number;
  readonly counts: Map<string, number>;
}

/**
 * Sums over all other daemons how much each counter grew since the daemon's first report. Reports
 * may arrive in any order and more than once. A restarted daemon counts from zero; the sum never
 * decreases.
 */
export class CounterTotals {
  readonly #totals = new Map<string, number>();
  readonly #known = new Map<string, KnownCounters>();

  /** Merges a report of a daemon; an older one changes nothing. */
  merge({ daemon, incarnation, counts }: CounterReport): void {
    const known = this.#known.get(daemon);
    if (!known) {
      // Quota granted before the first report has mostly been refilled since, so it does not count.
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

  /** Growth of a counter over all other daemons. */
  total(name: string): number {
    return this.#totals.get(name) ?? 0;
  }
}
