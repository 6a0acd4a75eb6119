type Counts = Readonly<Record<string, number>>;

/**
 * Selects the counters to report to peers. Each change is reported twice, as datagrams can be lost.
 */
export class ChangeFilter {
  #last: Counts = {};
  #beforeLast: Counts = {};

  /** Returns the counts that differ from those of the call before the previous one. */
  changed(counts: Counts): Counts {
    const baseline = this.#beforeLast;
    this.#beforeLast = this.#last;
    this.#last = counts;
    return Object.fromEntries(
      Object.entries(counts).filter(([name, count]) => baseline[name] !== count),
    );
  }
}
