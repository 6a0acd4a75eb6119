import type { RateMeter } from '../capacity/rate-meter.js';
import { WorkClass, type Clock } from '../core/index.js';
import {
  EndpointState,
  isLeaving,
  type EndpointView,
  type RegisteredEndpoints,
} from '../fleet/index.js';
import { promptPrefixOfParts, sharedPartsOf, type PromptPrefix } from '../fleet/prompt-prefix.js';
import { weightedTokens } from '../fleet/prefill-backlog.js';
import type { PrefillReport } from '../membership/broadcast-message.js';
import type { RequestHistory } from '../rollout/rollout-exposure.js';
import type { Rollouts } from '../rollout/rollouts.js';
import type {
  ExplainedCandidate,
  Router,
  RouteRequest,
  SharedPrompt,
  VersionConstraint,
} from '../routing/index.js';
import type { AdmittedRequest } from './caller-exchange.js';
import type { EndpointKnowledge } from './endpoint-knowledge.js';
import type { ReportedLoad } from './request-codec.js';
import { RequestKind } from './traffic-config.js';

/** Options of {@link Placement}. */
export interface PlacementOptions {
  readonly known: EndpointKnowledge;
  readonly endpoints: RegisteredEndpoints;
  /** Rate of uncached prompt tokens sent, by service. */
  readonly demand: RateMeter;
  /** Called for each long prompt that is sent. */
  readonly broadcastPrefill: (report: PrefillReport) => void;
  /** Undefined where the platform does not order rollouts. */
  readonly rollouts?: Rollouts | undefined;
  readonly clock: Clock;
}

/** Where a request would go. */
export interface PlacementExplanation {
  /** Whether endpoints are compared by their remaining work rather than by request counts. */
  readonly isByWork: boolean;
  readonly candidates: readonly ExplainedCandidate[];
  /** Reasons of preferences that were dropped because no endpoint met them. */
  readonly relaxed: readonly string[];
  /** Earliest expected start in epoch milliseconds; undefined when it is not known. */
  readonly earliestStartAtMs: number | undefined;
}

/**
 * Weights of a routing decision; the platform's configuration has none. A late response loses most
 * of its value; recomputing one cached token costs about a ten-thousandth of it.
 */
const weights = { weight_cost: 0, weight_wait: 1, weight_tail: 1, weight_recompute: 0.03 };

/**
 * Prompts of at least this length delay other requests enough to report them to the other daemons.
 */
const longPromptTokens = 2_048;

/** Endpoints considered per service; above the size that a deployment reaches within two years. */
const subsetSize = 1_000;

/** Highest priority value that endpoints accept. */
const maxPriority = 9;

