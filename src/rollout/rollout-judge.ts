import {
  compareFailures,
  compareLatency,
  LatencyMetric,
  meanLogOf,
  type Stratum,
} from './sequential-test.js';

/** What the evidence says of a version. */
export enum Verdict {
  /** Too little is known. */
  Unknown = 'unknown',
  /** A fault that matters would have been seen. */
  Clear = 'clear',
  /** Something may be wrong. */
  Doubtful = 'doubtful',
  Bad = 'bad',
}

/** A verdict and its reason, for operators. */
export interface Judgement {
  readonly verdict: Verdict;
  readonly reason: string;
}

/** Strata of a rollout, by the part of it that they are from. */
export interface JudgedEvidence {
  /** Of the phase in which the versions are compared. */
  readonly strata: readonly Stratum[];
  /** Of these, the ones after the endpoints have warmed up, for comparisons of latency. */
  readonly warm: readonly Stratum[];
  /** Of these, the last ones. */
  readonly recent: readonly Stratum[];
  /** Whether the endpoints have been warm for long enough to call the version slow. */
  readonly isWarm: boolean;
  /** Whether the version is decided on now. */
  readonly isLast: boolean;
}

/**
 * The test is repeated about twice a second for up to a dozen seconds, overall and for each route:
 * a false alarm in a thousand rollouts asks for this probability of each.
 */
const maxTail = 1e-5;
const minBad = 5;

/** Failures below twice those of the old version are left to its owners. */
const minFailureRatio = 2;

/** Standard score that stands for {@link maxTail} where the new version has most of the traffic. */
const minZ = 4.2;
const minShiftFailureZ = 3.3;
const minShiftFailureExcess = 0.03;
const minShiftBad = 10;

/** A version that is slower by less than this is not held back. */
const slowLogRatio = Math.log(1.3);

/** A version that is slower by less than this needs no further look. */
const doubtfulLogRatio = Math.log(1.2);

/** Slowdown that must have been seen, if there were one, before a version is clear. */
const detectableLogRatio = Math.log(1.5);
const minDetectionZ = 3.5;

/** Standard score of the last seconds: what was slow before may have been cold. */
const minRecentZ = 2;

const doubtfulTail = 0.003;
const doubtfulBad = 3;
const doubtfulZ = 2.4;

/** The same when the version is decided on. */
const lastZ = 3;

/** Responses of the new version without which it is not clear. */
const minResponses = 25;

/** Failures on a route that has no control requests, such as one of at-most-once requests. */
const minResponsesAlone = 40;
const minRatioAlone = 0.1;

/** Failures that control requests of other routes would show if the fault were a general one. */
const minControlFailures = 10;
const maxControlRatio = 4;

/** Failures of a route that call for more control requests. */
const suspiciousRatio = 0.06;
const suspiciousBad = 6;

/** Slowdown against the time before the shift, and its largest part at the control requests. */
const shiftSlowLogRatio = Math.log(1.8);
const generalLogRatio = Math.log(1.3);
const minControls = 12;

/** Judges a version by the responses of both versions while both get a part of the traffic. */
export function judgeCanary(evidence: JudgedEvidence): Judgement {
  const groups = routesOf(evidence.strata);
  const judgements = groups.map((route) => judgeGroup(evidence, route));
  const worst =
    judgements.find(({ verdict }) => verdict === Verdict.Bad) ??
    judgements.find(({ verdict }) => verdict === Verdict.Doubtful);
  if (worst) return worst;
  return isEnough(evidence)
    ? { verdict: Verdict.Clear, reason: 'no difference to the old version' }
    : { verdict: Verdict.Unknown, reason: 'too few responses' };
}

/**
 * Judges a version that serves nearly everything: failures against the control requests, latency
 * against the time before, as the old endpoints are idle now. A slowdown that the control requests
 * show too is no fault of the version.
 *
 * @param mayLackControls - whether a version may be judged although nothing is left to compare it
 *   with, as all requests of the service are at-most-once ones.
 */
export function judgeShift(
  recent: readonly Stratum[],
  before: readonly Stratum[],
  mayLackControls: boolean,
): Judgement {
  const clear = { verdict: Verdict.Clear, reason: 'no difference to the control requests' };
  for (const route of routesOf(recent)) {
    const now = select(recent, route);
    const { z, observed, newRatio, oldRatio } = compareFailures(now);
    const isBad =
      z >= minShiftFailureZ &&
      observed >= minShiftBad &&
      newRatio >= minFailureRatio * oldRatio + minShiftFailureExcess;
    if (isBad) return bad(`${nameOf(route)}: ${describeRatio(newRatio)} failed`);
    const earlier = select(before, route);
    const control = now.reduce((sum, { old }) => sum + old.responses, 0);
    const usualRatio = oldFailureRatioOf(earlier);
    const { responses, ratio } = failureRatioOf(now);
    const isAlone = control === 0 && responses >= minResponsesAlone;
    if (
      isAlone &&
      isOnlyNew(recent, ratio, mayLackControls) &&
      ratio >= minRatioAlone + minFailureRatio * usualRatio
    )
      return bad(`${nameOf(route)}: ${describeRatio(ratio)} failed, without control requests`);
    for (const metric of Object.values(LatencyMetric)) {
      const fresh = meanLogOf(now, 'fresh', metric);
      const controls = meanLogOf(now, 'old', metric);
      const usual = meanLogOf(earlier, 'old', metric);
      if (fresh.count < minResponses || usual.count < minResponses || controls.count < minControls)
        continue;
      const shift = fresh.mean - usual.mean;
      const error = Math.sqrt(fresh.variance / fresh.count + usual.variance / usual.count);
      const general = Math.max(0, controls.mean - usual.mean);
      const isGeneral = general > generalLogRatio || shift - general < shiftSlowLogRatio;
      if (shift >= shiftSlowLogRatio && shift / error >= minZ && !isGeneral)
        return bad(`${nameOf(route)}: ${describeSlowdown(shift)} (${metric})`);
    }
  }
  return clear;
}

