import type { Clock } from '../core/index.js';

/** Sources that a controller decides on. */
export enum InformationSource {
  List = 'list',
  Log = 'log',
  Cloud = 'cloud',
}

/** A source unseen for longer allows only single replacements. */
const freshMs = 30_000;

/**
 * When each source was last seen.
 *
 * @example
 * ```ts
 * age.seen(InformationSource.List);
 * age.isFresh(); // false until all three sources were seen within 30 s
 * ```
 */
export class InformationAge {
  readonly #clock: Clock;
  readonly #seenAtMs = new Map<InformationSource, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  seen(source: InformationSource): void {
    this.#seenAtMs.set(source, this.#clock.nowMs());
  }

  /** Sources unseen for more than 30 s. */
  stale(): InformationSource[] {
    const nowMs = this.#clock.nowMs();
    return Object.values(InformationSource).filter(
      (source) => nowMs - (this.#seenAtMs.get(source) ?? -Infinity) > freshMs,
    );
  }

  isFresh(): boolean {
    return this.stale().length === 0;
  }
}
