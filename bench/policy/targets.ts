import type { DeploymentShape } from './deployments.js';
import { estimate, pooledQuantile, pooledSum, type Estimate } from './estimate.js';
import { baselines, PolicyName } from './policies.js';
import { intervalMs, type RunSummary } from './run-summary.js';
import { lossAfterMs, overloadLoads, replacedAfterMs } from './scenarios.js';

/** Runs of each scenario of a deployment, one per seed. */
export type ScenarioRuns = ReadonlyMap<string, readonly RunSummary[]>;

/** A target of the design page and the figure reached. */
export interface TargetRow {
  readonly deployment: string;
  readonly name: string;
  readonly limit: number;
  readonly isUpperBound: boolean;
  readonly reached: Estimate;
  readonly isMet: boolean;
  /** What the figure is relative to. */
  readonly note: string;
}

/** Evaluates all targets of one deployment. */
export function evaluateTargets(shape: DeploymentShape, runs: ScenarioRuns): TargetRow[] {
  const seeds = runsOf(runs, `base ${PolicyName.Router}`).length;
  const rows: TargetRow[] = [];
  const add = (
    name: string,
    isUpperBound: boolean,
    limit: number,
    reached: Estimate,
    note: string,
  ): void => {
    const isMet = isUpperBound ? reached.value <= limit : reached.value >= limit;
    rows.push({ deployment: shape.name, name, limit, isUpperBound, reached, isMet, note });
  };
  const atMost = (name: string, limit: number, reached: Estimate, note: string): void =>
    add(name, true, limit, reached, note);

  const router = runsOf(runs, `base ${PolicyName.Router}`);
  const oracle = runsOf(runs, `base ${PolicyName.Oracle}`);
  for (const { name, figure, limits } of [
    { name: 'cost at target', figure: usdPerOnTarget, limits: [0.85, 1.1] },
    { name: 'recomputed prompt tokens', figure: recomputedPerRequest, limits: [0.8, 1.15] },
  ]) {
    const best = bestBaseline(runs, figure);
    const ratioTo = (other: readonly RunSummary[]): Estimate =>
      estimate(seeds, (indexes) => figure(router, indexes) / figure(other, indexes));
    const [toBaseline = 0, toOracle = 0] = limits;
    atMost(`${name} / best baseline`, toBaseline, ratioTo(best.runs), best.name);
    atMost(`${name} / oracle`, toOracle, ratioTo(oracle), '');
  }
  const moved = runsOf(runs, 'reclaim move');
  const restarted = runsOf(runs, 'reclaim restart');
  atMost(
    'recomputed tokens under reclaims / restart',
    0.3,
    estimate(
      seeds,
      (indexes) =>
        pooledSum(
          moved.map(({ repeatedTokens }) => repeatedTokens),
          indexes,
        ) /
        pooledSum(
          restarted.map(({ repeatedTokens }) => repeatedTokens),
          indexes,
        ),
    ),
    'prompt and regenerated tokens of repeated attempts',
  );

  const outliers = runsOf(runs, 'outliers');
  atMost(
    'p99 first token of short work, 5% of jobs 20x / none',
    1.3,
    shortRatio(seeds, outliers, router),
    `p99 without: ${shortP99(router).toFixed(0)} ms`,
  );
  const outlierCount = outliers.reduce((sum, run) => sum + run.outliers, 0);
  atMost(
    '20x jobs past their deadline',
    0,
    estimate(seeds, (indexes) =>
      pooledSum(
        outliers.map((run) => run.outliersLate),
        indexes,
      ),
    ),
    `of ${outlierCount}`,
  );
  for (const slow of [1, 2]) {
    const slowed = runsOf(runs, `slow ${slow} ${PolicyName.Router}`);
    const others = [PolicyName.Oracle, PolicyName.TwoChoices].map((policy) => {
      const ratio = shortRatio(
        seeds,
        runsOf(runs, `slow ${slow} ${policy}`),
        runsOf(runs, `base ${policy}`),
      );
      return `${policy}: ${ratio.value.toFixed(1)}`;
    });
    atMost(
      `p99 first token of short work, ${slow} endpoint(s) at a fifth of speed / unslowed`,
      1.5,
      shortRatio(seeds, slowed, router),
      others.join(', '),
    );
  }

  addLossTargets(runs, seeds, atMost);
  addOverloadTargets(runs, seeds, add, atMost);
  return rows;
}

type AddBound = (name: string, limit: number, reached: Estimate, note: string) => void;

function addLossTargets(runs: ScenarioRuns, seeds: number, atMost: AddBound): void {
  const loss = runsOf(runs, `loss ${PolicyName.Router}`);
  const total = (value: (run: RunSummary) => number): Estimate =>
    estimate(seeds, (indexes) => pooledSum(loss.map(value), indexes));
  const broken = loss.reduce((sum, run) => sum + run.broken, 0);
  const refused = loss.reduce((sum, run) => sum + run.refused, 0);
  const requests = loss.reduce((sum, run) => sum + run.requests, 0);
  atMost(
    'domain lost: accepted jobs lost',
    0,
    total((run) => run.lostJobs),
    `other broken: ${broken} of ${requests}`,
  );
  atMost(
    'domain lost: untruthful refusals',
    0,
    total((run) => run.untruthfulRefusals),
    `refused: ${refused} of ${requests}`,
  );
  atMost(
    'domain lost: seconds from replacement until back at target',
    30,
    estimate(seeds, (indexes) => secondsUntilOnTarget(loss, indexes)),
    'share on target >= 0.95 for two intervals of 10 s',
  );
  atMost(
    'domain lost: attempts per request',
    1.2,
    estimate(
      seeds,
      (indexes) =>
        pooledSum(
          loss.map((run) => run.faultAttempts),
          indexes,
        ) /
        pooledSum(
          loss.map((run) => run.faultRequests),
          indexes,
        ),
    ),
    'requests open at the loss or arriving within 90 s',
  );
}

