import { WorkClass, type Random } from '../core/index.js';
import type { PrefixCacheIndex } from '../fleet/prefix-cache-index.js';
import type { EndpointView } from '../fleet/index.js';
import type { SpeedEstimator } from '../fleet/speed-estimator.js';
import { RelativeSpread, type DrawSpread } from './draw-spread.js';
import type { ExplanationStore } from './explanation-store.js';
import { Explanation, loadFieldCount, readLoad, writeLoad } from './explanation.js';
import {
  defaultAssumptions,
  estimateLoad,
  fillPeerRequests,
  ownRequests,
  type EngineAssumptions,
  type LoadEstimate,
} from './load-estimate.js';
import { RecentSends } from './recent-sends.js';
import type { RouteFilter } from './route-filter.js';
import type { RouteRequest } from './route-request.js';
import type { RouteScorer } from './route-scorer.js';
import { standardFilters } from './standard-filters.js';
import { standardScorers } from './standard-scorers.js';
import { SubsetSelector } from './subset-selector.js';

/** Minimum decisions per probe, so that probes are a small fraction of the requests. */
const decisionsPerProbe = 25;

/** Options of {@link Router}. */
export interface RouterOptions {
  /** Name of the daemon; determines its subset of endpoints. */
  readonly daemonId: string;
  readonly region: string;
  readonly random: Random;
  readonly caches: PrefixCacheIndex;
  /** Determines which slow endpoints are due for a probe; without it, none are probed. */
  readonly speeds?: SpeedEstimator;
  /** Stores the explanations; without it, they are only part of the decision. */
  readonly explanations?: ExplanationStore;
  /** Default: {@link standardFilters}. */
  readonly filters?: readonly RouteFilter[];
  /** Default: {@link standardScorers}. */
  readonly scorers?: readonly RouteScorer[];
  readonly assumptions?: EngineAssumptions;
  /**
   * Score difference, as a fraction of the best score, at which a candidate is e times less likely.
   * 0 always chooses the best candidate, which makes daemons with the same reports herd.
   */
  readonly temperatureRatio?: number;
  /** Width of the draw; default: {@link RelativeSpread} of `temperatureRatio`. */
  readonly drawSpread?: DrawSpread;
  /** Sends of this daemon, if another router also chooses among the endpoints. */
  readonly recentSends?: RecentSends;
}

/** All candidates of a decision with their scores. */
interface Evaluation {
  readonly request: RouteRequest;
  readonly nowMs: number;
  readonly views: readonly EndpointView[];
  readonly loads: Float64Array;
  /** Overwritten by the next evaluation; Infinity for excluded endpoints. */
  readonly totals: Float64Array;
  readonly filters: readonly RouteFilter[];
  readonly bestUsd: number;
  readonly scaleUsd: number;
  readonly isRelaxed: boolean;
}

/** Result of {@link Router.choose}. */
export interface Decision {
  readonly requestId: string;
  /** Where to send the request; undefined when every endpoint is excluded. */
  readonly endpoint: EndpointView | undefined;
  /** Expectation for the chosen endpoint. */
  readonly load: LoadEstimate | undefined;
  /** Class to send to the engine: long work with little slack is promoted to meet its deadline. */
  readonly engineClass: WorkClass;
  /**
   * Whether the request tests if a slow endpoint has recovered. Send a second copy to another
   * endpoint at once, so that the caller does not wait for the slow one.
   */
  readonly isProbe: boolean;
  readonly explanation: Explanation;
}

/**
 * Chooses the endpoint of a request: filters, then scorers, then a random draw among the near-best
 * candidates. The draw prevents daemons that see the same delayed reports from all choosing the
 * same endpoint. A decision is a function of the arguments, the cache and speed estimates, and the
 * random source.
 *
 * @example
 * ```ts
 * const router = new Router({ daemonId: 'entry-1', region: 'litoral', random, caches });
 * const { endpoint, engineClass } = router.choose(request, views, clock.nowMs());
 * ```
 */
