import { WorkClass } from '../../src/core/index.js';
import type { DeploymentShape } from './deployments.js';
import {
  RequestEnd,
  type LoadSamples,
  type RequestRecord,
  type RunOptions,
  type RunResult,
} from './run-record.js';

/** Outcome of the requests that arrived in one interval of a run. */
export interface IntervalSummary {
  readonly requests: number;
  /** Requests that met the objectives. */
  readonly onTarget: number;
  readonly firstTokenMs: readonly number[];
}

/** Figures of one run, small enough to be sent between threads. */
export interface RunSummary {
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly broken: number;
  /** Requests that met the objectives. */
  readonly onTarget: number;
  /** Output tokens per second of the requests on target. */
  readonly goodTokensPerS: number;
  readonly usd: number;
  readonly promptTokens: number;
  readonly uncachedTokens: number;
  readonly recomputedTokens: number;
  readonly repeatedTokens: number;
  /** Accepted long work that did not complete. */
  readonly lostJobs: number;
  /** Refusals of work that an engine had started. */
  readonly untruthfulRefusals: number;
  readonly outliers: number;
  readonly outliersLate: number;
  /** Requests sent that were open at a fault or arrived within 90 s after it; their attempts. */
  readonly faultRequests: number;
  readonly faultAttempts: number;
  readonly attempts: number;
  /** First-token times of short work, and of all work of the two small workspaces but long work. */
  readonly shortFirstTokenMs: readonly number[];
  readonly smallFirstTokenMs: readonly number[];
  readonly smallRefused: number;
  /** By 10 s of arrival after the warm-up. */
  readonly intervals: readonly IntervalSummary[];
  readonly samples: LoadSamples;
}

export const intervalMs = 10_000;

/**
 * Whether a request met its objectives. Long work is accepted jobs, whose callers do not watch the
 * first token; it must be complete by its deadline.
 */
export function isOnTarget(record: RequestRecord, shape: DeploymentShape): boolean {
  const isLong = record.request.kind.workClass === WorkClass.Long;
  const firstTokenMs = isLong ? 0 : (record.firstTokenMs ?? Infinity);
  return (
    record.end === RequestEnd.Completed &&
    firstTokenMs <= shape.objectiveFirstTokenMs &&
    record.betweenTokensMs <= shape.objectiveBetweenTokensMs &&
    record.endAtMs <= record.request.deadlineAtMs
  );
}

/** Summarises the requests that arrived after the warm-up. */
export function summarise(options: RunOptions, result: RunResult): RunSummary {
  const { shape } = options;
  const records = result.records.filter(({ request }) => request.arrivalMs >= result.warmUpEndMs);
  const count = (test: (record: RequestRecord) => boolean): number => records.filter(test).length;
  const sum = (value: (record: RequestRecord) => number): number =>
    records.reduce((total, record) => total + value(record), 0);
  const good = records.filter((record) => isOnTarget(record, shape));
  const faultMs = result.warmUpEndMs + (options.knobs?.domainLostAfterMs ?? 0);
  const atFault = result.records.filter(
    ({ request, endAtMs, attempts }) =>
      attempts > 0 && endAtMs >= faultMs && request.arrivalMs <= faultMs + 90_000,
  );
  const smallFrom = shape.workspaceShares.length - 2;
  const small = records.filter(
    ({ request }) => request.workspace >= smallFrom && request.kind.workClass !== WorkClass.Long,
  );
  return {
    requests: records.length,
    completed: count(({ end }) => end === RequestEnd.Completed),
    refused: count(({ end }) => end === RequestEnd.Refused),
    broken: count(({ end }) => end === RequestEnd.Broken || end === RequestEnd.Open),
    onTarget: good.length,
    goodTokensPerS:
      good.reduce((total, { request }) => total + request.outputTokens, 0) /
      ((result.measureEndMs - result.warmUpEndMs) / 1_000),
    usd: sum(({ usd }) => usd),
    promptTokens: sum(({ request }) => request.promptTokens),
    uncachedTokens: sum(({ uncachedTokens }) => uncachedTokens),
    recomputedTokens: sum(({ recomputedTokens }) => recomputedTokens),
    repeatedTokens: sum(({ repeatedTokens }) => repeatedTokens),
    lostJobs: count(
      ({ request, end }) =>
        request.kind.workClass === WorkClass.Long &&
        (end === RequestEnd.Broken || end === RequestEnd.Open),
    ),
    untruthfulRefusals: count(
      ({ end, startedAttempts }) => end === RequestEnd.Refused && startedAttempts > 0,
    ),
    outliers: count(({ request }) => request.isOutlier),
    outliersLate: count(
      ({ request, endAtMs, end }) =>
        request.isOutlier && (end !== RequestEnd.Completed || endAtMs > request.deadlineAtMs),
    ),
    faultRequests: atFault.length,
    faultAttempts: atFault.reduce((total, { attempts }) => total + attempts, 0),
    attempts: sum(({ attempts }) => attempts),
    shortFirstTokenMs: firstTokens(
      records.filter(({ request }) => request.kind.workClass === WorkClass.Short),
    ),
    smallFirstTokenMs: firstTokens(small),
    smallRefused: small.filter(({ end }) => end === RequestEnd.Refused).length,
    intervals: intervals(records, options, result),
    samples: result.samples,
  };
}

function intervals(
  records: readonly RequestRecord[],
  { shape }: RunOptions,
  { warmUpEndMs, measureEndMs }: RunResult,
): IntervalSummary[] {
  const found: IntervalSummary[] = [];
  for (let fromMs = warmUpEndMs; fromMs < measureEndMs; fromMs += intervalMs) {
    const inside = records.filter(
      ({ request }) =>
        request.arrivalMs >= fromMs &&
        request.arrivalMs < fromMs + intervalMs &&
        request.kind.workClass !== WorkClass.Long,
    );
    found.push({
      requests: inside.length,
      onTarget: inside.filter((record) => isOnTarget(record, shape)).length,
      firstTokenMs: firstTokens(inside),
    });
  }
  return found;
}

function firstTokens(records: readonly RequestRecord[]): number[] {
  return records.flatMap(({ firstTokenMs }) => (firstTokenMs === undefined ? [] : [firstTokenMs]));
}
