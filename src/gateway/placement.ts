import { WorkClass, type Clock } from '../core/index.js';
import type { CacheView } from '../fleet/cache-view.js';
import type { EndpointRegistry, EndpointView, RegisteredEndpoints } from '../fleet/index.js';
import { promptPrefixOfParts, type PromptPrefix } from '../fleet/prompt-prefix.js';
import type { SpeedEstimator } from '../fleet/speed-estimator.js';
import type { Router, RouteRequest } from '../routing/index.js';
import type { AdmittedRequest } from './caller-exchange.js';
import { RequestKind } from './traffic-config.js';

/** Options of {@link Placement}. */
export interface PlacementOptions {
  readonly router: Router;
  readonly registry: EndpointRegistry;
  readonly endpoints: RegisteredEndpoints;
  readonly caches: CacheView;
  readonly speeds: SpeedEstimator;
  readonly clock: Clock;
}

/** Weights of a routing decision; the platform's configuration names none. */
const weights = { weight_cost: 0, weight_wait: 1, weight_tail: 1, weight_recompute: 1 };

/** Endpoints that a daemon considers; more than a deployment has in two years per service. */
const subsetSize = 1_000;

/** The highest number that an endpoint takes as a priority. */
const maxPriority = 9;

/** Chooses the endpoint of a request and remembers what is known of each choice. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #prefixes = new WeakMap<AdmittedRequest, PromptPrefix>();

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /** The endpoint for the next attempt; undefined when there is none. */
  choose(admitted: AdmittedRequest, triedIds: readonly string[]): EndpointView | undefined {
    const { router, registry, endpoints, clock } = this.#options;
    const views = registry.views(endpoints.serviceId(admitted.service.name));
    return router.choose(this.#routeRequest(admitted, triedIds), views, clock.nowMs()).endpoint;
  }

  /** Prompt tokens still to be processed. */
  pendingTokens(admitted: AdmittedRequest): number {
    return admitted.description.promptTokens ?? 0;
  }

  /** Priority for the endpoint: the workspace's rank, else the route's. */
  priorityOf(admitted: AdmittedRequest): number | undefined {
    if (admitted.route.kind !== RequestKind.Stream) return undefined;
    return Math.min(maxPriority, admitted.workspace?.rank ?? admitted.route.rank);
  }

  noteSent(view: EndpointView, admitted: AdmittedRequest): void {
    const { caches, speeds, clock } = this.#options;
    speeds.add(view.id, view.serviceId);
    const prefix = this.#prefixOf(admitted);
    if (prefix.length > 0) caches.noteSent(view.id, prefix, clock.nowMs());
  }

  noteProgress(view: EndpointView, events: number, elapsedMs: number): void {
    this.#options.speeds.observeTokens(view.id, events, elapsedMs, this.#options.clock.nowMs());
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
      objectiveBetweenTokensMs: Math.max(1, route.objectivePauseMs),
      spillOver: true,
      shortReserveRatio: 0,
      subsetSize,
      repeatable: route.kind === RequestKind.Idempotent,
      requiresFence: false,
      excludedEndpoints: triedIds,
    };
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
