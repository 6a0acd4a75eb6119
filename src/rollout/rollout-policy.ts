import type { EvidencePool } from './evidence-pool.js';
import {
  failureRatioOf,
  hasFailingRoute,
  judgeCanary,
  judgeShift,
  Verdict,
  type Judgement,
} from './rollout-judge.js';
import type { RolloutBounds, RolloutOrder } from './rollout-order.js';
import {
  isFinal,
  isShifted,
  RolloutPhase,
  withVersion,
  type RolloutState,
} from './rollout-state.js';

/** What is known when the next state of a rollout is decided. */
export interface RolloutSituation {
  readonly nowMs: number;
  readonly pool: EvidencePool;
  /** Endpoints of the version, and of others, that take new requests. */
  readonly liveNew: number;
  readonly liveOld: number;
  /** Time since which all endpoints of the version are there, in epoch milliseconds. */
  readonly completeSinceMs: number;
  /** Versions of the other endpoints. */
  readonly otherVersions: readonly string[];
  /** Whether no request runs at an old endpoint, and none will be sent there. */
  readonly isDrained: boolean;
}

/** Part of the share, and of the bound on all requests, that is used: counts come late. */
const canaryRatio = 0.7;
const budgetRatio = 0.85;

/** Part of the usual rate that is expected for the rest of a rollout. */
const expectedRateRatio = 0.8;

/** Time for a change of the share to be in force and for its effects to be counted. */
const reactionMs = 1_700;

const maxRampShare = 0.3;

/** A smaller change of the share is not worth a write to the store. */
const minShareChangeRatio = 0.25;

/** Share of the requests that stays with the old version during a shift: of idempotent ones only. */
const controlShare = 0.05;

/** The same of all but at-most-once requests, while the version is under suspicion. */
const suspicionControlShare = 0.2;

/** Shares below this one keep streams with the old version too. */
export const minShareWithoutStreams = 0.94;

/** Time before the shift at which the share rises, for faults under load. */
const rampMs = 2_200;

/** Shortest ramp, after which its effects are known. */
const minRampMs = 1_900;

/** Shortest time of a shift; a verdict on a bad version needs none. */
const minShiftMs = 1_500;

/** Shortest time from the first exposed request to the shift, for a late start. */
const minCompareMs = 2_500;

/** Bounds of the time of the shift, in parts of the order's duration. */
const minShiftRatio = 0.3;
const maxShiftRatio = 0.55;

/** Part of the duration after which a version without a clear verdict is decided on as it is. */
const latestShiftRatio = 0.7;

/** Time for the last requests to end and for all gateways to say so. */
const drainMarginMs = 2_500;

/** Time before the deadline at which the control requests end at the latest. */
const lastControlMs = 4_000;

/** Requests at old endpoints, relative to a second's arrivals, that end the shift early. */
const fewOpenRatio = 0.06;
const fewOpen = 3;

/** Caches are cold and batches empty at first, and reports a second old: these latencies do not count. */
const warmUpMs = 2_500;

/** Time after the first exposed request for which further endpoints are waited for. */
const maxCompletionMs = 800;

/** Time for which warm endpoints are watched before the version counts as slow. */
const minWarmMs = 1_000;

/** A difference of latency must last in this time to count. */
const recentMs = 2_000;

/** Responses by which a version is judged that has nearly all requests. */
const shiftWindowMs = 4_000;

/**
 * Time in which gateways change from one state to the next, and report on both together: their
 * responses are not compared.
 */
const propagationMs = 1_800;

/** Responses of the new version with which it replaces an old one that has no endpoints left. */
const minResponsesAlone = 20;

/**
 * Decides the state of a rollout from the evidence of all gateways. The pattern that it handles: two
 * versions of a service side by side, a share of the traffic on the new one, reports about a second
 * old. It is a function of its arguments.
 *
 * @example
 * ```ts
 * const next = policy.next(state, situation);
 * if (next !== state) await store(next);
 * ```
 */
