import { rendezvousOrder, type Clock } from '../core/index.js';
import type { EndpointView } from '../fleet/index.js';
import { weightedTokens, type PrefillBacklog } from '../fleet/prefill-backlog.js';
import type { LoadEstimate } from './load-estimate.js';
import type { RouteRequest } from './route-request.js';
import { RouteScorer } from './route-scorer.js';
import { defaultPrices } from './standard-scorers.js';

/** A chance of a miss beyond this tells nothing more, yet worse endpoints are still told apart. */
const maxRisk = 4;

/**
 * Wait behind prompts that the endpoint is still reading. It delays the first token and makes the
 * pauses between later ones longer for as long as it lasts.
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
 * Delay that a prompt causes to the streams that already run at the endpoint, so that long prompts
 * gather where little else runs.
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

/** Endpoints that keep the same prompt: two, so that the less loaded one can be taken. */
const endpointsPerPrompt = 2;

/** Prompts whose homes are remembered; the oldest are worked out again. */
const maxCachedPrompts = 4_096;

/**
 * Keeps prompts that share their beginning at few endpoints, the same ones at each daemon without a
 * word between them. Elsewhere the shared part would be read again.
 */
export class PromptAffinityScorer extends RouteScorer {
  override readonly name = 'prompt home';
  readonly #services = new Map<string, ServiceAffinity>();

  override scoreUsd(view: EndpointView, request: RouteRequest): number {
    const { sharedPrompt } = request;
    const affinity = this.#services.get(request.serviceId);
    if (!sharedPrompt || !affinity || affinity.endpointsFor(sharedPrompt.key).has(view.id))
      return 0;
    const { weight_recompute } = request.weights;
    return weight_recompute * sharedPrompt.tokens * defaultPrices.usdPerUncachedToken;
  }

  /** Takes the endpoints of a service among which homes are chosen. */
  setEndpoints(serviceId: string, endpointIds: readonly string[]): void {
    const known = this.#services.get(serviceId);
    if (known?.hasEndpoints(endpointIds)) return;
    this.#services.set(serviceId, new ServiceAffinity(endpointIds));
  }
}

/** Homes of prompts among fixed endpoints. */
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

  endpointsFor(key: string): ReadonlySet<string> {
    let endpoints = this.#endpointsByPrompt.get(key);
    if (!endpoints) {
      if (this.#endpointsByPrompt.size >= maxCachedPrompts) this.#endpointsByPrompt.clear();
      endpoints = new Set(rendezvousOrder(key, this.#endpointIds).slice(0, endpointsPerPrompt));
      this.#endpointsByPrompt.set(key, endpoints);
    }
    return endpoints;
  }
}
