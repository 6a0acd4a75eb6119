import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';

/** Longest pause that is kept, in milliseconds; an endpoint may ask for any. */
export const maxPauseMs = 300_000;

/**
 * Time for which the first request after a pause goes alone, in milliseconds. One that gets no
 * response for longer does not keep others away.
 */
const probeTimeoutMs = 1_000;

/** Interval at which requests look for the result of another one's probe, in milliseconds. */
const probeRecheckMs = 100;

/** A request for a pause. Epoch milliseconds. */
interface PauseRequest {
  readonly askedAtMs: number;
  readonly untilMs: number;
}

/** Requests for shorter pauses that are kept beside the longest one of an endpoint. */
const maxShorterRequests = 8;

/** A pause of one endpoint and the time after it, until the endpoint has accepted a request. */
interface Pause {
  /** Epoch milliseconds. */
  untilMs: number;
  /** Each asked later than the one before, for a time that ends earlier; the first one is in force. */
  readonly requests: readonly PauseRequest[];
  /** Time until which a probe keeps other requests away, in epoch milliseconds. */
  probeUntilMs: number;
}

/** Options of {@link EndpointPauses}. */
export interface EndpointPausesOptions {
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/**
 * Pauses that endpoints have asked of this daemon: an endpoint in one gets no request. After its end
 * one request goes first; the others follow once the endpoint has accepted it, so that those that
 * waited do not all come at once. A pause is between one daemon and one endpoint, and goes with the
 * endpoint's identity.
 *
 * @example
 * ```ts
 * pauses.record('i-7', clock.nowMs() + 4_000, clock.nowMs());
 * pauses.nextTryAtMs('i-7', clock.nowMs()); // in 4 s
 * ```
 */
export class EndpointPauses {
  readonly #options: EndpointPausesOptions;
  readonly #pauses = new Map<string, Pause>();

  constructor(options: EndpointPausesOptions) {
    this.#options = options;
  }

  /**
   * Applies a pause that an endpoint asks for. A longer one extends the one in force, a shorter one
   * does not end it earlier.
   *
   * @param untilMs - epoch milliseconds; bounded by {@link maxPauseMs}.
   */
  record(endpointId: string, untilMs: number, nowMs: number): void {
    const boundedMs = Math.min(untilMs, nowMs + maxPauseMs);
    const known = this.#pauses.get(endpointId);
    if (boundedMs <= nowMs) return;
    const request = { askedAtMs: nowMs, untilMs: boundedMs };
    const longer = known?.requests.filter(({ untilMs: other }) => other > boundedMs) ?? [];
    const requests = [...longer.slice(0, maxShorterRequests), request];
    if (known && boundedMs <= known.untilMs) {
      this.#pauses.set(endpointId, { ...known, requests });
      return;
    }
    this.#pauses.set(endpointId, { untilMs: boundedMs, requests, probeUntilMs: -Infinity });
    // Responses to requests that were on the way extend a pause by little; those say nothing new.
    if (known && nowMs < known.untilMs) return;
    const { events, metrics } = this.#options;
    metrics.count('gateway_endpoint_pauses', 1);
    events.info(EventId.EndpointPaused, 'endpoint wants no requests for a while', {
      endpoint: endpointId,
      pauseMs: Math.round(boundedMs - nowMs),
    });
  }

  /** Whether no endpoint is in a pause or being probed after one. */
  get isEmpty(): boolean {
    return this.#pauses.size === 0;
  }

  /** Whether an endpoint is in a pause. */
  isPaused(endpointId: string, nowMs: number): boolean {
    const pause = this.#pauses.get(endpointId);
    return pause !== undefined && nowMs < pause.untilMs;
  }

  /**
   * Earliest time at which a request may be sent to an endpoint, in epoch milliseconds; undefined if
   * it may be sent now.
   */
  nextTryAtMs(endpointId: string, nowMs: number): number | undefined {
    const pause = this.#pauses.get(endpointId);
    if (!pause) return undefined;
    if (nowMs < pause.untilMs) return pause.untilMs;
    return nowMs < pause.probeUntilMs ? nowMs + probeRecheckMs : undefined;
  }

  /**
   * Records that a request is sent to an endpoint. The first one after a pause is a probe.
   *
   * @returns a function to call when the attempt has ended.
   */
  began(endpointId: string, nowMs: number): () => void {
    const pause = this.#pauses.get(endpointId);
    if (!pause || nowMs < pause.untilMs) return () => undefined;
    const probeUntilMs = nowMs + probeTimeoutMs;
    pause.probeUntilMs = probeUntilMs;
    return () => {
      if (pause.probeUntilMs === probeUntilMs) pause.probeUntilMs = -Infinity;
    };
  }

  /**
   * Records that an endpoint has accepted a request.
   *
   * @param sentAtMs - when the request was sent, in epoch milliseconds; one that was sent before the
   * end of a pause says nothing of the time after it.
   */
  accepted(endpointId: string, sentAtMs: number, nowMs: number): void {
    const pause = this.#pauses.get(endpointId);
    if (!pause || sentAtMs < pause.untilMs) return;
    this.#pauses.delete(endpointId);
    this.#options.events.info(EventId.EndpointPauseEnded, 'endpoint accepts requests again', {
      endpoint: endpointId,
      sinceEndMs: Math.round(nowMs - pause.untilMs),
    });
  }

  /**
   * Keeps the pauses that a process has asked for before its start was known: they were recorded for
   * the one before it at the address.
   *
   * @param sinceMs - time from which the later process answered, in epoch milliseconds.
   */
  carryOver(previousId: string, id: string, sinceMs: number): void {
    const requests = this.#pauses
      .get(previousId)
      ?.requests.filter(({ askedAtMs }) => askedAtMs >= sinceMs);
    const [longest] = requests ?? [];
    if (!requests || !longest) return;
    const { untilMs } = longest;
    this.#pauses.set(id, { untilMs, requests, probeUntilMs: -Infinity });
  }

  /** Removes an endpoint whose identity is gone. */
  remove(endpointId: string): void {
    this.#pauses.delete(endpointId);
  }
}
