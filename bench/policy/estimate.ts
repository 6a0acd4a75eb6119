import { quantile } from 'simple-statistics';
import { Random } from '../../src/core/index.js';

/** A figure over all seeds with its 95% confidence interval. */
export interface Estimate {
  readonly value: number;
  readonly low: number;
  readonly high: number;
}

const resamples = 400;

/**
 * Estimates `figure` over the seeds with a bootstrap over seeds. Seeds are resampled as a whole, so
 * that a ratio of two policies on the same workload stays paired.
 *
 * @param seeds - number of seeds.
 * @param figure - computes the figure from a list of seed indexes, some of them repeated.
 */
export function estimate(seeds: number, figure: (indexes: readonly number[]) => number): Estimate {
  const all = Array.from({ length: seeds }, (_, index) => index);
  const random = new Random(1_234);
  const found: number[] = [];
  for (let sample = 0; sample < resamples; sample++) {
    const value = figure(all.map(() => random.int(0, seeds - 1)));
    if (Number.isFinite(value)) found.push(value);
  }
  const value = figure(all);
  if (found.length === 0) return { value, low: value, high: value };
  return { value, low: quantile(found, 0.025), high: quantile(found, 0.975) };
}

/** Quantile of all values of the chosen runs together; NaN without values. */
export function pooledQuantile(
  runs: readonly (readonly number[])[],
  indexes: readonly number[],
  probability: number,
): number {
  const values = indexes.flatMap((index) => runs[index] ?? []);
  return values.length === 0 ? NaN : quantile(values, probability);
}

/** Sum of a figure over the chosen runs. */
export function pooledSum(values: readonly number[], indexes: readonly number[]): number {
  return indexes.reduce((sum, index) => sum + (values[index] ?? 0), 0);
}
