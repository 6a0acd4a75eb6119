import type { RemainingWork } from '../fleet/remaining-work.js';
import type { EndpointView } from '../fleet/index.js';
import type { RouteRequest } from './route-request.js';
import { defaultPrices } from './standard-scorers.js';

/** What the width of a draw depends on. */
export interface DrawContext {
  readonly request: RouteRequest;
  readonly views: readonly EndpointView[];
  /** Score of the best candidate. */
  readonly bestUsd: number;
  /** Mean of the requests of other daemons at an endpoint. */
  readonly meanPeerRequests: number;
  readonly nowMs: number;
}

/** Width of the random draw among the candidates of a decision. */
export abstract class DrawSpread {
  /** Score difference at which a candidate is e times less likely; positive. */
  abstract scaleUsd(context: DrawContext): number;
}

/** Scale that is a fraction of the best score. */
export class RelativeSpread extends DrawSpread {
  readonly #ratio: number;

  /** @param ratio - 0 always chooses the best candidate. */
  constructor(ratio: number) {
    super();
    this.#ratio = ratio;
  }

  override scaleUsd({ bestUsd }: DrawContext): number {
    return Math.max(Math.abs(bestUsd) * this.#ratio, Number.MIN_VALUE);
  }
}

/**
 * Reports count requests, but do not say which prompts have yet to be processed; those of the last
 * half second are unseen however new the report is.
 */
const minReportAgeMs = 500;

/** Reports older than this have decayed to the mean of the service. */
const maxReportAgeMs = 2_000;

/** Part of that delay which a request causes at an endpoint with some free slots. */
const delayShare = 0.1;

/**
 * Scale that grows with the requests that other daemons have probably sent since the reports were
 * made. A difference between two endpoints that these requests could even out by themselves is not
 * known; daemons that acted on it would all choose the same endpoint. With one daemon, whose own
 * requests are known, the scale is small and the best candidate is chosen.
 */
export class UnseenArrivalsSpread extends DrawSpread {
  readonly #remaining: RemainingWork;
  readonly #minimum: RelativeSpread;

  /** @param ratio - lower bound of the scale as a fraction of the best score. */
  constructor(remaining: RemainingWork, ratio: number) {
    super();
    this.#remaining = remaining;
    this.#minimum = new RelativeSpread(ratio);
  }

  override scaleUsd(context: DrawContext): number {
    const { request, views, meanPeerRequests, nowMs } = context;
    let ageSumMs = 0;
    let slots = 0;
    for (const { report, batchSlots } of views) {
      const ageMs = report ? Math.max(0, nowMs - report.observedAtMs) : maxReportAgeMs;
      ageSumMs += Math.min(maxReportAgeMs, Math.max(minReportAgeMs, ageMs));
      slots += batchSlots;
    }
    if (slots === 0) return this.#minimum.scaleUsd(context);
    const requestMs = this.#remaining.meanRequestMs(request.serviceId);
    const unseen = (meanPeerRequests * ageSumMs) / views.length / Math.max(1, requestMs);
    // One request more delays the next one by at most the time that it holds one of the slots.
    const delayS = (delayShare * requestMs) / (slots / views.length) / 1_000;
    const usd = request.weights.weight_wait * unseen * delayS * defaultPrices.usdPerWaitS;
    return Math.max(usd, this.#minimum.scaleUsd(context));
  }
}