export class RolloutPolicy {
  readonly #bounds: RolloutBounds;

  constructor(bounds: RolloutBounds) {
    this.#bounds = bounds;
  }

  /** The first state of an order, which follows on the final one of the service's last order. */
  begin(
    order: RolloutOrder,
    last: RolloutState | undefined,
    { nowMs, liveNew, otherVersions }: RolloutSituation,
  ): RolloutState {
    const { serviceName, to, orderedAtMs, deadlineAtMs } = order;
    const state: RolloutState = {
      serviceName,
      to,
      revision: (last?.revision ?? 0) + 1,
      phase: RolloutPhase.Waiting,
      share: 0,
      orderedAtMs,
      deadlineAtMs,
      phaseSinceMs: nowMs,
      exposedSinceMs: 0,
      from: [],
      rolledBack: [...(last?.rolledBack ?? [])],
      reason: 'ordered',
    };
    if (state.rolledBack.includes(to))
      return { ...state, phase: RolloutPhase.RolledBack, reason: 'was rolled back before' };
    const isInForce = liveNew > 0 && otherVersions.length === 0;
    if (isInForce) return succeeded(state, 'the version is in force', nowMs);
    return { ...state, from: otherVersions.slice(0, 32) };
  }

  /** The end of a rollout that another order takes the place of. */
  supersede(state: RolloutState, nowMs: number): RolloutState {
    const next = rolledBack(state, 'another version was ordered', nowMs);
    return { ...next, revision: state.revision + 1 };
  }

  /** The state after this one; the same one while nothing changes. */
  next(state: RolloutState, situation: RolloutSituation): RolloutState {
    if (isFinal(state)) return state;
    const known = this.#withVersions(state, situation);
    const changed = this.#changed(known, situation);
    if (changed !== known || known !== state) {
      return { ...changed, revision: state.revision + 1 };
    }
    return state;
  }

  /** What the evidence says of the version now. */
  judge(state: RolloutState, { pool, nowMs, completeSinceMs }: RolloutSituation): Judgement {
    const { orderedAtMs, phase, phaseSinceMs } = state;
    if (phase === RolloutPhase.Shift || phase === RolloutPhase.Drain) {
      // Under suspicion, the few control requests of a small route need longer.
      const isSuspected = state.share < minShareWithoutStreams;
      const windowMs = isSuspected ? Infinity : shiftWindowMs;
      const sinceMs = Math.max(phaseSinceMs + propagationMs, nowMs - windowMs);
      return judgeShift(pool.strata(sinceMs), pool.strata(orderedAtMs, phaseSinceMs), isSuspected);
    }
    const strata = pool.strata(orderedAtMs);
    const { exposedSinceMs } = state;
    const completeAtMs = Math.min(completeSinceMs, exposedSinceMs + maxCompletionMs);
    const warmAtMs = Math.max(exposedSinceMs, completeAtMs) + warmUpMs;
    const warm = pool.strata(warmAtMs);
    const recent = pool.strata(Math.max(warmAtMs, nowMs - recentMs));
    return judgeCanary({
      strata,
      warm,
      recent,
      isWarm: nowMs >= warmAtMs + minWarmMs,
      isLast: nowMs >= shiftTimes(state, 0).latestAtMs,
    });
  }

