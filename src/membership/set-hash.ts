import { hash64 } from '../core/index.js';

/**
 * Hash of a set of strings that is independent of their order and updated in constant time, so that
 * two daemons can compare large sets by a few bytes.
 *
 * @example
 * ```ts
 * hash.toggle('a'); // adds; the second call removes
 * ```
 */
export class SetHash {
  #value = 0n;

  /** Adds `text`, or removes it if the set contains it. */
  toggle(text: string): void {
    this.#value ^= hash64(text);
  }

  /** Hash of the set with `text` toggled; the set itself does not change. */
  with(text: string): string {
    return (this.#value ^ hash64(text)).toString(36);
  }

  toString(): string {
    return this.#value.toString(36);
  }
}
