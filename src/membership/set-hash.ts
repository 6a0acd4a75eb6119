import { hash64 } from '../core/index.js';

/**
 * Hash of a set of texts that is independent of their order and updated in constant time, so that
 * two daemons compare large sets by a few bytes.
 *
 * @example
 * ```ts
 * hash.toggle('a'); // adds; the second call removes
 * ```
 */
export class SetHash {
  #value = 0n;

  /** Adds `text`, or removes it when it is contained. */
  toggle(text: string): void {
    this.#value ^= hash64(text);
  }

  /** The set's hash with `text` toggled, which is not kept. */
  with(text: string): string {
    return (this.#value ^ hash64(text)).toString(36);
  }

  toString(): string {
    return this.#value.toString(36);
  }
}
