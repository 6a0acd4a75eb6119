import type { EndpointView } from '../fleet/index.js';
import type { LoadEstimate } from './load-estimate.js';
import type { RouteRequest } from './route-request.js';
import { RouteScorer } from './route-scorer.js';

/** Prices in USD-equivalents, at a weight of 1. */
export interface ScorePrices {
  readonly usdPerWaitS: number;
  /** Price of a certain miss of a latency objective. */
  readonly usdPerMiss: number;
  readonly usdPerUncachedToken: number;
  /** Price of the link between regions, per gigabyte. */
  readonly usdPerLinkGb: number;
  /** Round trip between regions, added to the wait of an endpoint in another region. */
  readonly regionRoundTripMs: number;
}

export const defaultPrices: ScorePrices = {
  usdPerWaitS: 0.001,
  usdPerMiss: 0.000_5,
  usdPerUncachedToken: 3e-6,
  usdPerLinkGb: 0.02,
  regionRoundTripMs: 24,
};

/** Bytes of JSON per token on the link, as in chat completion chunks. */
const bytesPerToken = 180;

/** Price of the batch slot for the expected duration of the request. */
export class CostScorer extends RouteScorer {
  override readonly name = 'cost';

  override scoreUsd(view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    const slotMs = request.expectedOutputTokens * load.tokenGapMs;
    const usdPerSlotMs = view.priceUsdPerHour / view.batchSlots / 3_600_000;
    return request.weights.weight_cost * slotMs * usdPerSlotMs;
  }
}

/** Expected time until the first token. */
export class WaitScorer extends RouteScorer {
  override readonly name = 'wait';
  readonly #region: string;
  readonly #prices: ScorePrices;

  constructor(region: string, prices: ScorePrices) {
    super();
    this.#region = region;
    this.#prices = prices;
  }

  override scoreUsd(view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    const linkMs = view.region === this.#region ? 0 : this.#prices.regionRoundTripMs;
    const waitS = (load.firstTokenMs + linkMs) / 1_000;
    return request.weights.weight_wait * waitS * this.#prices.usdPerWaitS;
  }
}

/** Risk of missing the objectives for the first token and between tokens. */
export class TailScorer extends RouteScorer {
  override readonly name = 'tail';
  readonly #prices: ScorePrices;

  constructor(prices: ScorePrices) {
    super();
    this.#prices = prices;
  }

  override scoreUsd(view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    const firstTokenRatio = load.firstTokenMs / request.objectiveFirstTokenMs;
    const tokenGapRatio = load.tokenGapMs / request.objectiveBetweenTokensMs;
    // Squares approximate how the miss rate grows near the objective. They stay monotonic beyond
    // it, so that two bad endpoints still have different scores.
    const risk =
      firstTokenRatio * firstTokenRatio +
      tokenGapRatio * tokenGapRatio +
      (view.speed.slowdownRatio - 1);
    return request.weights.weight_tail * risk * this.#prices.usdPerMiss;
  }
}

/** Price of the prompt tokens that the endpoint would have to process again. */
export class RecomputeScorer extends RouteScorer {
  override readonly name = 'recompute';
  readonly #prices: ScorePrices;

  constructor(prices: ScorePrices) {
    super();
    this.#prices = prices;
  }

  override scoreUsd(_view: EndpointView, request: RouteRequest, load: LoadEstimate): number {
    return (
      request.weights.weight_recompute * load.uncachedTokens * this.#prices.usdPerUncachedToken
    );
  }
}

/** Price of sending prompt and answer over the link between regions. */
export class LinkScorer extends RouteScorer {
  override readonly name = 'link';
  readonly #region: string;
  readonly #prices: ScorePrices;

  constructor(region: string, prices: ScorePrices) {
    super();
    this.#region = region;
    this.#prices = prices;
  }

  override scoreUsd(view: EndpointView, request: RouteRequest): number {
    if (view.region === this.#region) return 0;
    const tokens = request.promptTokens / 40 + request.expectedOutputTokens;
    return (tokens * bytesPerToken * this.#prices.usdPerLinkGb) / 1e9;
  }
}

/** Scorers of a daemon in `region`. */
export function standardScorers(region: string, prices = defaultPrices): RouteScorer[] {
  return [
    new CostScorer(),
    new WaitScorer(region, prices),
    new TailScorer(prices),
    new RecomputeScorer(prices),
    new LinkScorer(region, prices),
  ];
}
