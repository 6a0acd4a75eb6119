/** Number of requests by workspace name. */
export type UsageCounts = Record<string, number>;

/** Windows that are kept, so that a late report is complete. */
const maxWindows = 8;

/**
 * Counts requests by the usage window in which they began. Window k begins at k times the window
 * length after the epoch.
 *
 * @example
 * ```ts
 * counter.count('tenders', clock.nowMs());
 * counter.windows(); // [[353445120, { tenders: 1 }]]
 * ```
 */
export class UsageCounter {
  readonly #windowMs: number;
  readonly #counts = new Map<number, UsageCounts>();

  /** @param windowMs - length of a window in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Index of the window that contains a time, given in epoch milliseconds. */
  windowOf(atMs: number): number {
    return Math.floor(atMs / this.#windowMs);
  }

  /** Epoch milliseconds at which a window ends. */
  windowEndMs(window: number): number {
    return (window + 1) * this.#windowMs;
  }

  /** Counts one request that began at `atMs` (epoch milliseconds). */
  count(workspaceName: string, atMs: number): void {
    this.#add(this.windowOf(atMs), { [workspaceName]: 1 });
  }

  /** Adds the counts of an earlier run of the daemon. */
  merge(windows: readonly (readonly [number, UsageCounts])[]): void {
    for (const [window, counts] of windows) this.#add(window, counts);
  }

  /** Window indexes with their counts, oldest first. */
  windows(): [number, UsageCounts][] {
    return [...this.#counts].sort(([a], [b]) => a - b);
  }

  #add(window: number, counts: UsageCounts): void {
    const known = this.#counts.get(window) ?? {};
    this.#counts.set(window, mergeCounts(known, counts));
    for (const old of this.#counts.keys()) {
      if (old <= window - maxWindows) this.#counts.delete(old);
    }
  }
}

/** Sums counts by workspace. */
export function mergeCounts(a: UsageCounts, b: UsageCounts): UsageCounts {
  const sum = { ...a };
  for (const [name, count] of Object.entries(b)) sum[name] = (sum[name] ?? 0) + count;
  return sum;
}