/** Share of failures among the latest responses of the new version. */
export function failureRatioOf(strata: readonly Stratum[]): {
  readonly responses: number;
  readonly ratio: number;
} {
  let responses = 0;
  let failures = 0;
  for (const { fresh } of strata) {
    responses += fresh.responses;
    failures += fresh.bad;
  }
  return { responses, ratio: responses === 0 ? 0 : failures / responses };
}

/** Whether the new version fails on some route often enough to look for the reason. */
export function hasFailingRoute(strata: readonly Stratum[]): boolean {
  return routesOf(strata).some((route) => {
    const { responses, ratio } = failureRatioOf(select(strata, route));
    return responses * ratio >= suspiciousBad && ratio >= suspiciousRatio;
  });
}

/**
 * Whether the control requests of the other routes fail far less than the given ratio, by enough
 * responses to tell. Without any control requests there is nothing to wait for.
 */
function isOnlyNew(strata: readonly Stratum[], ratio: number, mayLackControls: boolean): boolean {
  const controls = strata.reduce((sum, { old }) => sum + old.responses, 0);
  if (controls === 0) return mayLackControls;
  const isTelling = controls * ratio >= minControlFailures;
  return isTelling && oldFailureRatioOf(strata) * maxControlRatio <= ratio;
}

function oldFailureRatioOf(strata: readonly Stratum[]): number {
  const responses = strata.reduce((sum, { old }) => sum + old.responses, 0);
  return responses === 0 ? 0 : strata.reduce((sum, { old }) => sum + old.bad, 0) / responses;
}

function judgeGroup(evidence: JudgedEvidence, route: string | undefined): Judgement {
  const { observed, expected, tail } = compareFailures(select(evidence.strata, route));
  const exceeds = observed >= minFailureRatio * expected;
  const failures = `${nameOf(route)}: ${observed} failures, ${expected.toFixed(1)} expected`;
  if (tail < maxTail && observed >= minBad && exceeds) return bad(failures);
  let doubt: string | undefined;
  if (tail < doubtfulTail && observed >= doubtfulBad && exceeds) doubt = failures;
  const warm = select(evidence.warm, route);
  const recent = select(evidence.recent, route);
  for (const metric of Object.values(LatencyMetric)) {
    const { logRatio, z } = compareLatency(warm, metric);
    const last = compareLatency(recent, metric);
    const isKnown = Number.isFinite(last.standardError);
    const least = isKnown ? Math.min(logRatio, last.logRatio) : logRatio;
    if (least < doubtfulLogRatio || (isKnown && last.z < minRecentZ)) continue;
    const slowness = `${nameOf(route)}: ${describeSlowdown(logRatio)} (${metric})`;
    const isSlow = least >= slowLogRatio;
    if (isSlow && z >= minZ && evidence.isWarm) return bad(slowness);
    const leastZ = evidence.isLast ? lastZ : doubtfulZ;
    if (z >= leastZ && (isSlow || !evidence.isLast)) doubt = slowness;
  }
  return doubt === undefined
    ? { verdict: Verdict.Clear, reason: '' }
    : { verdict: Verdict.Doubtful, reason: doubt };
}

function isEnough({ strata, warm }: JudgedEvidence): boolean {
  const responses = strata.reduce((sum, { fresh }) => sum + fresh.responses, 0);
  const { standardError } = compareLatency(warm, LatencyMetric.First);
  return responses >= minResponses && detectableLogRatio / standardError >= minDetectionZ;
}

/** All routes, and undefined for all of them together. */
function routesOf(strata: readonly Stratum[]): (string | undefined)[] {
  return [undefined, ...new Set(strata.map(({ route }) => route))];
}

function select(strata: readonly Stratum[], route: string | undefined): readonly Stratum[] {
  return route === undefined ? strata : strata.filter((stratum) => stratum.route === route);
}

function bad(reason: string): Judgement {
  return { verdict: Verdict.Bad, reason };
}

function nameOf(route: string | undefined): string {
  return route === undefined ? 'all routes' : `route ${route === '' ? '(others)' : route}`;
}

function describeRatio(ratio: number): string {
  return `${(ratio * 100).toFixed(1)}% of its responses`;
}

function describeSlowdown(logRatio: number): string {
  return `slower by a factor of ${Math.exp(logRatio).toFixed(2)}`;
}
