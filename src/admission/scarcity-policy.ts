import type { Random } from '../core/index.js';
import { CounterRate } from './counter-rate.js';
import { FairFractions } from './fair-fractions.js';
import type { StartEstimator, StartRequest } from './start-estimator.js';

/** A request as the {@link ScarcityPolicy} sees it. */
export interface ScarcityRequest extends StartRequest {
  /** Empty for public routes. */
  readonly workspaceName: string;
  /** Relative to other requests of the service. */
  readonly cost: number;
  /** Epoch milliseconds. */
  readonly receivedAtMs: number;
  /** Epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/** What becomes of a request. */
export enum ScarcityAction {
  Start = 'start',
  /** It waits for a slot until a given time. */
  Wait = 'wait',
  Refuse = 'refuse',
}

/** Decision of the {@link ScarcityPolicy}; times in epoch milliseconds. */
export type ScarcityDecision =
  | { readonly action: ScarcityAction.Start }
  | { readonly action: ScarcityAction.Wait; readonly untilMs: number }
  | { readonly action: ScarcityAction.Refuse; readonly retryAtMs: number };

/** Time within which a request is refused, relative to its objective. */
const refusalRatio = 1 / 8;

/** Wait at the endpoints that is aimed at, relative to the shortest objective of the service. */
const targetWaitRatio = 0.4;

/** Interval at which the fraction of a service is corrected, in milliseconds. */
const stepMs = 100;

/** Wait relative to the target from which on requests are refused; uneven load causes shorter ones. */
const onsetRatio = 0.5;

/** Time constant of the requests that come and end; shorter ones vary with few requests. */
const rateSmoothingMs = 3_000;

/** Time in which the wait is brought to its target; longer than the load reports are old. */
const correctionMs = 2_500;

/** Largest relative correction of the requests that end. */
const maxCorrection = 0.5;

/** Constant part of the fraction, by which daemons with different fractions come closer. */
const increase = 0.01;

/** The fraction never falls below it, so that it is found again soon after an outage. */
const minFraction = 0.02;

/** Time after which an objective that no request has had any more is forgotten, in milliseconds. */
const objectiveMemoryMs = 10_000;

/** Callers honor a time to return up to a third of their remaining time. */
const maxRetryRatio = 0.3;
const minRetryMs = 200;

/** Fraction of a service's requests that can start. */
interface ServiceState {
  readonly fractions: FairFractions;
  readonly comeRate: CounterRate;
  readonly endRate: CounterRate;
  come: number;
  ended: number;
  fraction: number;
  steppedAtMs: number;
  objectiveMs: number;
  objectiveUntilMs: number;
}

/** Options of {@link ScarcityPolicy}. */
export interface ScarcityPolicyOptions {
  readonly estimator: StartEstimator;
  readonly random: Random;
}

/**
 * Decides which requests start, wait or are refused while a service has less capacity than its
 * callers ask for. The load pattern is a demand of 1.3 to 7 times the capacity at many daemons whose
 * load reports are up to some seconds old.
 *
 * Each daemon starts as many requests as end, and more or fewer while the wait at the endpoints is
 * below or above a target. So the sum follows the capacity without messages, and old load reports
 * only delay the correction. Without a wait, or without knowledge of it, all requests start.
 *
 * @example
 * ```ts
 * const decision = policy.decide(request, clock.nowMs());
 * if (decision.action === ScarcityAction.Refuse) refuse(decision.retryAtMs);
 * ```
 */
export class ScarcityPolicy {
  readonly #options: ScarcityPolicyOptions;
  readonly #services = new Map<string, ServiceState>();

  constructor(options: ScarcityPolicyOptions) {
    this.#options = options;
  }

  /** Fraction of the requests of a service that start; 1 while it is not short of capacity. */
  fractionOf(serviceName: string): number {
    return this.#services.get(serviceName)?.fraction ?? 1;
  }

  /** Records that a request of the service has ended at an endpoint. */
  recordEnd(serviceName: string): void {
    const state = this.#services.get(serviceName);
    if (state) state.ended += 1;
  }