  #changed(state: RolloutState, situation: RolloutSituation): RolloutState {
    switch (state.phase) {
      case RolloutPhase.Waiting:
        return this.#afterWaiting(state, situation);
      case RolloutPhase.Canary:
      case RolloutPhase.Ramp:
        return this.#afterComparison(state, situation);
      case RolloutPhase.Shift:
        return this.#afterShift(state, situation);
      case RolloutPhase.Drain:
        return this.#afterDrain(state, situation);
      case RolloutPhase.Succeeded:
      case RolloutPhase.RolledBack:
        return state;
    }
  }

  #afterWaiting(state: RolloutState, { nowMs, liveNew, liveOld }: RolloutSituation): RolloutState {
    if (nowMs >= state.deadlineAtMs)
      return rolledBack(state, 'no endpoint of the version came by the deadline', nowMs);
    if (liveNew === 0 || (liveOld === 0 && state.from.length === 0)) return state;
    const share = canaryRatio * this.#bounds.exposeShare;
    const reason = 'endpoints of the version are there';
    const canary = enter(state, RolloutPhase.Canary, share, reason, nowMs);
    return { ...canary, exposedSinceMs: nowMs };
  }

  #afterComparison(state: RolloutState, situation: RolloutSituation): RolloutState {
    const { nowMs, liveNew, liveOld, pool } = situation;
    const { verdict, reason } = this.judge(state, situation);
    if (verdict === Verdict.Bad) return rolledBack(state, reason, nowMs);
    if (nowMs >= state.deadlineAtMs)
      return rolledBack(state, `not decided by the deadline: ${reason}`, nowMs);
    if (liveNew === 0)
      return enter(state, RolloutPhase.Waiting, 0, 'no endpoint of the version is left', nowMs);
    const { longestMs } = pool.totals;
    const times = shiftTimes(state, longestMs);
    const isLatest = nowMs >= times.latestAtMs;
    if (verdict === Verdict.Doubtful && isLatest) return rolledBack(state, reason, nowMs);
    const mayShift = verdict === Verdict.Clear || (verdict === Verdict.Unknown && isLatest);
    const isAlone = liveOld === 0 && failureRatioOf(pool.strata(0)).responses >= minResponsesAlone;
    const adapted = this.#withinBudget(state, situation, verdict, times.dueAtMs);
    const isRamped =
      state.phase === RolloutPhase.Ramp
        ? nowMs >= state.phaseSinceMs + minRampMs
        : adapted.phase !== RolloutPhase.Ramp;
    const isDue = nowMs >= times.dueAtMs && (isRamped || isLatest);
    if (mayShift && (isDue || isAlone))
      return enter(state, RolloutPhase.Shift, 1 - controlShare, reason, nowMs);
    return adapted;
  }

  /** Adapts the share to what the bound on all requests still allows. */
  #withinBudget(
    state: RolloutState,
    { nowMs, pool }: RolloutSituation,
    verdict: Verdict,
    dueAtMs: number,
  ): RolloutState {
    const { exposeShare, exposeSlack } = this.#bounds;
    const { arrivals, exposed } = pool.totals;
    const elapsedMs = Math.max(1, nowMs - state.orderedAtMs);
    const perMs = arrivals / elapsedMs;
    const restMs = Math.max(0, state.deadlineAtMs - nowMs);
    const expected = arrivals + expectedRateRatio * perMs * restMs;
    const left = budgetRatio * (exposeShare * expected + exposeSlack) - exposed;
    if (arrivals === 0) return state;
    const affordable = Math.max(0, left) / (perMs * reactionMs);
    if (state.share > affordable && state.share > 0)
      return { ...state, share: roundShare(affordable), reason: 'the bound is nearly reached' };
    const isDue = nowMs >= dueAtMs - rampMs || state.phase === RolloutPhase.Ramp;
    if (!isDue || verdict === Verdict.Doubtful) return state;
    const horizonMs = Math.max(0, dueAtMs - nowMs) + reactionMs;
    const share = roundShare(Math.min(maxRampShare, Math.max(0, left) / (perMs * horizonMs)));
    if (share < state.share * (1 + minShareChangeRatio)) return state;
    if (state.phase === RolloutPhase.Ramp) return { ...state, share };
    return enter(state, RolloutPhase.Ramp, share, 'nothing is wrong so far', nowMs);
  }

  #afterShift(state: RolloutState, situation: RolloutSituation): RolloutState {
    const { nowMs, liveNew, pool } = situation;
    const { verdict, reason } = this.judge(state, situation);
    if (verdict === Verdict.Bad) return rolledBack(state, reason, nowMs);
    if (liveNew === 0) return rolledBack(state, 'no endpoint of the version is left', nowMs);
    if (isSuspicious(pool, state, nowMs)) {
      return state.share < minShareWithoutStreams ? state : underSuspicion(state, nowMs);
    }
    if (nowMs < state.phaseSinceMs + minShiftMs) return state;
    const { openAtOld, arrivals } = pool.totals;
    const perS = (arrivals * 1_000) / Math.max(1, nowMs - state.orderedAtMs);
    const isLate = nowMs >= state.deadlineAtMs - lastControlMs;
    const hasFew = openAtOld <= Math.max(fewOpen, fewOpenRatio * perS);
    if (!isLate && !hasFew) return state;
    return enter(state, RolloutPhase.Drain, 1, 'old endpoints have few requests left', nowMs);
  }

  #afterDrain(state: RolloutState, situation: RolloutSituation): RolloutState {
    const { nowMs, liveNew, pool, isDrained } = situation;
    if (liveNew === 0) return rolledBack(state, 'no endpoint of the version is left', nowMs);
    const { verdict, reason } = this.judge(state, situation);
    if (verdict === Verdict.Bad) return rolledBack(state, reason, nowMs);
    if (isSuspicious(pool, state, nowMs)) return underSuspicion(state, nowMs);
    return isDrained ? succeeded(state, 'no request runs at old endpoints', nowMs) : state;
  }

  #withVersions(state: RolloutState, { otherVersions }: RolloutSituation): RolloutState {
    if (isShifted(state)) return state;
    const added = otherVersions.filter((version) => !state.from.includes(version));
    if (added.length === 0 || state.from.length >= 32) return state;
    return { ...state, from: [...state.from, ...added].slice(0, 32) };
  }
}

