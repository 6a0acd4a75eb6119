type Counts = Readonly<Record<string, number>>;

/** Finds out which counters are worth telling: each change is told twice. */
export class ChangeFilter {
  #last: Counts = {};
  #beforeLast: Counts = {};

  /** The counts that changed since the call before the last. */
  changed(counts: Counts): Counts {
    const baseline = this.#beforeLast;
    this.#beforeLast = this.#last;
    this.#last = counts;
    return Object.fromEntries(
      Object.entries(counts).filter(([name, count]) => baseline[name] !== count),
    );
  }
}
