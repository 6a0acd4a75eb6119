/** Options of {@link OutageDetector}. */
export interface OutageDetectorOptions {
  /** Shortest time without a successful call that counts as an outage, in milliseconds. */
  readonly minOutageMs: number;
}

/** Calls that have to fail in a row: a single one may be lost with its connection or its caller. */
const minFailedCalls = 2;

/**
 * Tells outages of a service from single calls that failed, by the calls of one client. A client
 * that has just started knows of no outage: its first calls may fail for reasons of its own.
 *
 * @example
 * ```ts
 * detector.recordFailure(startedAtMs);
 * detector.recordSuccess(clock.nowMs());
 * const { endedAtMs } = detector;
 * ```
 */
export class OutageDetector {
  readonly #minOutageMs: number;
  #hasSucceeded = false;
  #failedCalls = 0;
  #firstFailedStartedAtMs = 0;
  #endedAtMs = -Infinity;

  constructor(options: OutageDetectorOptions) {
    this.#minOutageMs = options.minOutageMs;
  }

  /** End of the last outage in epoch milliseconds; -Infinity before the first. */
  get endedAtMs(): number {
    return this.#endedAtMs;
  }

  /**
   * Records a call that failed.
   *
   * @param startedAtMs - epoch milliseconds at which it began.
   */
  recordFailure(startedAtMs: number): void {
    if (this.#failedCalls === 0) this.#firstFailedStartedAtMs = startedAtMs;
    this.#failedCalls += 1;
  }

  /** Records a call that succeeded at `nowMs` (epoch milliseconds). */
  recordSuccess(nowMs: number): void {
    const isOutage =
      this.#hasSucceeded &&
      this.#failedCalls >= minFailedCalls &&
      nowMs - this.#firstFailedStartedAtMs >= this.#minOutageMs;
    if (isOutage) this.#endedAtMs = nowMs;
    this.#hasSucceeded = true;
    this.#failedCalls = 0;
  }
}
