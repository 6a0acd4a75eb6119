import type { Clock } from '../core/index.js';
import type { EndpointSpeeds } from '../fleet/endpoint-speeds.js';
import type { EndpointView } from '../fleet/index.js';
import { weightedTokens } from '../fleet/prefill-backlog.js';
import type { RemainingWork } from '../fleet/remaining-work.js';
import type { LoadEstimate } from './load-estimate.js';
import type { RouteRequest } from './route-request.js';
import { RouteScorer } from './route-scorer.js';
import { defaultPrices } from './standard-scorers.js';

/** Options of {@link WorkScorer}. */
export interface WorkScorerOptions {
  /** Region of the daemon. */
  readonly region: string;
  readonly remaining: RemainingWork;
  readonly speeds: EndpointSpeeds;
  readonly clock: Clock;
}

/** Upper bound of a risk. Risks above 1 add no chance of a miss but still rank bad endpoints. */
const maxRisk = 4;

/**
 * Price of latency within the objective, in misses for a latency of the whole objective: sooner is
 * better, but work with a generous objective leaves fast endpoints to urgent work.
 */
const latencyPrice = 0.5;

/**
 * Share of the streams at an endpoint that lose time to a prefill which takes as long as the
 * objective between two events. Engines prefill in chunks, so that most streams go on meanwhile.
 */
const disturbedShare = 0.5;

/** Rate of the link between regions for all traffic: 42 Mbit/s. */
const linkBytesPerMs = 5_250;

/** Bytes of prompt text per token. */
const bytesPerToken = 4;

/**
 * Probability that a request finds an endpoint without a free slot is about the share of busy slots
 * to this power: requests come in bursts, so that it is considerable before all are busy.
 */
const busyPower = 4;

/**
 * Expected cost of a request by the work that each endpoint still has to do: the latency that the
 * caller observes against its objective, and the delay of other requests, which wait for the slot
 * that it takes and for the prefill of its prompt.
 */
export class WorkScorer extends RouteScorer {
  override readonly name = 'work';
  readonly #options: WorkScorerOptions;
  readonly #ahead = { slotWaitMs: 0, prefillMs: 0, stepMs: 0, totalMs: 0 };

  constructor(options: WorkScorerOptions) {
    super();
    this.#options = options;
  }

  override scoreUsd(view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    const { remaining, speeds, clock, region } = this.#options;
    const { work, weights } = request;
    const nowMs = clock.nowMs();
    const ahead = this.#ahead;
    remaining.ahead(ahead, view, load.requests, nowMs);
    const stride = work?.stride ?? 1;
    const tokenMs = ahead.stepMs / stride;
    const medianTokens = work?.medianOutputTokens ?? request.expectedOutputTokens;
    const highTokens = work?.highOutputTokens ?? request.expectedOutputTokens;
    const ownTokens = weightedTokens(load.uncachedTokens);
    const ownPrefillMs =
      ownTokens === 0 ? 0 : ownTokens / speeds.prefillTokensPerMs(view.id, nowMs);
    const linkMs =
      view.region === region
        ? 0
        : defaultPrices.regionRoundTripMs + (request.promptTokens * bytesPerToken) / linkBytesPerMs;
    const firstMs = linkMs + ahead.slotWaitMs + ahead.prefillMs + ownPrefillMs + ahead.stepMs;
    const latencyMs =
      work?.isStream === false ? firstMs + Math.max(0, medianTokens - 1) * tokenMs : firstMs;

    const latencyRatio = latencyMs / request.objectiveFirstTokenMs;
    const gapRatio = ahead.stepMs / request.objectiveBetweenTokensMs;
    const ownRisk =
      latencyRatio * latencyPrice +
      Math.min(maxRisk, latencyRatio ** 2) +
      Math.min(maxRisk, gapRatio ** 2);

    // Requests that arrive during the prefill wait for the rest of it; each stream there gets its
    // events later meanwhile.
    const arrivalsPerMs = load.requests / remaining.meanRequestMs(view.serviceId);
    const behindMs = (arrivalsPerMs * ownPrefillMs ** 2) / 2;
    const prefillRisk = Math.min(1, (ownPrefillMs / request.objectiveBetweenTokensMs) ** 2);
    // Requests that find all slots busy wait for this one's, at the endpoint's own speed.
    const busyRatio = Math.min(1, load.requests / view.batchSlots);
    const slotMs = ownPrefillMs + ((medianTokens + highTokens) / 2) * tokenMs;
    const slotWaitMs = (slotMs / view.batchSlots) * busyRatio ** busyPower;
    const othersRisk =
      (behindMs + slotWaitMs) * remaining.urgencyPerMs(view.serviceId) +
      prefillRisk * load.requests * disturbedShare;
    return weights.weight_tail * defaultPrices.usdPerMiss * (ownRisk + othersRisk);
  }
}
