/** Part of the peers whose datagrams have to arrive; of many, one that is lost hides little. */
const minDirectRatio = 0.95;

/** What a daemon knows of its peers' datagrams at one time. */
export interface PeerCoverage {
  /** Part of the live peers whose datagrams arrive. */
  readonly directRatio: number;
  /** Whether all live peers are known. */
  readonly isConnected: boolean;
}

/**
 * Tells since when a daemon receives what its peers broadcast. A daemon that has just started
 * receives nothing until its peers have read of it, and knows no peers itself.
 */
export class ReportCoverage {
  readonly #knownAtMs: number;
  #sinceMs = Infinity;

  /** @param knownAtMs - time from which its peers know of this daemon, in epoch milliseconds. */
  constructor(knownAtMs: number) {
    this.#knownAtMs = knownAtMs;
  }

  /** Time since which the datagrams arrive, in epoch milliseconds; infinite while they do not. */
  get sinceMs(): number {
    return this.#sinceMs;
  }

  update({ directRatio, isConnected }: PeerCoverage, nowMs: number): void {
    const isComplete = isConnected && directRatio >= minDirectRatio && nowMs >= this.#knownAtMs;
    if (!isComplete) this.#sinceMs = Infinity;
    else if (this.#sinceMs === Infinity) this.#sinceMs = nowMs;
  }
}
