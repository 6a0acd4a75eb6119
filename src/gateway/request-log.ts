import type { Clock } from '../core/index.js';
import type { EndpointView } from '../fleet/index.js';
import { sharedPartsOf } from '../fleet/prompt-prefix.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { AttemptResult } from './attempt.js';
import type { AdmittedRequest } from './caller-exchange.js';

/** Options of {@link RequestLog}. */
export interface RequestLogOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** How a request ended without its complete response. */
export interface RequestEnd {
  /** Status sent to the caller; 0 when none was sent. */
  readonly status: number;
  readonly reason: string;
  readonly sends: number;
  readonly mayHaveRun: boolean;
  /** Time at which it was written to its endpoint, if an attempt is in progress (epoch milliseconds). */
  readonly writtenAtMs: number | undefined;
}

/** Log lines of one request, and what it has reached so far as they report it. */
export class RequestLog {
  readonly #options: RequestLogOptions;
  readonly #admitted: AdmittedRequest;
  #endpointId = '';
  #events = 0;
  #firstEventAtMs: number | undefined;
  #progressAtMs: number;

  constructor(options: RequestLogOptions, admitted: AdmittedRequest) {
    this.#options = options;
    this.#admitted = admitted;
    this.#progressAtMs = admitted.receivedAtMs;
  }

  /** The request is sent to an endpoint. */
  sentTo(view: EndpointView): void {
    this.#endpointId = view.id;
  }

  /** More events of its stream were received. */
  progressed(events: number): void {
    this.#events += events;
    this.#progressAtMs = this.#options.clock.nowMs();
    this.#firstEventAtMs ??= this.#progressAtMs;
  }

  /** The request was served after more than one attempt. */
  retried(sends: number): void {
    this.#options.events.info(EventId.RequestRetried, 'request served after a retry', {
      requestId: this.#admitted.description.requestId,
      route: this.#admitted.route.name,
      endpoint: this.#endpointId,
      sends,
      elapsedMs: this.#elapsedMs(this.#admitted.receivedAtMs),
    });
  }

  /** The endpoint of the request is silent, and another one is asked to go on with it. */
  askedAnother(silent: EndpointView, asked: EndpointView): void {
    this.#options.events.info(EventId.AnotherEndpointAsked, 'another endpoint is asked to go on', {
      requestId: this.#admitted.description.requestId,
      silentEndpoint: silent.id,
      endpoint: asked.id,
      events: this.#events,
      sinceProgressMs: this.#elapsedMs(this.#progressAtMs),
    });
  }

  attemptFailed(view: EndpointView, result: AttemptResult, sentAtMs: number): void {
    const { end, reason, wasSent, hasResponse, ages } = result;
    const { promptParts } = this.#admitted.description;
    this.#options.events.warn(EventId.AttemptFailed, 'attempt at an endpoint failed', {
      requestId: this.#admitted.description.requestId,
      endpoint: view.id,
      end,
      reason,
      wasSent,
      hasResponse,
      ...(promptParts.length > 1
        ? { sharedParts: sharedPartsOf(promptParts).map(({ id }) => id) }
        : {}),
      events: this.#events,
      sinceDataMs: Math.round(ages.sinceDataMs),
      sinceEventMs: Math.round(ages.sinceEventMs),
      isBlocked: ages.isBlocked,
      elapsedMs: this.#elapsedMs(sentAtMs),
    });
  }

  /** The request ended without its complete response. */
  ended(event: EventId, message: string, end: RequestEnd): void {
    const { description, route, service, receivedAtMs, deadlineAtMs } = this.#admitted;
    const { writtenAtMs, ...logged } = end;
    this.#options.events.warn(event, message, {
      requestId: description.requestId,
      route: route.name,
      service: service.name,
      ...logged,
      endpoint: this.#endpointId,
      events: this.#events,
      ...(this.#firstEventAtMs === undefined
        ? {}
        : { firstEventMs: Math.round(this.#firstEventAtMs - receivedAtMs) }),
      ...(writtenAtMs === undefined ? {} : { sinceWrittenMs: this.#elapsedMs(writtenAtMs) }),
      sinceProgressMs: this.#elapsedMs(this.#progressAtMs),
      remainingMs: -this.#elapsedMs(deadlineAtMs),
      elapsedMs: this.#elapsedMs(receivedAtMs),
    });
  }

  #elapsedMs(sinceMs: number): number {
    return Math.round(this.#options.clock.nowMs() - sinceMs);
  }
}
