import type { Clock } from '../core/index.js';

/** Sources that a controller decides on. */
export enum DataSource {
  List = 'list',
  Log = 'log',
  Cloud = 'cloud',
}

/** A source unseen for longer allows only single replacements. */
const maxAgeMs = 30_000;

/**
 * When each source was last seen.
 *
 * @example
 * ```ts
 * age.seen(InformationSource.List);
 * age.isFresh(); // false until all three sources were seen within 30 s
 * ```
 */
export class SourceFreshness {
  readonly #clock: Clock;
  readonly #seenAtMs = new Map<DataSource, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  markSeen(source: DataSource): void {
    this.#seenAtMs.set(source, this.#clock.nowMs());
  }

  /** Sources unseen for more than 30 s. */
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
