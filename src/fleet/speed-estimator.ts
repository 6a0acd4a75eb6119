import type { ObservedSpeed } from './endpoint-view.js';

/** Options of {@link SpeedEstimator}. */
export interface SpeedEstimatorOptions {
  /** Time constant of the smoothing. */
  readonly smoothingMs?: number;
  /** Ratio to the median of the peers from which an endpoint counts as slow. */
  readonly slowRatio?: number;
  /** Ratio below which a slow endpoint counts as recovered; less than `slowRatio`. */
  readonly recoveredRatio?: number;
  /** Consecutive observations below `recoveredRatio` that end a slow period. */
  readonly recoveredObservations?: number;
  /** Minimum time between two probes of a slow endpoint by this daemon. */
  readonly probePeriodMs?: number;
}

interface EndpointSpeed {
  readonly group: string;
  tokenGapMs: number | undefined;
  prefillTokensPerS: number | undefined;
  observedAtMs: number;
  isSlow: boolean;
  fastObservations: number;
  nextProbeAtMs: number;
}

const unknownSpeed: ObservedSpeed = {
  tokenGapMs: undefined,
  prefillTokensPerS: undefined,
  slowdownRatio: 1,
};

/**
 * Observed speed of each endpoint from the daemon's own streams. An endpoint whose smoothed time
 * between tokens is far above the median of its peers counts as slow until several observations in
 * a row are near the median again, so that one fast token does not restore it.
 *
 * @example
 * ```ts
 * const speeds = new SpeedEstimator();
 * speeds.add('vm-1:1', 'tejidos/assistant standard');
 * speeds.observeTokens('vm-1:1', 8, 240, clock.nowMs());
 * speeds.speed('vm-1:1').tokenGapMs; // 30
 * ```
 */
export class SpeedEstimator {
  readonly #smoothingMs: number;
  readonly #slowRatio: number;
  readonly #recoveredRatio: number;
  readonly #recoveredObservations: number;
  readonly #probePeriodMs: number;
  readonly #endpoints = new Map<string, EndpointSpeed>();
  readonly #medianGapMs = new Map<string, { gapMs: number; atMs: number }>();

  constructor(options: SpeedEstimatorOptions = {}) {
    this.#smoothingMs = options.smoothingMs ?? 1_000;
    this.#slowRatio = options.slowRatio ?? 2;
    this.#recoveredRatio = options.recoveredRatio ?? 1.4;
    this.#recoveredObservations = options.recoveredObservations ?? 3;
    this.#probePeriodMs = options.probePeriodMs ?? 10_000;
  }

