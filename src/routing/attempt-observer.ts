import type { PrefixCacheIndex } from '../fleet/prefix-cache-index.js';
import type { SpeedEstimator } from '../fleet/speed-estimator.js';
import type { RouteRequest } from './route-request.js';
import type { Decision } from './router.js';

/** Tokens over which the gap is averaged; observing each token would cost more than its relay. */
const tokensPerObservation = 4;

/**
 * Observes one attempt at an endpoint and updates the cache index and the speed estimates. Create
 * one per attempt, when the request is sent.
 *
 * @example
 * ```ts
 * const attempt = new AttemptObserver(caches, speeds, decision, request, clock.nowMs());
 * attempt.token(clock.nowMs()); // for each token, the first one included
 * attempt.ended(clock.nowMs(), end.cachedTokens);
 * ```
 */
export class AttemptObserver {
  readonly #caches: PrefixCacheIndex;
  readonly #speeds: SpeedEstimator;
  readonly #endpointId: string;
  readonly #promptTokens: number;
  readonly #uncachedTokens: number;
  readonly #startedAtMs: number;
  #firstTokenAtMs: number | undefined;
  #batchStartedAtMs: number;
  #lastTokenAtMs: number;
  #tokens = 0;
  #isOver = false;

  /** @throws RangeError when the decision has no endpoint. */
  constructor(
    caches: PrefixCacheIndex,
    speeds: SpeedEstimator,
    decision: Decision,
    request: Pick<RouteRequest, 'prefix' | 'promptTokens'>,
    nowMs: number,
  ) {
    const { endpoint, load } = decision;
    if (!endpoint) throw new RangeError('cannot observe an attempt: the decision has no endpoint');
    this.#caches = caches;
    this.#speeds = speeds;
    this.#endpointId = endpoint.id;
    this.#promptTokens = request.promptTokens;
    this.#uncachedTokens = load?.uncachedTokens ?? request.promptTokens;
    this.#startedAtMs = nowMs;
    this.#batchStartedAtMs = nowMs;
    this.#lastTokenAtMs = nowMs;
    caches.recordSent(endpoint.id, request.prefix, nowMs);
  }

  /** Time from start to the first token, in milliseconds; undefined before it. */
  get firstTokenMs(): number | undefined {
    return this.#firstTokenAtMs === undefined
      ? undefined
      : this.#firstTokenAtMs - this.#startedAtMs;
  }

  /** Records the arrival of a token. */
  token(nowMs: number): void {
    if (this.#isOver) return;
    this.#lastTokenAtMs = nowMs;
    if (this.#firstTokenAtMs === undefined) {
      this.#firstTokenAtMs = nowMs;
      this.#batchStartedAtMs = nowMs;
      const elapsedMs = nowMs - this.#startedAtMs;
      this.#speeds.observeFirstToken(this.#endpointId, this.#uncachedTokens, elapsedMs);
      return;
    }
    this.#tokens += 1;
    if (this.#tokens >= tokensPerObservation) this.#flush(nowMs);
  }

  /** Detects a stalled stream. Call it a few times per second while the stream is open. */
  checkStall(nowMs: number): void {
    if (this.#isOver || this.#firstTokenAtMs === undefined) return;
    this.#speeds.observeStall(this.#endpointId, nowMs - this.#lastTokenAtMs, nowMs);
  }

  /**
   * Records that the stream ended without a failure.
   *
   * @param cachedTokens - prompt tokens that the engine found cached; undefined when not reported.
   */
  ended(nowMs: number, cachedTokens?: number): void {
    if (this.#isOver) return;
    if (cachedTokens !== undefined) {
      const expected = this.#promptTokens - this.#uncachedTokens;
      this.#caches.recordServed(this.#endpointId, expected, cachedTokens, this.#startedAtMs);
    }
    if (this.#tokens > 0) this.#flush(nowMs);
    this.#isOver = true;
  }

  /**
   * Records that the attempt failed or was cancelled.
   *
   * @param hasLostCache - whether the endpoint is gone, and its cache with it.
   */
  failed(hasLostCache: boolean): void {
    if (this.#isOver) return;
    this.#isOver = true;
    if (hasLostCache) this.#caches.remove(this.#endpointId);
  }

  #flush(nowMs: number): void {
    const elapsedMs = this.#lastTokenAtMs - this.#batchStartedAtMs;
    this.#speeds.observeTokens(this.#endpointId, this.#tokens, elapsedMs, nowMs);
    this.#batchStartedAtMs = this.#lastTokenAtMs;
    this.#tokens = 0;
  }
}
