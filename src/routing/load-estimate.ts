import { WorkClass } from '../core/index.js';
import type { PrefixCacheIndex } from '../fleet/prefix-cache-index.js';
import type { EndpointView } from '../fleet/index.js';
import type { RecentSends } from './recent-sends.js';
import type { RouteRequest } from './route-request.js';

/** Assumptions for an endpoint that has not been observed. */
export interface EngineAssumptions {
  readonly tokenGapMs: number;
  readonly prefillTokensPerS: number;
  /** Age at which a load report has half its weight; about the delay of the reports. */
  readonly reportHalfLifeMs: number;
  /** Output tokens of a typical request, to estimate when a batch slot becomes free. */
  readonly outputTokens: number;
}

export const defaultAssumptions: EngineAssumptions = {
  tokenGapMs: 30,
  prefillTokensPerS: 8_000,
  reportHalfLifeMs: 1_000,
  outputTokens: 200,
};

/** Expected load and latency of a request at one endpoint. */
export interface LoadEstimate {
  /** Requests at the endpoint, including those of other daemons. */
  readonly requests: number;
  readonly uncachedTokens: number;
  readonly firstTokenMs: number;
  readonly tokenGapMs: number;
}

/**
 * A {@link LoadEstimate} that is overwritten for each candidate; an object per candidate would
 * dominate the cost of a decision.
 *
 * @internal
 */
export interface MutableLoadEstimate {
  requests: number;
  uncachedTokens: number;
  firstTokenMs: number;
  tokenGapMs: number;
}

/**
 * Requests of other daemons according to the newest report; undefined without a report.
 *
 * @param sentSinceReport - own requests that the report does not contain yet. Each would otherwise
 *   be subtracted from the requests of the other daemons.
 * @internal
 */
export function peerRequestsOf(view: EndpointView, sentSinceReport: number): number | undefined {
  if (!view.report) return undefined;
  const { runningRequests, queuedRequests } = view.report;
  const ownReported = Math.max(0, ownRequests(view) - sentSinceReport);
  return Math.max(0, runningRequests + queuedRequests - ownReported);
}

/** @internal The daemon's own requests at the endpoint. */
export function ownRequests(view: EndpointView): number {
  const { requests } = view.ownInFlight;
  return requests[WorkClass.Short] + requests[WorkClass.Medium] + requests[WorkClass.Long];
}

/**
 * Fills in the requests of other daemons for each view, NaN without a report.
 *
 * @returns the mean, towards which old reports decay: an endpoint whose reports stop must not look
 *   idle.
 * @internal
 */
export function fillPeerRequests(
  target: Float64Array,
  views: readonly EndpointView[],
  recentSends: RecentSends,
): number {
  let sum = 0;
  let count = 0;
  for (let index = 0; index < views.length; index++) {
    const view = views[index];
    const peerRequests = view && peerRequestsOf(view, recentSends.countSinceReport(view));
    target[index] = peerRequests ?? NaN;
    if (peerRequests === undefined) continue;
    sum += peerRequests;
    count += 1;
  }
  return count > 0 ? sum / count : 0;
}

/**
 * Estimates load and first-token time at an endpoint from the daemon's own requests, the report
 * discounted by its age, the cache index and the observed speed.
 *
 * @param target - overwritten with the estimate.
 * @param peerRequests - for the view, from {@link fillPeerRequests}; NaN without a report.
 * @param meanPeerRequests - from {@link fillPeerRequests}.
 * @internal
 */
export function estimateLoad(
  target: MutableLoadEstimate,
  view: EndpointView,
  request: RouteRequest,
  caches: PrefixCacheIndex,
  peerRequests: number,
  meanPeerRequests: number,
  nowMs: number,
  assumptions: EngineAssumptions,
): void {
  const reported = Number.isNaN(peerRequests) ? meanPeerRequests : peerRequests;
  const ageMs = view.report ? Math.max(0, nowMs - view.report.observedAtMs) : Infinity;
  const reportWeight = Math.exp((-Math.LN2 * ageMs) / assumptions.reportHalfLifeMs);
  const requests =
    ownRequests(view) + meanPeerRequests + (reported - meanPeerRequests) * reportWeight;

  const { speed } = view;
  const tokenGapMs = speed.tokenGapMs ?? assumptions.tokenGapMs * speed.slowdownRatio;
  const prefillTokensPerS =
    speed.prefillTokensPerS ?? assumptions.prefillTokensPerS / speed.slowdownRatio;
  const cachedTokens = caches.cachedTokens(view.id, request.prefix, nowMs);
  const uncachedTokens = Math.max(0, request.promptTokens - cachedTokens);
  const prefillMs = (uncachedTokens * 1_000 * (1 + requests / view.batchSlots)) / prefillTokensPerS;
  const excess = Math.max(0, requests + 1 - view.batchSlots);
  const slotMs = (tokenGapMs * assumptions.outputTokens) / view.batchSlots;
  target.requests = requests;
  target.uncachedTokens = uncachedTokens;
  target.firstTokenMs = excess * slotMs + prefillMs + tokenGapMs;
  target.tokenGapMs = tokenGapMs;
}