  /**
   * Adds an endpoint; a second call is ignored.
   *
   * @param group - endpoints compared with each other, such as service and VM class.
   */
  add(endpointId: string, group: string): void {
    if (this.#endpoints.has(endpointId)) return;
    this.#endpoints.set(endpointId, {
      group,
      tokenGapMs: undefined,
      prefillTokensPerS: undefined,
      observedAtMs: 0,
      isSlow: false,
      fastObservations: 0,
      nextProbeAtMs: 0,
    });
  }

  /** Removes an endpoint whose identity is gone. */
  remove(endpointId: string): void {
    this.#endpoints.delete(endpointId);
  }

  /** Records that a stream delivered `tokens` in `elapsedMs`; unknown endpoints are ignored. */
  observeTokens(endpointId: string, tokens: number, elapsedMs: number, nowMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint || tokens <= 0) return;
    this.#observeGap(endpoint, elapsedMs / tokens, elapsedMs, nowMs);
  }

  /**
   * Records that a stream has delivered nothing for `elapsedMs`. It counts only when it is longer
   * than the smoothed gap, so that a stalled endpoint is detected before its next token.
   */
  observeStall(endpointId: string, elapsedMs: number, nowMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint || elapsedMs <= (endpoint.tokenGapMs ?? Infinity)) return;
    this.#observeGap(endpoint, elapsedMs, elapsedMs, nowMs);
  }

  /**
   * Records the time from dispatch to the first token. Queueing makes the observed rate too low, so
   * higher rates are adopted faster than lower ones.
   */
  observeFirstToken(endpointId: string, uncachedTokens: number, elapsedMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    // Short prompts measure the fixed cost of a step rather than the prefill rate.
    if (!endpoint || uncachedTokens < 256 || elapsedMs <= 0) return;
    const rate = (uncachedTokens * 1_000) / elapsedMs;
    const old = endpoint.prefillTokensPerS;
    endpoint.prefillTokensPerS =
      old === undefined ? rate : old + (rate - old) * (rate > old ? 0.5 : 0.05);
  }

  /** Observed speed of an endpoint, for its view. */
  speed(endpointId: string): ObservedSpeed {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint) return unknownSpeed;
    const { tokenGapMs, prefillTokensPerS } = endpoint;
    return { tokenGapMs, prefillTokensPerS, slowdownRatio: this.#ratio(endpoint) };
  }

  /** Whether the endpoint is in a slow period. */
  isSlow(endpointId: string): boolean {
    return this.#endpoints.get(endpointId)?.isSlow ?? false;
  }

  /** Whether a slow endpoint should get a request now, to learn whether it has recovered. */
  isProbeDue(endpointId: string, nowMs: number): boolean {
    const endpoint = this.#endpoints.get(endpointId);
    return endpoint !== undefined && endpoint.isSlow && nowMs >= endpoint.nextProbeAtMs;
  }

  /** Records that a probe was sent. */
  recordProbe(endpointId: string, nowMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint) endpoint.nextProbeAtMs = nowMs + this.#probePeriodMs;
  }

  #observeGap(endpoint: EndpointSpeed, gapMs: number, spanMs: number, nowMs: number): void {
    const old = endpoint.tokenGapMs;
    const idleMs = Math.max(spanMs, nowMs - endpoint.observedAtMs);
    const gain = 1 - Math.exp(-Math.min(idleMs, spanMs * 4) / this.#smoothingMs);
    endpoint.tokenGapMs = old === undefined ? gapMs : old + (gapMs - old) * gain;
    endpoint.observedAtMs = nowMs;
    const medianGapMs = this.#median(endpoint.group, nowMs);
    if (endpoint.isSlow) {
      endpoint.fastObservations =
        gapMs < medianGapMs * this.#recoveredRatio ? endpoint.fastObservations + 1 : 0;
      if (endpoint.fastObservations < this.#recoveredObservations) return;
      endpoint.isSlow = false;
      endpoint.tokenGapMs = gapMs;
    } else if (endpoint.tokenGapMs > medianGapMs * this.#slowRatio) {
      endpoint.isSlow = true;
      endpoint.fastObservations = 0;
      endpoint.nextProbeAtMs = nowMs + this.#probePeriodMs;
    }
  }

  #ratio(endpoint: EndpointSpeed): number {
    if (endpoint.tokenGapMs === undefined) return 1;
    const medianGapMs = this.#median(endpoint.group, endpoint.observedAtMs);
    const ratio = medianGapMs > 0 ? Math.max(1, endpoint.tokenGapMs / medianGapMs) : 1;
    return endpoint.isSlow ? Math.max(ratio, this.#slowRatio) : ratio;
  }

  /** Median gap of a group, refreshed at most every 100 ms since it is read for every token. */
  #median(group: string, nowMs: number): number {
    const cached = this.#medianGapMs.get(group);
    if (cached && nowMs - cached.atMs < 100) return cached.gapMs;
    const gaps: number[] = [];
    for (const other of this.#endpoints.values()) {
      if (other.group === group && other.tokenGapMs !== undefined) gaps.push(other.tokenGapMs);
    }
    gaps.sort((a, b) => a - b);
    // The lower median, so that one slow endpoint of two is compared with the other one.
    const gapMs = gaps[(gaps.length - 1) >> 1] ?? 0;
    this.#medianGapMs.set(group, { gapMs, atMs: nowMs });
    return gapMs;
  }
}
