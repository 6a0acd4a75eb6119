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
    const ownMs = weightedTokens(load.uncachedTokens) / this.#backlog.tokensPerMs;
    const first = (queueMs + ownMs) / request.objectiveFirstTokenMs;
    const pause = queueMs / request.objectiveBetweenTokensMs;
    const risk = Math.min(maxRisk, first * first) + Math.min(maxRisk, pause * pause);
    return request.weights.weight_tail * risk * defaultPrices.usdPerMiss;
  }
}

/**
 * Delay that a prompt causes to the streams that already run at the endpoint, so that long prompts
 * gather where little else runs.
 */
export class DisturbanceScorer extends RouteScorer {
  override readonly name = 'disturbance';
  readonly #backlog: PrefillBacklog;

  constructor(backlog: PrefillBacklog) {
    super();
    this.#backlog = backlog;
  }

  override scoreUsd(_view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    const pause =
      weightedTokens(load.uncachedTokens) /
      this.#backlog.tokensPerMs /
      request.objectiveBetweenTokensMs;
    const risk = Math.min(1, pause * pause);
    return request.weights.weight_tail * risk * load.requests * defaultPrices.usdPerMiss;
  }
}

/** Endpoints that keep the same prompt: two, so that the less loaded one can be taken. */
const homesPerPrompt = 2;

/** Prompts whose homes are remembered; the oldest are worked out again. */
const maxRememberedKeys = 4_096;

/**
 * Keeps prompts that share their beginning at few endpoints, the same ones at each daemon without a
 * word between them. Elsewhere the shared part would be read again.
 */
export class PromptHomeScorer extends RouteScorer {
  override readonly name = 'prompt home';
  readonly #services = new Map<string, ServiceHomes>();

  override scoreUsd(view: EndpointView, request: RouteRequest): number {
    const { sharedPrompt } = request;
    const homes = this.#services.get(request.serviceId);
    if (!sharedPrompt || !homes || homes.of(sharedPrompt.key).has(view.id)) return 0;
    const { weight_recompute } = request.weights;
    return weight_recompute * sharedPrompt.tokens * defaultPrices.usdPerUncachedToken;
  }

  /** Takes the endpoints of a service among which homes are chosen. */
  setMembers(serviceId: string, endpointIds: readonly string[]): void {
    const known = this.#services.get(serviceId);
    if (known?.hasMembers(endpointIds)) return;
    this.#services.set(serviceId, new ServiceHomes(endpointIds));
  }
}

/** Homes of prompts among fixed endpoints. */
class ServiceHomes {
  readonly #members: readonly string[];
  readonly #homes = new Map<string, ReadonlySet<string>>();

  constructor(members: readonly string[]) {
    this.#members = members;
  }

  hasMembers(members: readonly string[]): boolean {
    return (
      members.length === this.#members.length &&
      members.every((member, index) => member === this.#members[index])
    );
  }

  of(key: string): ReadonlySet<string> {
    let homes = this.#homes.get(key);
    if (!homes) {
      if (this.#homes.size >= maxRememberedKeys) this.#homes.clear();
      homes = new Set(rendezvousOrder(key, this.#members).slice(0, homesPerPrompt));
      this.#homes.set(key, homes);
    }
    return homes;
  }
}