export class Router {
  readonly #random: Random;
  readonly #caches: PrefixCacheIndex;
  readonly #speeds: SpeedEstimator | undefined;
  readonly #explanations: ExplanationStore | undefined;
  readonly #filters: readonly RouteFilter[];
  readonly #scorers: readonly RouteScorer[];
  readonly #assumptions: EngineAssumptions;
  readonly #drawSpread: DrawSpread;
  readonly #daemonId: string;
  readonly #subsets = new Map<string, SubsetSelector>();
  readonly #recentSends: RecentSends;
  #decisionsSinceProbe = 0;
  /** Scores and peer requests of the current decision, reused to save allocations. */
  #totals = new Float64Array(0);
  #peerRequests = new Float64Array(0);

  constructor(options: RouterOptions) {
    this.#random = options.random;
    this.#caches = options.caches;
    this.#speeds = options.speeds;
    this.#explanations = options.explanations;
    this.#filters = options.filters ?? standardFilters(options.region);
    this.#scorers = options.scorers ?? standardScorers(options.region);
    this.#assumptions = options.assumptions ?? defaultAssumptions;
    this.#drawSpread = options.drawSpread ?? new RelativeSpread(options.temperatureRatio ?? 0.05);
    this.#recentSends = options.recentSends ?? new RecentSends();
    this.#daemonId = options.daemonId;
  }

  /**
   * Chooses an endpoint.
   *
   * @param allViews - endpoints of the request's service, always in the same order.
   * @param nowMs - time of the decision, in epoch milliseconds.
   */
  choose(request: RouteRequest, allViews: readonly EndpointView[], nowMs: number): Decision {
    const evaluation = this.#evaluate(request, allViews, nowMs);
    const { views, totals, loads, bestUsd, scaleUsd } = evaluation;
    const probeIndex = this.#dueProbeIndex(request, views, totals, nowMs);
    const chosenIndex = probeIndex ?? this.#draw(views.length, totals, bestUsd, scaleUsd);
    const endpoint = chosenIndex === undefined ? undefined : views[chosenIndex];
    if (probeIndex !== undefined && endpoint) this.#speeds?.recordProbe(endpoint.id, nowMs);
    if (endpoint) this.#recentSends.add(endpoint.id, nowMs);
    const load = { requests: 0, uncachedTokens: 0, firstTokenMs: 0, tokenGapMs: 0 };
    if (chosenIndex !== undefined) readLoad(load, loads, chosenIndex);
    const explanation = this.#explanation(evaluation, chosenIndex, probeIndex !== undefined);
    this.#explanations?.add(explanation);
    return {
      requestId: request.requestId,
      endpoint,
      load: endpoint && load,
      engineClass: endpoint ? agedClass(request, load, nowMs) : request.workClass,
      isProbe: probeIndex !== undefined,
      explanation,
    };
  }

  /**
   * Explains how an endpoint would be chosen now, without choosing one: no random number is drawn and
   * nothing is recorded.
   */
  explain(request: RouteRequest, allViews: readonly EndpointView[], nowMs: number): Explanation {
    return this.#explanation(this.#evaluate(request, allViews, nowMs), undefined, false);
  }

