import { hash64, type Clock } from '../core/index.js';
import type { AdmittedRequest } from './caller-exchange.js';
import type { Placement } from './placement.js';

/** `retry-after` of a request that no endpoint accepted, in milliseconds. */
const minRetryAfterMs = 600;

/** `retry-after` while a service has no endpoint: the time that a new one needs to start. */
const noEndpointRetryMs = 4_000;

/**
 * Upper bound of `retry-after`, relative to the time until the deadline; the retry needs the rest.
 */
const maxRetryAfterRatio = 0.3;

/**
 * Longest time for which a request waits for the end of a pause, in milliseconds. Later, its caller
 * should come back: another daemon may have no pause there.
 */
const maxPauseWaitMs = 1_000;

/** Time in which the first request after a pause shows whether others may follow, in milliseconds. */
const probeMs = 100;

/** Time by which each rank of priority comes later after a pause, and spread within it. */
const returnStepMs = 50;
const returnSpreadMs = 100;
const maxReturnRank = 5;

/** Options of {@link ReturnTimes}. */
export interface ReturnTimesOptions {
  readonly admitted: AdmittedRequest;
  readonly placement: Placement;
  readonly clock: Clock;
}

/** What a request has met so far. */
export interface TriedEndpoints {
  /** Whether it was sent to an endpoint, or one refused its connection. */
  readonly hasTried: boolean;
  /** Time until which its prompt is kept from endpoints, in epoch milliseconds; undefined if it is not. */
  readonly heldBackUntilMs: number | undefined;
}

/**
 * When a request that no endpoint takes now is tried again: here, at the end of a pause that comes
 * soon, or by its caller. More urgent requests return first, and those of one rank are spread.
 *
 * @example
 * ```ts
 * const waitUntilMs = returnTimes.waitUntilMs();
 * if (waitUntilMs === undefined) refuse(returnTimes.retryAfterMs(tried));
 * ```
 */
export class ReturnTimes {
  readonly #options: ReturnTimesOptions;
  /** Time until which the request waits for pauses to end, in epoch milliseconds. */
  #pauseWaitUntilMs: number | undefined;

  constructor(options: ReturnTimesOptions) {
    this.#options = options;
  }

  /**
   * Time in epoch milliseconds at which to try again after a pause; undefined if the caller should come
   * back instead.
   */
  waitUntilMs(): number | undefined {
    const { admitted, placement, clock } = this.#options;
    const tryAtMs = placement.nextTryAtMs(admitted);
    if (tryAtMs === undefined) return undefined;
    const waitUntilMs = tryAtMs + this.#delayMs();
    this.#pauseWaitUntilMs ??= clock.nowMs() + maxPauseWaitMs;
    // Its endpoint needs time for the response, too.
    const latestSendAtMs = admitted.deadlineAtMs - admitted.route.objectiveMs;
    const isSoon = waitUntilMs <= Math.min(this.#pauseWaitUntilMs, latestSendAtMs);
    return isSoon ? waitUntilMs : undefined;
  }

  /** `retry-after` of a refusal, in milliseconds. */
  retryAfterMs({ hasTried, heldBackUntilMs }: TriedEndpoints): number {
    const { admitted, placement, clock } = this.#options;
    const nowMs = clock.nowMs();
    if (heldBackUntilMs !== undefined) return Math.max(minRetryAfterMs, heldBackUntilMs - nowMs);
    const tryAtMs = placement.nextTryAtMs(admitted);
    if (tryAtMs !== undefined)
      return Math.max(minRetryAfterMs, tryAtMs - nowMs + probeMs + this.#delayMs());
    if (hasTried) return minRetryAfterMs;
    const maxRetryAfterMs = (admitted.deadlineAtMs - nowMs) * maxRetryAfterRatio;
    return Math.max(minRetryAfterMs, Math.min(noEndpointRetryMs, maxRetryAfterMs));
  }

  /** Spreads the requests that wait for the end of a pause, the more urgent ones first. */
  #delayMs(): number {
    const { workspace, route, description } = this.#options.admitted;
    const rank = Math.min(maxReturnRank, workspace?.priority ?? route.priority);
    const spreadMs = Number(hash64(description.requestId) % BigInt(returnSpreadMs));
    return rank * returnStepMs + spreadMs;
  }
}