/**
 * Chooses the endpoint of a request and records the load and speed that follow from each choice.
 */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #prefixes = new WeakMap<AdmittedRequest, PromptPrefix>();
  readonly #histories = new WeakMap<AdmittedRequest, RequestHistory>();

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /** Chooses the endpoint for the next attempt; undefined when none is available. */
  choose(admitted: AdmittedRequest, triedIds: readonly string[]): EndpointView | undefined {
    const { router, views } = this.#candidates(admitted);
    const request = this.#routeRequest(admitted, triedIds);
    return router.choose(request, views, this.#options.clock.nowMs()).endpoint;
  }

  /** Explains where the request would go now, without recording a decision. */
  explain(admitted: AdmittedRequest): PlacementExplanation {
    const { router, views, isByWork } = this.#candidates(admitted);
    const nowMs = this.#options.clock.nowMs();
    const explanation = router.explain(this.#routeRequest(admitted, []), views, nowMs);
    return {
      isByWork,
      candidates: explanation.candidates(),
      relaxed: explanation.relaxed,
      earliestStartAtMs: this.earliestStartAtMs(admitted),
    };
  }

  /** Whether an endpoint is known that could take the request now. */
  isAvailable(admitted: AdmittedRequest, triedIds: readonly string[]): boolean {
    const { known, endpoints, clock } = this.#options;
    const nowMs = clock.nowMs();
    const versions = this.#versionsOf(admitted);
    return known.registry
      .views(endpoints.serviceId(admitted.service.name))
      .some(
        (view) =>
          mayServe(view) &&
          (versions?.admits(view) ?? true) &&
          view.circuitOpenUntilMs <= nowMs &&
          known.pauses.nextTryAtMs(view.id, nowMs) === undefined &&
          !triedIds.includes(view.id),
      );
  }

  /**
   * Earliest time at which an endpoint that pauses now may take the request, in epoch milliseconds;
   * undefined if none of its service pauses.
   */
  nextTryAtMs(admitted: AdmittedRequest): number | undefined {
    const { known, endpoints, clock } = this.#options;
    const nowMs = clock.nowMs();
    const views = known.registry.views(endpoints.serviceId(admitted.service.name));
    const versions = this.#versionsOf(admitted);
    const triesAtMs = views
      .filter(mayServe)
      .filter((view) => versions?.admits(view) ?? true)
      .flatMap(({ id }) => known.pauses.nextTryAtMs(id, nowMs) ?? []);
    return triesAtMs.length === 0 ? undefined : Math.min(...triesAtMs);
  }

  /** Whether an endpoint is registered and not leaving. */
  isStaying(endpointId: string): boolean {
    const view = this.#options.known.registry.view(endpointId);
    return view !== undefined && !isLeaving(view);
  }

  /** Whether an endpoint that was chosen still takes new requests. */
  mayTake(endpointId: string): boolean {
    const { known, clock } = this.#options;
    return this.isStaying(endpointId) && !known.pauses.isPaused(endpointId, clock.nowMs());
  }

  /** Prompt tokens that the endpoint has to process. */
  pendingTokens(admitted: AdmittedRequest): number {
    return admitted.description.promptTokens ?? 0;
  }

  /**
   * Priority to send to the endpoint: the workspace's, else the route's. Undefined unless the
   * request is a stream.
   */
  priorityOf(admitted: AdmittedRequest): number | undefined {
    if (admitted.route.kind !== RequestKind.Stream) return undefined;
    return Math.min(maxPriority, admitted.workspace?.priority ?? admitted.route.priority);
  }

  /** Records that a request is sent to an endpoint. */
  recordSent(view: EndpointView, admitted: AdmittedRequest): void {
    const { known, demand, broadcastPrefill, clock, rollouts } = this.#options;
    if (rollouts?.runningTo(admitted.service.name) !== view.version)
      this.#historyOf(admitted).hasTriedOld = true;
    const { caches, speeds, backlog } = known;
    speeds.add(view.id, view.serviceId);
    const { promptTokens = 0 } = admitted.description;
    if (promptTokens === 0) {
      known.work.sent(view, admitted, 0);
      return;
    }
    const nowMs = clock.nowMs();
    const prefix = this.#prefixOf(admitted);
    const uncachedTokens = promptTokens - caches.cachedTokens(view.id, prefix, nowMs);
    const tokens = weightedTokens(Math.max(0, uncachedTokens));
    known.work.sent(view, admitted, tokens);
    backlog.add(view.id, tokens, nowMs);
    demand.record(view.serviceId, tokens, nowMs);
    if (tokens >= longPromptTokens) broadcastPrefill({ endpointId: view.id, tokens });
    if (prefix.length > 0) caches.recordSent(view.id, prefix, nowMs);
  }

  /**
   * Records the load that an endpoint reports.
   *
   * @param ageMs - age of the report when it was received; 0 for one in a response.
   */
  recordReport(view: EndpointView, load: ReportedLoad, ageMs = 0): void {
    this.#options.known.work.reported(view, load, ageMs);
  }

  /** Records the time from sending a prompt to its first events. */
  recordFirstEvent(
    view: EndpointView,
    admitted: AdmittedRequest,
    elapsedMs: number,
    events = 1,
  ): void {
    this.#options.known.work.began(view, admitted, events);
    if (this.#options.rollouts) this.#historyOf(admitted).streamVersion ??= view.version;
    const { promptTokens = 0 } = admitted.description;
    const lastPartTokens = admitted.description.promptParts.at(-1)?.tokens ?? promptTokens;
    const ownTokens = Math.min(lastPartTokens, promptTokens);
    // Short prompts measure the fixed cost of an engine step rather than the prefill speed.
    if (ownTokens < longPromptTokens || elapsedMs <= 0) return;
    this.#options.known.backlog.observeSpeed(weightedTokens(ownTokens) / elapsedMs);
    this.#options.known.speeds.observeFirstToken(view.id, ownTokens, elapsedMs);
  }

  /** Records further events of a stream, received `elapsedMs` after the previous data. */
  recordProgress(
    view: EndpointView,
    events: number,
    elapsedMs: number,
    admitted: AdmittedRequest,
  ): void {
    this.#options.known.work.progressed(view, admitted, events, elapsedMs);
    this.#options.known.speeds.observeTokens(
      view.id,
      events,
      elapsedMs,
      this.#options.clock.nowMs(),
    );
  }

  /**
   * Records the end of an attempt.
   *
   * @param isComplete - whether its response was received as a whole.
   */
  recordEnded(view: EndpointView, admitted: AdmittedRequest, isComplete: boolean): void {
    this.#options.known.work.ended(view, admitted, isComplete);
  }

  /**
   * Earliest time at which the request would start at an endpoint, by the work that each has to do,
   * in epoch milliseconds; undefined when that is not known.
   */
  earliestStartAtMs(admitted: AdmittedRequest): number | undefined {
    const { known, endpoints } = this.#options;
    const views = known.registry.views(endpoints.serviceId(admitted.service.name));
    return known.work.earliestStartAtMs(views.filter(mayServe));
  }

  #candidates(admitted: AdmittedRequest): {
    router: Router;
    views: readonly EndpointView[];
    isByWork: boolean;
  } {
    const { known, endpoints } = this.#options;
    const { registry, promptAffinity, work } = known;
    const serviceId = endpoints.serviceId(admitted.service.name);
    const isByWork = work.isActive(serviceId, admitted);
    const views = registry.views(serviceId);
    if (admitted.route.hasPrompt) {
      const own = views.filter((view) => this.#countsAsCapacity(admitted, view));
      promptAffinity.setEndpoints(serviceId, liveIds(own));
    }
    return { router: isByWork ? known.workRouter : known.router, views, isByWork };
  }

  #routeRequest(admitted: AdmittedRequest, triedIds: readonly string[]): RouteRequest {
    const { endpoints } = this.#options;
    const { route, service, description, workspace, deadlineAtMs } = admitted;
    return {
      requestId: description.requestId,
      workspaceId: workspace?.name ?? '',
      serviceId: endpoints.serviceId(service.name),
      model: '',
      workClass: WorkClass.Short,
      promptTokens: description.promptTokens ?? 0,
      expectedOutputTokens: description.maxOutputTokens,
      prefix: this.#prefixOf(admitted),
      deadlineAtMs,
      weights,
      objectiveFirstTokenMs: route.objectiveMs,
      objectiveBetweenTokensMs: Math.max(1, route.objectiveBetweenEventsMs),
      spillOver: true,
      shortReserveRatio: 0,
      subsetSize,
      repeatable: route.kind === RequestKind.Idempotent,
      requiresFence: false,
      excludedEndpoints: triedIds,
      sharedPrompt: sharedPromptOf(admitted),
      work: this.#options.known.work.routeWork(admitted),
      versions: this.#versionsOf(admitted),
    };
  }

  #versionsOf(admitted: AdmittedRequest): VersionConstraint | undefined {
    const { rollouts } = this.#options;
    if (!rollouts) return undefined;
    const { route, service, description } = admitted;
    return rollouts.constraint({
      serviceName: service.name,
      requestId: description.requestId,
      isAtMostOnce: route.kind === RequestKind.AtMostOnce,
      isIdempotent: route.kind === RequestKind.Idempotent,
      isResumed: description.lastEventId !== undefined,
      history: this.#historyOf(admitted),
    });
  }

  #historyOf(admitted: AdmittedRequest): RequestHistory {
    let history = this.#histories.get(admitted);
    if (!history) {
      history = { hasTriedOld: false, streamVersion: undefined };
      this.#histories.set(admitted, history);
    }
    return history;
  }

  #countsAsCapacity({ service }: AdmittedRequest, view: EndpointView): boolean {
    return this.#options.rollouts?.countsAsCapacity(service.name, view.version) ?? true;
  }

  #prefixOf(admitted: AdmittedRequest): PromptPrefix {
    let prefix = this.#prefixes.get(admitted);
    if (!prefix) {
      prefix = promptPrefixOfParts(admitted.description.promptParts);
      this.#prefixes.set(admitted, prefix);
    }
    return prefix;
  }
}

function sharedPromptOf({ description }: AdmittedRequest): SharedPrompt | undefined {
  const shared = sharedPartsOf(description.promptParts);
  const last = shared.at(-1);
  if (!last) return undefined;
  return { key: last.id, tokens: shared.reduce((sum, { tokens }) => sum + tokens, 0) };
}

/** Whether an endpoint may get requests, now or after a pause. */
function mayServe(view: EndpointView): boolean {
  return view.state === EndpointState.Live && !isLeaving(view);
}

function liveIds(views: readonly EndpointView[]): string[] {
  return views.filter(({ state }) => state === EndpointState.Live).map(({ id }) => id);
}