function addOverloadTargets(
  runs: ScenarioRuns,
  seeds: number,
  add: (
    name: string,
    isUpperBound: boolean,
    limit: number,
    reached: Estimate,
    note: string,
  ) => void,
  atMost: AddBound,
): void {
  const series = overloadLoads.map((load) => runsOf(runs, `overload ${load}`));
  const overloaded = series[series.length - 1] ?? [];
  const goodput = (each: readonly RunSummary[], indexes: readonly number[]): number =>
    pooledSum(
      each.map((run) => run.onTarget),
      indexes,
    );
  const all = overloaded.map((_, index) => index);
  const tokens = series.map((each) =>
    (each.reduce((sum, run) => sum + run.goodTokensPerS, 0) / seeds).toFixed(0),
  );
  const requests = series.map((each) => (goodput(each, all) / seeds).toFixed(0));
  add(
    'overload 2x: requests on target / plateau',
    false,
    0.95,
    estimate(
      seeds,
      (indexes) =>
        goodput(overloaded, indexes) /
        Math.max(...series.slice(0, -1).map((each) => goodput(each, indexes))),
    ),
    `at loads ${overloadLoads.join(', ')}: requests ${requests.join(', ')}; tokens/s ${tokens.join(', ')}`,
  );
  const small = (each: readonly RunSummary[], indexes: readonly number[]): number =>
    pooledQuantile(
      each.map((run) => run.smallFirstTokenMs),
      indexes,
      0.99,
    );
  const unloaded = series[0] ?? [];
  const refused = overloaded.reduce((sum, run) => sum + run.smallRefused, 0);
  atMost(
    'overload 2x: p99 first token of small workspaces / unloaded share',
    1.3,
    estimate(seeds, (indexes) => small(overloaded, indexes) / small(unloaded, indexes)),
    `unloaded: ${small(unloaded, all).toFixed(0)} ms; refused of small ones: ${refused}`,
  );
}

/** Seconds after the replacement at which two intervals in a row are on target. */
function secondsUntilOnTarget(loss: readonly RunSummary[], indexes: readonly number[]): number {
  const count = loss[0]?.intervals.length ?? 0;
  const share = (interval: number): number => {
    const parts = indexes.map((index) => loss[index]?.intervals[interval]);
    const requests = parts.reduce((sum, part) => sum + (part?.requests ?? 0), 0);
    return requests === 0
      ? 1
      : parts.reduce((sum, part) => sum + (part?.onTarget ?? 0), 0) / requests;
  };
  const first = Math.round((lossAfterMs + replacedAfterMs) / intervalMs);
  for (let interval = first; interval + 1 < count; interval++) {
    if (share(interval) >= 0.95 && share(interval + 1) >= 0.95) {
      return ((interval - first) * intervalMs) / 1_000;
    }
  }
  return Infinity;
}

/** Pooled p99 of the first token of short work, in milliseconds. */
export function shortP99(runs: readonly RunSummary[]): number {
  return pooledQuantile(
    runs.map(({ shortFirstTokenMs }) => shortFirstTokenMs),
    runs.map((_, index) => index),
    0.99,
  );
}

function shortRatio(
  seeds: number,
  upper: readonly RunSummary[],
  lower: readonly RunSummary[],
): Estimate {
  const p99 = (runs: readonly RunSummary[], indexes: readonly number[]): number =>
    pooledQuantile(
      runs.map(({ shortFirstTokenMs }) => shortFirstTokenMs),
      indexes,
      0.99,
    );
  return estimate(seeds, (indexes) => p99(upper, indexes) / p99(lower, indexes));
}

type Figure = (runs: readonly RunSummary[], indexes: readonly number[]) => number;

/** USD of batch slot time per request that met its objectives. */
export const usdPerOnTarget: Figure = (runs, indexes) =>
  pooledSum(
    runs.map(({ usd }) => usd),
    indexes,
  ) /
  pooledSum(
    runs.map(({ onTarget }) => onTarget),
    indexes,
  );

/** Prompt tokens per request processed again although an earlier request had the same prefix. */
export const recomputedPerRequest: Figure = (runs, indexes) =>
  pooledSum(
    runs.map(({ recomputedTokens }) => recomputedTokens),
    indexes,
  ) /
  pooledSum(
    runs.map(({ completed }) => completed),
    indexes,
  );

function bestBaseline(
  runs: ScenarioRuns,
  figure: Figure,
): { name: string; runs: readonly RunSummary[] } {
  const ranked = baselines
    .map((name) => {
      const found = runsOf(runs, `base ${name}`);
      return {
        name,
        runs: found,
        value: figure(
          found,
          found.map((_, index) => index),
        ),
      };
    })
    .sort((a, b) => a.value - b.value);
  return ranked[0]!;
}

function runsOf(runs: ScenarioRuns, name: string): readonly RunSummary[] {
  const found = runs.get(name);
  if (!found) throw new RangeError(`scenario "${name}" was not run`);
  return found;
}
