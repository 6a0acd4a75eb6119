import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/**
 * Seeded random number generator. Every random decision draws from one, so that a run can be
 * replayed from its seed.
 *
 * @example
 * ```ts
 * const random = new Random(42);
 * const jitterMs = random.float() * 100;
 * ```
 */
export class Random {
  readonly #generator: RandomGenerator;

  /** @param seed - any 32-bit integer. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed | 0);
  }

  /** Uniform in [0, 1). */
  float(): number {
    return uniformFloat64(this.#generator);
  }

  /** Uniform integer in [low, high], both ends included. */
  int(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /**
   * Picks an item with equal probability for each.
   *
   * @throws RangeError when `items` is empty.
   */
  pick<T>(items: readonly T[]): T {
    const item = items[this.int(0, items.length - 1)];
    if (item === undefined) throw new RangeError('cannot pick from an empty list');
    return item;
  }

  /** Exponentially distributed with the given mean, in the unit of the mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.float());
  }

  /** Independent generator, so that more draws in one component do not change those of another. */
  fork(): Random {
    return new Random(this.int(-0x80000000, 0x7fffffff));
  }
}