  #evaluate(request: RouteRequest, allViews: readonly EndpointView[], nowMs: number): Evaluation {
    const views = this.#subset(request).select(allViews, request.subsetSize);
    const count = views.length;
    if (this.#totals.length < count) {
      this.#totals = new Float64Array(count * 2);
      this.#peerRequests = new Float64Array(count * 2);
    }
    const totals = this.#totals;
    const peerRequests = this.#peerRequests;
    const loads = new Float64Array(count * loadFieldCount);
    const load = { requests: 0, uncachedTokens: 0, firstTokenMs: 0, tokenGapMs: 0 };
    const meanPeerRequests = fillPeerRequests(peerRequests, views, this.#recentSends);
    const preferenceMisses: number[] = [];
    const filters = this.#filters.filter((filter) => !filter.isIdle());

    let bestUsd = Infinity;
    for (let index = 0; index < count; index++) {
      const view = views[index];
      if (!view) continue;
      estimateLoad(
        load,
        view,
        request,
        this.#caches,
        peerRequests[index] ?? NaN,
        meanPeerRequests,
        nowMs,
        this.#assumptions,
      );
      writeLoad(loads, index, load);
      const excluding = firstExclusion(filters, view, request, load, nowMs);
      if (excluding) {
        totals[index] = Infinity;
        if (excluding.isPreference) preferenceMisses.push(index);
      } else {
        const totalUsd = this.#total(view, request, load);
        totals[index] = totalUsd;
        bestUsd = Math.min(bestUsd, totalUsd);
      }
    }
    const isRelaxed = bestUsd === Infinity && preferenceMisses.length > 0;
    if (isRelaxed) {
      for (const index of preferenceMisses) {
        const view = views[index];
        if (!view) continue;
        readLoad(load, loads, index);
        const totalUsd = this.#total(view, request, load);
        totals[index] = totalUsd;
        bestUsd = Math.min(bestUsd, totalUsd);
      }
    }
    const scaleUsd = this.#drawSpread.scaleUsd({
      request,
      views,
      bestUsd,
      meanPeerRequests,
      nowMs,
    });
    return { request, nowMs, views, loads, totals, filters, bestUsd, scaleUsd, isRelaxed };
  }

  #explanation(
    { request, nowMs, views, loads, filters, isRelaxed, scaleUsd }: Evaluation,
    chosenIndex: number | undefined,
    isProbe: boolean,
  ): Explanation {
    return new Explanation({
      request,
      atMs: nowMs,
      views,
      loads,
      filters,
      scorers: this.#scorers,
      isRelaxed,
      scaleUsd,
      chosenIndex,
      isProbe,
    });
  }

  #total(view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    let totalUsd = 0;
    for (const scorer of this.#scorers) totalUsd += scorer.scoreUsd(view, request, load);
    return totalUsd;
  }

  #subset({ serviceId }: RouteRequest): SubsetSelector {
    let selector = this.#subsets.get(serviceId);
    if (!selector) {
      selector = new SubsetSelector(this.#daemonId);
      this.#subsets.set(serviceId, selector);
    }
    return selector;
  }

  #dueProbeIndex(
    request: RouteRequest,
    views: readonly EndpointView[],
    totals: Float64Array,
    nowMs: number,
  ): number | undefined {
    if (!this.#speeds || !request.repeatable || request.excludedEndpoints.length > 0) {
      return undefined;
    }
    this.#decisionsSinceProbe += 1;
    if (this.#decisionsSinceProbe < decisionsPerProbe) return undefined;
    for (let index = 0; index < views.length; index++) {
      const view = views[index];
      if (!view || view.speed.slowdownRatio <= 1 || totals[index] === Infinity) continue;
      // Open streams at the endpoint show a recovery without a probe.
      if (ownRequests(view) > 0 || !this.#speeds.isProbeDue(view.id, nowMs)) continue;
      this.#decisionsSinceProbe = 0;
      return index;
    }
    return undefined;
  }

  /** Draws an index with softmax probabilities; lower scores are more likely. */
  #draw(
    count: number,
    totals: Float64Array,
    bestUsd: number,
    scaleUsd: number,
  ): number | undefined {
    if (bestUsd === Infinity) return undefined;
    let sum = 0;
    for (let index = 0; index < count; index++) {
      const weight = Math.exp(-((totals[index] ?? 0) - bestUsd) / scaleUsd);
      totals[index] = weight;
      sum += weight;
    }
    let remaining = this.#random.float() * sum;
    let chosen: number | undefined;
    for (let index = 0; index < count; index++) {
      const weight = totals[index] ?? 0;
      if (weight === 0) continue;
      if (remaining >= 0) chosen = index;
      remaining -= weight;
    }
    return chosen;
  }
}

/**
 * Promotes longer work whose slack is running out. Engines serve classes by priority, so that short
 * work could otherwise delay it past its deadline.
 */
function agedClass(request: RouteRequest, load: LoadEstimate, nowMs: number): WorkClass {
  if (request.workClass === WorkClass.Short) return request.workClass;
  const neededMs = load.firstTokenMs + request.expectedOutputTokens * load.tokenGapMs;
  const slackMs = request.deadlineAtMs - nowMs;
  if (slackMs < neededMs * 1.5) return WorkClass.Short;
  if (slackMs < neededMs * 3) return WorkClass.Medium;
  return request.workClass;
}

/** The first requirement that excludes the endpoint, else the first preference that does. */
function firstExclusion(
  filters: readonly RouteFilter[],
  view: EndpointView,
  request: RouteRequest,
  load: LoadEstimate,
  nowMs: number,
): RouteFilter | undefined {
  let preference: RouteFilter | undefined;
  for (const filter of filters) {
    if (filter.admits(view, request, load, nowMs)) continue;
    if (!filter.isPreference) return filter;
    preference ??= filter;
  }
  return preference;
}