  /** Decides on a request that has just come. */
  decide(request: ScarcityRequest, nowMs: number): ScarcityDecision {
    const { estimator, random } = this.#options;
    const { serviceName, value, workspaceName, cost } = request;
    const state = this.#stateOf(request, nowMs);
    const startAtMs = estimator.earliestStartAtMs(request, nowMs);
    const waitMs = startAtMs === undefined ? undefined : startAtMs - nowMs;
    this.#step(state, this.#endpointWaitMs(serviceName, request, nowMs), nowMs);
    state.come += 1;
    state.fractions.record(value, workspaceName, cost, nowMs);
    if (waitMs === undefined || waitMs <= 0 || state.fraction >= 1)
      return { action: ScarcityAction.Start };
    const probability = state.fractions.startProbability(
      value,
      workspaceName,
      state.fraction,
      nowMs,
    );
    if (random.float() < probability) return { action: ScarcityAction.Start };
    const waitUntilMs = request.receivedAtMs + value.objectiveMs * refusalRatio;
    const targetMs = state.objectiveMs * targetWaitRatio;
    // A place is expected once the wait at the endpoints is back at its target.
    if (waitMs <= targetMs && waitUntilMs > nowMs && waitUntilMs < request.deadlineAtMs)
      return { action: ScarcityAction.Wait, untilMs: waitUntilMs };
    return this.refuse(request, nowMs);
  }

  /** Refuses a request that has waited in vain, or found no place to wait. */
  refuse(request: ScarcityRequest, nowMs: number): ScarcityDecision {
    const { estimator, random } = this.#options;
    const startAtMs = estimator.earliestStartAtMs(request, nowMs) ?? nowMs;
    const maxMs = Math.max(minRetryMs, (request.deadlineAtMs - nowMs) * maxRetryRatio);
    const expectedMs = Math.min(maxMs, Math.max(minRetryMs, startAtMs - nowMs));
    // Those that are refused together must not return together.
    const latestMs = Math.min(maxMs, expectedMs + value(request) / 2 + minRetryMs);
    const retryAtMs = nowMs + expectedMs + (latestMs - expectedMs) * random.float();
    return { action: ScarcityAction.Refuse, retryAtMs };
  }

  /** Whether a waiting request may start now that another one of its service has ended. */
  mayStartNext(request: ScarcityRequest, nowMs: number): boolean {
    const state = this.#stateOf(request, nowMs);
    const waitMs = this.#endpointWaitMs(request.serviceName, request, nowMs);
    return waitMs === undefined || waitMs < (state.objectiveMs * targetWaitRatio) / 2;
  }

  /** Wait of a request that is sent now. */
  #endpointWaitMs(
    serviceName: string,
    { value }: ScarcityRequest,
    nowMs: number,
  ): number | undefined {
    const request = { serviceName, value, requestsAhead: 0 };
    const startAtMs = this.#options.estimator.earliestStartAtMs(request, nowMs);
    return startAtMs === undefined ? undefined : startAtMs - nowMs;
  }

  #stateOf({ serviceName, value }: ScarcityRequest, nowMs: number): ServiceState {
    let state = this.#services.get(serviceName);
    if (!state) {
      state = {
        fractions: new FairFractions(),
        comeRate: new CounterRate(rateSmoothingMs),
        endRate: new CounterRate(rateSmoothingMs),
        come: 0,
        ended: 0,
        fraction: 1,
        steppedAtMs: nowMs,
        objectiveMs: value.objectiveMs,
        objectiveUntilMs: nowMs + objectiveMemoryMs,
      };
      this.#services.set(serviceName, state);
    }
    if (value.objectiveMs <= state.objectiveMs || state.objectiveUntilMs <= nowMs) {
      state.objectiveMs = value.objectiveMs;
      state.objectiveUntilMs = nowMs + objectiveMemoryMs;
    }
    return state;
  }

  #step(state: ServiceState, waitMs: number | undefined, nowMs: number): void {
    const elapsedMs = nowMs - state.steppedAtMs;
    if (elapsedMs < stepMs) return;
    state.steppedAtMs = nowMs;
    state.fractions.forget(nowMs);
    state.comeRate.update(state.come, elapsedMs / 1_000);
    state.endRate.update(state.ended, elapsedMs / 1_000);
    const targetMs = state.objectiveMs * targetWaitRatio;
    const onset = (waitMs ?? 0) / targetMs / (1 - onsetRatio) - onsetRatio / (1 - onsetRatio);
    if (waitMs === undefined || onset <= 0) {
      state.fraction = 1;
      return;
    }
    const missingMs = targetMs - waitMs;
    const correction = Math.max(-maxCorrection, Math.min(maxCorrection, missingMs / correctionMs));
    const startsPerS = state.endRate.perS * (1 + correction);
    const fraction = startsPerS / Math.max(0.1, state.comeRate.perS) + increase;
    const limited = Math.max(minFraction, Math.min(1, fraction));
    state.fraction = 1 - Math.min(1, onset) * (1 - limited);
  }
}

function value({ value: { objectiveMs } }: ScarcityRequest): number {
  return objectiveMs;
}
