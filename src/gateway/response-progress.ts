import type { Clock } from '../core/index.js';

/** What the times of a response say of its endpoint. */
export enum ProgressState {
  /** Data comes, or the caller does not take it. */
  Flowing = 'flowing',
  /** Nothing has come for a while. */
  Silent = 'silent',
  /** Bytes come, but for too long no complete event. */
  Stalled = 'stalled',
}

/** Time without data after which the endpoint is probed on a new connection. */
const silenceMs = 1_200;

/**
 * Times that bytes must have come since the last event before a stream counts as stalled: an event
 * that goes on after a silence may come in pieces.
 */
const minStalledReads = 3;

/** Shortest time between two checks. */
const minCheckIntervalMs = 200;

/** Times of a response at one moment, in milliseconds, for the log. */
export interface ProgressAges {
  /** Time since the last byte. */
  readonly sinceDataMs: number;
  /** Time since the last complete event, or the last byte of other responses. */
  readonly sinceEventMs: number;
  /** Whether the caller takes no data. */
  readonly isBlocked: boolean;
}

/**
 * Records when data of a response came, and distinguishes an endpoint that is silent from one that
 * sends bytes without an event, and from a caller that does not read.
 */
export class ResponseProgress {
  readonly #clock: Clock;
  readonly #stallTimeoutMs: number;
  #lastDataAtMs: number;
  #lastEventAtMs: number;
  /** Times that bytes have come since the last complete event. */
  #partialReads = 0;
  #isBlocked = false;

  /** @param stallTimeoutMs - time for which bytes may come without a complete event. */
  constructor(clock: Clock, stallTimeoutMs: number) {
    this.#clock = clock;
    this.#stallTimeoutMs = stallTimeoutMs;
    this.#lastDataAtMs = clock.nowMs();
    this.#lastEventAtMs = this.#lastDataAtMs;
  }

  /** Records bytes that complete no event. */
  recordPartialEvent(): void {
    this.#lastDataAtMs = this.#clock.nowMs();
    this.#partialReads += 1;
  }

  /**
   * Records complete events, a response head, or data of a response that is no stream.
   *
   * @param hasPartialEvent - whether the first bytes of another event came with them.
   */
  recordProgress(hasPartialEvent = false): void {
    this.#lastDataAtMs = this.#clock.nowMs();
    this.#lastEventAtMs = this.#lastDataAtMs;
    this.#partialReads = Number(hasPartialEvent);
  }

  /** The caller takes no more data, so that none is read from the endpoint. */
  block(): void {
    this.#isBlocked = true;
  }

  /** The caller takes data again. */
  unblock(): void {
    this.#isBlocked = false;
    this.#lastDataAtMs = this.#clock.nowMs();
    this.#lastEventAtMs = this.#lastDataAtMs;
  }

  get state(): ProgressState {
    const { sinceDataMs, sinceEventMs, isBlocked } = this.ages;
    if (isBlocked) return ProgressState.Flowing;
    if (sinceDataMs >= silenceMs) return ProgressState.Silent;
    const isStalled = this.#isPartial && sinceEventMs >= this.#stallTimeoutMs;
    return isStalled ? ProgressState.Stalled : ProgressState.Flowing;
  }

  /** Time of the next check that may find another state, in epoch milliseconds. */
  get nextCheckAtMs(): number {
    const silentAtMs = this.#lastDataAtMs + silenceMs;
    const stalledAtMs = this.#isPartial ? this.#lastEventAtMs + this.#stallTimeoutMs : Infinity;
    return Math.max(this.#clock.nowMs() + minCheckIntervalMs, Math.min(silentAtMs, stalledAtMs));
  }

  get #isPartial(): boolean {
    return this.#partialReads >= minStalledReads;
  }

  get ages(): ProgressAges {
    return {
      sinceDataMs: this.#clock.nowMs() - this.#lastDataAtMs,
      sinceEventMs: this.#clock.nowMs() - this.#lastEventAtMs,
      isBlocked: this.#isBlocked,
    };
  }
}
