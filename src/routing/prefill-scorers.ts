import { rendezvousOrder, type Clock } from '../core/index.js';
import type { EndpointView } from '../fleet/index.js';
import { weightedTokens, type PrefillBacklog } from '../fleet/prefill-backlog.js';
import type { LoadEstimate } from './load-estimate.js';
import type { RouteRequest } from './route-request.js';
import { RouteScorer } from './route-scorer.js';
import { defaultPrices } from './standard-scorers.js';

/** Upper bound of a risk. Risks above 1 add no chance of a miss but still rank bad endpoints. */
const maxRisk = 4;

/**
 * Risk of missing the objectives because of prompts that the endpoint has yet to process. They
 * delay the first token, and they lengthen the gaps between later tokens until they are processed.
 */
export class PrefillQueueScorer extends RouteScorer {
  override readonly name = 'prefill queue';
  readonly #backlog: PrefillBacklog;
  readonly #clock: Clock;

  constructor(backlog: PrefillBacklog, clock: Clock) {
    super();
    this.#backlog = backlog;
    this.#clock = clock;
  }

  override scoreUsd(view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    if (request.promptTokens === 0) return 0;
    const queueMs = this.#backlog.waitMs(view.id, this.#clock.nowMs());
    const prefillMs = weightedTokens(load.uncachedTokens) / this.#backlog.tokensPerMs;
    const firstTokenRatio = (queueMs + prefillMs) / request.objectiveFirstTokenMs;
    const tokenGapRatio = queueMs / request.objectiveBetweenTokensMs;
    const risk =
      Math.min(maxRisk, firstTokenRatio * firstTokenRatio) +
      Math.min(maxRisk, tokenGapRatio * tokenGapRatio);
    return request.weights.weight_tail * risk * defaultPrices.usdPerMiss;
  }
}

/**
 * Risk that the prefill of a prompt delays the streams that already run at the endpoint. It directs
 * long prompts to endpoints with few running requests.
 */
export class PrefillInterferenceScorer extends RouteScorer {
  override readonly name = 'disturbance';
  readonly #backlog: PrefillBacklog;

  constructor(backlog: PrefillBacklog) {
    super();
    this.#backlog = backlog;
  }

  override scoreUsd(_view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    const tokenGapRatio =
      weightedTokens(load.uncachedTokens) /
      this.#backlog.tokensPerMs /
      request.objectiveBetweenTokensMs;
    const risk = Math.min(1, tokenGapRatio * tokenGapRatio);
    return request.weights.weight_tail * risk * load.requests * defaultPrices.usdPerMiss;
  }
}

/** Preferred endpoints of a shared prompt: two, so that the less loaded one can be chosen. */
const endpointsPerPrompt = 2;

/** Shared prompts whose preferred endpoints are cached; a full cache is cleared. */
const maxCachedPrompts = 4_096;

/**
 * Prefers the same few endpoints for prompts with a common prefix, because other endpoints would
 * have to process the prefix again. Rendezvous hashing gives each daemon the same endpoints without
 * communication.
 */
export class PromptAffinityScorer extends RouteScorer {
  override readonly name = 'prompt home';
  readonly #services = new Map<string, ServiceAffinity>();

  override scoreUsd(view: EndpointView, request: RouteRequest): number {
    const { sharedPrompt } = request;
    const affinity = this.#services.get(request.serviceId);
    if (!sharedPrompt || !affinity || affinity.preferredEndpoints(sharedPrompt.key).has(view.id))
      return 0;
    const { weight_recompute } = request.weights;
    return weight_recompute * sharedPrompt.tokens * defaultPrices.usdPerUncachedToken;
  }

  /** Sets the endpoints of a service among which the preferred ones are chosen. */
  setEndpoints(serviceId: string, endpointIds: readonly string[]): void {
    const known = this.#services.get(serviceId);
    if (known?.hasEndpoints(endpointIds)) return;
    this.#services.set(serviceId, new ServiceAffinity(endpointIds));
  }
}

/** Preferred endpoints of shared prompts among the endpoints of a service. */
class ServiceAffinity {
  readonly #endpointIds: readonly string[];
  readonly #endpointsByPrompt = new Map<string, ReadonlySet<string>>();

  constructor(endpointIds: readonly string[]) {
    this.#endpointIds = endpointIds;
  }

  hasEndpoints(endpointIds: readonly string[]): boolean {
    return (
      endpointIds.length === this.#endpointIds.length &&
      endpointIds.every((endpointId, index) => endpointId === this.#endpointIds[index])
    );
  }

  preferredEndpoints(key: string): ReadonlySet<string> {
    let endpoints = this.#endpointsByPrompt.get(key);
    if (!endpoints) {
      if (this.#endpointsByPrompt.size >= maxCachedPrompts) this.#endpointsByPrompt.clear();
      endpoints = new Set(rendezvousOrder(key, this.#endpointIds).slice(0, endpointsPerPrompt));
      this.#endpointsByPrompt.set(key, endpoints);
    }
    return endpoints;
  }
}
