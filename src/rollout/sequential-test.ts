/** Sums of one version in a stratum; changed in place while a stratum is filled. */
export interface CellSums {
  responses: number;
  bad: number;
  /** Number, sum and sum of squares of logarithms of times. */
  readonly first: [number, number, number];
  readonly gap: [number, number, number];
}

/** Responses of both versions on one route in the same second. */
export interface Stratum {
  readonly route: string;
  readonly old: CellSums;
  readonly fresh: CellSums;
}

/** A time of a response that is compared. */
export enum LatencyMetric {
  First = 'first',
  Gap = 'gap',
}

/** How the failures of the new version compare with those of the old one. */
export interface FailureComparison {
  /** Failures of the new version. */
  readonly observed: number;
  /** Its failures if both versions failed alike. */
  readonly expected: number;
  /** Probability of as many failures or more if both versions failed alike. */
  readonly tail: number;
  /** Standard score of `observed`. */
  readonly z: number;
  /** Share of failures of the new version, and of the old one. */
  readonly newRatio: number;
  readonly oldRatio: number;
}

/** How the times of the new version compare with those of the old one. */
export interface LatencyComparison {
  /** Mean difference of logarithms; above 0 if the new version is slower. */
  readonly logRatio: number;
  /** Standard error of `logRatio`; infinite without observations of both. */
  readonly standardError: number;
  readonly z: number;
}

/**
 * Compares failures within each stratum (Cochran-Mantel-Haenszel): what befalls both versions in the
 * same second does not count, however the shares of the versions change.
 */
export function compareFailures(strata: readonly Stratum[]): FailureComparison {
  let observed = 0;
  let expected = 0;
  let variance = 0;
  let newResponses = 0;
  let oldResponses = 0;
  let oldBad = 0;
  for (const { old, fresh } of strata) {
    // A failure may come in a later second than its response began.
    const n1 = Math.max(fresh.responses, fresh.bad);
    const n0 = Math.max(old.responses, old.bad);
    if (n1 === 0 || n0 === 0) continue;
    const total = n1 + n0;
    const bad = fresh.bad + old.bad;
    observed += fresh.bad;
    expected += (bad * n1) / total;
    if (total > 1) variance += (bad * (total - bad) * n1 * n0) / (total * total * (total - 1));
    newResponses += n1;
    oldResponses += n0;
    oldBad += old.bad;
  }
  return {
    observed,
    expected,
    tail: poissonTail(observed, expected),
    z: variance > 0 ? (observed - expected) / Math.sqrt(variance) : 0,
    newRatio: newResponses === 0 ? 0 : observed / newResponses,
    oldRatio: oldResponses === 0 ? 0 : oldBad / oldResponses,
  };
}

/** Compares a time within each stratum, by the means of its logarithms. */
export function compareLatency(
  strata: readonly Stratum[],
  metric: LatencyMetric,
): LatencyComparison {
  let weightSum = 0;
  let weighted = 0;
  let residual = 0;
  let freedom = 0;
  let fresh = 0;
  for (const stratum of strata) {
    const [n0, s0, q0] = stratum.old[metric];
    const [n1, s1, q1] = stratum.fresh[metric];
    for (const [n, s, q] of [stratum.old[metric], stratum.fresh[metric]]) {
      if (n < 2) continue;
      residual += Math.max(0, q - (s * s) / n);
      freedom += n - 1;
    }
    if (n0 === 0 || n1 === 0 || q0 < 0 || q1 < 0) continue;
    const weight = (n0 * n1) / (n0 + n1);
    fresh += n1;
    weightSum += weight;
    weighted += weight * (s1 / n1 - s0 / n0);
  }
  if (fresh < minObservations || freedom < minFreedom)
    return { logRatio: 0, standardError: Infinity, z: 0 };
  const logRatio = weighted / weightSum;
  const standardError = Math.sqrt(Math.max(residual / freedom, minLogVariance) / weightSum);
  return { logRatio, standardError, z: logRatio / standardError };
}

/** Sums of all strata, without regard to their seconds; for a level before and after a change. */
export function meanLogOf(
  strata: readonly Stratum[],
  arm: 'old' | 'fresh',
  metric: LatencyMetric,
): { readonly count: number; readonly mean: number; readonly variance: number } {
  let count = 0;
  let sum = 0;
  let squares = 0;
  for (const stratum of strata) {
    const [n, s, q] = stratum[arm][metric];
    count += n;
    sum += s;
    squares += q;
  }
  if (count === 0) return { count, mean: 0, variance: 0 };
  const mean = sum / count;
  return { count, mean, variance: Math.max(minLogVariance, squares / count - mean * mean) };
}

/** Times that hardly vary still differ by the endpoint, which the observations do not show. */
const minLogVariance = 0.04;

/** Observations of the new version, and degrees of freedom, for a standard error to mean anything. */
const minObservations = 10;
const minFreedom = 20;

/** Probability that a Poisson variable of this mean is at least `count`. */
export function poissonTail(count: number, mean: number): number {
  if (count <= 0) return 1;
  if (mean <= 0) return 0;
  if (count <= mean) return 1;
  let logTerm = -mean + count * Math.log(mean);
  for (let k = 2; k <= count; k++) logTerm -= Math.log(k);
  let term = Math.exp(logTerm);
  let sum = 0;
  for (let k = count + 1; term > sum * 1e-12; k++) {
    sum += term;
    term *= mean / k;
  }
  return Math.min(1, sum);
}
