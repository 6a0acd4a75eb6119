import type { DaemonSample } from './daemon-samples.js';

/**
 * Sums over all other daemons what each granted since it is known here. A daemon that starts again
 * counts from nothing; the sum never falls.
 */
export class GrantTotals {
  readonly #totals = new Map<string, number>();
  readonly #latest = new Map<string, DaemonSample>();

  /** Takes a newer sample of a daemon. */
  take(sample: DaemonSample): void {
    const known = this.#latest.get(sample.daemon);
    this.#latest.set(sample.daemon, sample);
    // What a daemon granted before it was known here has mostly been earned back since.
    if (!known) return;
    const isSameRun = known.incarnation === sample.incarnation;
    for (const [name, granted] of Object.entries(sample.granted)) {
      const before = isSameRun ? (known.granted[name] ?? 0) : 0;
      this.#totals.set(name, this.of(name) + Math.max(0, granted - before));
    }
  }

  /** Units of a workspace granted by the other daemons. */
  of(workspaceName: string): number {
    return this.#totals.get(workspaceName) ?? 0;
  }
}
