import type { Clock } from '../core/index.js';

/** Data sources that the decisions of a controller depend on. */
export enum DataSource {
  /** The cloud's list of VMs; seen when a list with a later time arrives. */
  VmList = 'list',
  /** The log service; seen when the controller's lease is acquired or renewed. */
  Log = 'log',
  /** The cloud API; seen when it answers any call. */
  Cloud = 'cloud',
}

/** While a source was not seen for longer than this, only single lost VMs are replaced. */
const maxAgeMs = 30_000;

/**
 * Tracks when each data source was last seen.
 *
 * @example
 * ```ts
 * freshness.markSeen(DataSource.VmList);
 * freshness.isFresh(); // false until all three sources were seen within 30 s
 * ```
 */
export class SourceFreshness {
  readonly #clock: Clock;
  readonly #seenAtMs = new Map<DataSource, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that current data or an answer of `source` has just arrived. */
  markSeen(source: DataSource): void {
    this.#seenAtMs.set(source, this.#clock.nowMs());
  }

  /** Sources that were not seen for more than 30 s. */
  stale(): DataSource[] {
    const nowMs = this.#clock.nowMs();
    return Object.values(DataSource).filter(
      (source) => nowMs - (this.#seenAtMs.get(source) ?? -Infinity) > maxAgeMs,
    );
  }

  isFresh(): boolean {
    return this.stale().length === 0;
  }
}