/** When the share goes to 1, and when a verdict is no longer waited for, in epoch milliseconds. */
function shiftTimes(
  state: RolloutState,
  longestMs: number,
): { readonly dueAtMs: number; readonly latestAtMs: number } {
  const { orderedAtMs, deadlineAtMs } = state;
  const durationMs = deadlineAtMs - orderedAtMs;
  const byRequestsMs = durationMs - longestMs - drainMarginMs;
  const earliestMs = minShiftRatio * durationMs;
  const plannedMs = Math.min(maxShiftRatio * durationMs, Math.max(earliestMs, byRequestsMs));
  const comparedAtMs = state.exposedSinceMs + Math.min(minCompareMs, earliestMs);
  return {
    dueAtMs: Math.max(orderedAtMs + plannedMs, comparedAtMs),
    latestAtMs: Math.max(orderedAtMs + latestShiftRatio * durationMs, comparedAtMs),
  };
}

/** Whether some route fails so often that the control requests are needed to tell why. */
function isSuspicious(pool: EvidencePool, { phaseSinceMs }: RolloutState, nowMs: number): boolean {
  return hasFailingRoute(pool.strata(Math.max(phaseSinceMs, nowMs - recentMs)));
}

function underSuspicion(state: RolloutState, nowMs: number): RolloutState {
  const share = 1 - suspicionControlShare;
  return enter(state, RolloutPhase.Shift, share, 'failures without enough control requests', nowMs);
}

function enter(
  state: RolloutState,
  phase: RolloutPhase,
  share: number,
  reason: string,
  nowMs: number,
): RolloutState {
  return { ...state, phase, share: roundShare(share), reason, phaseSinceMs: nowMs };
}

function rolledBack(state: RolloutState, reason: string, nowMs: number): RolloutState {
  const versions = withVersion(state.rolledBack, state.to);
  return { ...enter(state, RolloutPhase.RolledBack, 0, reason, nowMs), rolledBack: versions };
}

function succeeded(state: RolloutState, reason: string, nowMs: number): RolloutState {
  return enter(state, RolloutPhase.Succeeded, 1, reason, nowMs);
}

/** Rounded down, so that the bound holds. */
function roundShare(share: number): number {
  return Math.floor(share * 10_000) / 10_000;
}
