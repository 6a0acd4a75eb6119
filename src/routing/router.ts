import { WorkClass, type Random } from '../core/index.js';
import type { CacheView } from '../fleet/cache-view.js';
import type { EndpointView } from '../fleet/index.js';
import type { SpeedEstimator } from '../fleet/speed-estimator.js';
import type { ExplainStore } from './explain-store.js';
import { Explanation } from './explanation.js';
import {
  defaultAssumptions,
  estimateLoad,
  meanReportedByOthers,
  type EngineAssumptions,
  type LoadEstimate,
} from './load-estimate.js';
import type { RouteFilter } from './route-filter.js';
import type { RouteRequest } from './route-request.js';
import type { RouteScorer } from './route-scorer.js';
import { standardFilters } from './standard-filters.js';
import { standardScorers } from './standard-scorers.js';
import { SubsetSelector } from './subset-selector.js';

/** Options of {@link Router}. */
export interface RouterOptions {
  /** Name of the daemon; decides its subset of endpoints. */
  readonly daemonId: string;
  readonly region: string;
  readonly random: Random;
  readonly caches: CacheView;
  /** Says which slow endpoints are due for a probe; without it, none are probed. */
  readonly speeds?: SpeedEstimator;
  /** Where explanations are kept; without it, they are only part of the decision. */
  readonly explanations?: ExplainStore;
  /** Default: {@link standardFilters}. */
  readonly filters?: readonly RouteFilter[];
  /** Default: {@link standardScorers}. */
  readonly scorers?: readonly RouteScorer[];
  readonly assumptions?: EngineAssumptions;
  /**
   * Score difference, as a share of the best score, at which a candidate is e times less likely.
   * 0 always takes the best, which makes daemons with the same reports herd.
   */
  readonly temperatureRatio?: number;
}

/** Result of {@link Router.choose}. */
export interface Decision {
  readonly requestId: string;
  /** Where to send the request; undefined when every endpoint is excluded. */
  readonly endpoint: EndpointView | undefined;
  /** Expectation for the chosen endpoint. */
  readonly load: LoadEstimate | undefined;
  /** Class to name to the engine: aged long work is promoted to meet its deadline. */
  readonly engineClass: WorkClass;
  readonly isProbe: boolean;
  readonly explanation: Explanation;
}

/**
 * Chooses the endpoint of a request: filters, then scorers, then a random draw among the near-best.
 * The draw keeps daemons that see the same late reports from all choosing the same endpoint. A
 * decision is a function of the arguments, the views of caches and speeds, and the random source.
 *
 * @example
 * ```ts
 * const router = new Router({ daemonId: 'entry-1', region: 'litoral', random, caches });
 * const { endpoint, engineClass } = router.choose(request, views, clock.nowMs());
 * ```
 */
export class Router {
  readonly #random: Random;
  readonly #caches: CacheView;
  readonly #speeds: SpeedEstimator | undefined;
  readonly #explanations: ExplainStore | undefined;
  readonly #filters: readonly RouteFilter[];
  readonly #scorers: readonly RouteScorer[];
  readonly #scorerNames: readonly string[];
  readonly #assumptions: EngineAssumptions;
  readonly #temperatureRatio: number;
  readonly #daemonId: string;
  readonly #subsets = new Map<string, SubsetSelector>();

  constructor(options: RouterOptions) {
    this.#random = options.random;
    this.#caches = options.caches;
    this.#speeds = options.speeds;
    this.#explanations = options.explanations;
    this.#filters = options.filters ?? standardFilters(options.region);
    this.#scorers = options.scorers ?? standardScorers(options.region);
    this.#scorerNames = this.#scorers.map(({ name }) => name);
    this.#assumptions = options.assumptions ?? defaultAssumptions;
    this.#temperatureRatio = options.temperatureRatio ?? 0.1;
    this.#daemonId = options.daemonId;
  }

  /**
   * Chooses an endpoint.
   *
   * @param allViews - endpoints of the request's service, always in the same order.
   * @param nowMs - time of the decision, in epoch milliseconds.
   */
  choose(request: RouteRequest, allViews: readonly EndpointView[], nowMs: number): Decision {
    const views = this.#subset(request).select(allViews, request.subsetSize);
    const count = views.length;
    const width = this.#scorers.length;
    const exclusions = new Array<string | undefined>(count);
    const scoresUsd = new Float64Array(count * width);
    const totals = new Float64Array(count);
    const probabilities = new Float64Array(count);
    const loads = new Array<LoadEstimate>(count);
    const preferenceMisses = new Array<string | undefined>(count);
    const meanOthers = meanReportedByOthers(views);

    let bestUsd = Infinity;
    let bestRelaxedUsd = Infinity;
    for (let index = 0; index < count; index++) {
      const view = views[index];
      if (!view) continue;
      const load = estimateLoad(view, request, this.#caches, meanOthers, nowMs, this.#assumptions);
      loads[index] = load;
      const excluded = this.#firstExclusion(view, request, load, nowMs);
      if (excluded && !excluded.isPreference) {
        exclusions[index] = excluded.reason;
        continue;
      }
      let totalUsd = 0;
      for (let column = 0; column < width; column++) {
        const score = this.#scorers[column]?.scoreUsd(view, request, load) ?? 0;
        scoresUsd[index * width + column] = score;
        totalUsd += score;
      }
      totals[index] = totalUsd;
      if (excluded) {
        preferenceMisses[index] = excluded.reason;
        bestRelaxedUsd = Math.min(bestRelaxedUsd, totalUsd);
      } else {
        bestUsd = Math.min(bestUsd, totalUsd);
      }
    }

    const relaxed: string[] = [];
    if (bestUsd === Infinity) {
      bestUsd = bestRelaxedUsd;
      for (const reason of new Set(preferenceMisses)) if (reason) relaxed.push(reason);
    } else {
      for (let index = 0; index < count; index++) exclusions[index] ??= preferenceMisses[index];
    }

    const probeIndex = this.#dueProbe(request, views, exclusions, nowMs);
    const chosenIndex = probeIndex ?? this.#draw(exclusions, totals, bestUsd, probabilities);
    const endpoint = chosenIndex === undefined ? undefined : views[chosenIndex];
    if (probeIndex !== undefined && endpoint) this.#speeds?.noteProbe(endpoint.id, nowMs);
    const explanation = new Explanation({
      requestId: request.requestId,
      workspaceId: request.workspaceId,
      serviceId: request.serviceId,
      atMs: nowMs,
      views,
      exclusions,
      scorerNames: this.#scorerNames,
      scoresUsd,
      probabilities,
      chosenIndex,
      relaxed,
      isProbe: probeIndex !== undefined,
    });
    this.#explanations?.add(explanation);
    const load = chosenIndex === undefined ? undefined : loads[chosenIndex];
    return {
      requestId: request.requestId,
      endpoint,
      load,
      engineClass: agedClass(request, load, nowMs),
      isProbe: probeIndex !== undefined,
      explanation,
    };
  }

  #subset({ serviceId }: RouteRequest): SubsetSelector {
    let selector = this.#subsets.get(serviceId);
    if (!selector) {
      selector = new SubsetSelector(this.#daemonId);
      this.#subsets.set(serviceId, selector);
    }
    return selector;
  }

  /** The first requirement that excludes the endpoint, else the first preference it misses. */
  #firstExclusion(
    view: EndpointView,
    request: RouteRequest,
    load: LoadEstimate,
    nowMs: number,
  ): RouteFilter | undefined {
    let preference: RouteFilter | undefined;
    for (const filter of this.#filters) {
      if (filter.admits(view, request, load, nowMs)) continue;
      if (!filter.isPreference) return filter;
      preference ??= filter;
    }
    return preference;
  }

  #dueProbe(
    request: RouteRequest,
    views: readonly EndpointView[],
    exclusions: readonly (string | undefined)[],
    nowMs: number,
  ): number | undefined {
    if (!this.#speeds || !request.repeatable) return undefined;
    for (const [index, { id, speed }] of views.entries()) {
      if (speed.slowdownRatio <= 1 || exclusions[index] !== undefined) continue;
      if (this.#speeds.isProbeDue(id, nowMs)) return index;
    }
    return undefined;
  }

  /** Draws an index by softmax of the scores and fills in the probabilities. */
  #draw(
    exclusions: readonly (string | undefined)[],
    totals: Float64Array,
    bestUsd: number,
    probabilities: Float64Array,
  ): number | undefined {
    if (bestUsd === Infinity) return undefined;
    const scaleUsd = Math.max(Math.abs(bestUsd) * this.#temperatureRatio, Number.MIN_VALUE);
    let sum = 0;
    for (let index = 0; index < totals.length; index++) {
      if (exclusions[index] !== undefined) continue;
      const weight = Math.exp(-((totals[index] ?? 0) - bestUsd) / scaleUsd);
      probabilities[index] = weight;
      sum += weight;
    }
    let remaining = this.#random.float() * sum;
    let chosen: number | undefined;
    for (let index = 0; index < totals.length; index++) {
      const weight = probabilities[index] ?? 0;
      if (weight === 0) continue;
      probabilities[index] = weight / sum;
      if (remaining >= 0) chosen = index;
      remaining -= weight;
    }
    return chosen;
  }
}

/**
 * Promotes long work whose slack is running out, since engines serve classes by priority and would
 * otherwise let short work overtake it past its deadline.
 */
function agedClass(
  request: RouteRequest,
  load: LoadEstimate | undefined,
  nowMs: number,
): WorkClass {
  if (!load || request.workClass === WorkClass.Short) return request.workClass;
  const neededMs = load.firstTokenMs + request.expectedOutputTokens * load.tokenGapMs;
  const slackMs = request.deadlineAtMs - nowMs;
  if (slackMs < neededMs * 1.5) return WorkClass.Short;
  if (slackMs < neededMs * 3) return WorkClass.Medium;
  return request.workClass;
}
