import { WorkClass, hash64 } from '../core/index.js';
import { EngineFailure } from '../engine/engine-error.js';
import type { EndpointView, RoutedRequest } from '../fleet/index.js';
import { sharedPartsOf } from '../fleet/prompt-prefix.js';
import type { BrokenRequest } from '../quarantine/crash-detector.js';
import type { QuarantineEntry } from '../quarantine/quarantine-entry.js';
import { EventId } from '../telemetry/index.js';
import {
  Attempt,
  AttemptEnd,
  AttemptObserver,
  type AttemptResult,
  type StreamProgress,
} from './attempt.js';
import type { AdmittedRequest, CallerExchange } from './caller-exchange.js';
import type { ResponseDescription } from './request-codec.js';
import { RequestLog } from './request-log.js';
import type { RequestRelayOptions } from './request-relay.js';
import { RequestKind } from './traffic-config.js';

/**
 * Statuses that guarantee to the caller that the request did not and will not run. An endpoint's
 * error response with one of them gives no such guarantee and is replaced by 502.
 */
const notRunStatuses = new Set([408, 421, 429, 503]);

/**
 * Limit of attempts that end before a byte was sent. They put no load on endpoints, but take time.
 */
const maxUnsentAttempts = 4;

/** Endpoints that may crash under a request before it is not sent to another one. */
const maxCrashedEndpoints = 2;

/** `retry-after` of a request that no endpoint accepted, in milliseconds. */
const retryAfterMs = 600;

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

/** The state of one request while it is relayed; see {@link RequestRelay}. */
export class RelayedRequest extends AttemptObserver {
  readonly #options: RequestRelayOptions;
  readonly #exchange: CallerExchange;
  readonly #admitted: AdmittedRequest;
  readonly #triedIds: string[] = [];
  readonly #progress: StreamProgress;
  readonly #requestLog: RequestLog;
  readonly #partIds: readonly string[];
  #attempt: Attempt | undefined;
  #sends = 0;
  #unsentAttempts = 0;
  /** Whether an endpoint may have run the request. */
  #mayHaveRun = false;
  #hasBegun = false;
  /** First event of the attempt in flight; undefined before. */
  #firstEventAtMs: number | undefined;
  #lastEventAtMs: number | undefined;
  #sentAtMs = 0;
  /** Endpoints that crashed, possibly under this request. */
  #crashedEndpoints = 0;
  /** Time until which its prompt is kept from endpoints; undefined if it is not. */
  #heldBackUntilMs: number | undefined;
  /** Whether the gateway has answered in the place of an endpoint, at the deadline or the stop. */
  #isExpired = false;
  /** Time until which the request waits for pauses to end, in epoch milliseconds. */
  #pauseWaitUntilMs: number | undefined;
  #lastReason = 'no endpoint is available';

  constructor(options: RequestRelayOptions, exchange: CallerExchange, admitted: AdmittedRequest) {
    super();
    this.#options = options;
    this.#exchange = exchange;
    this.#admitted = admitted;
    this.#progress = { lastEventId: admitted.description.lastEventId, events: 0 };
    this.#requestLog = new RequestLog(options, admitted);
    this.#partIds = sharedPartsOf(admitted.description.promptParts).map(({ id }) => id);
  }

  async run(): Promise<void> {
    const { clock, retries } = this.#options;
    const { route, service, deadlineAtMs } = this.#admitted;
    retries.recordRequest(service.name, clock.nowMs());
    const cancelDeadline = clock.schedule(deadlineAtMs, () => {
      this.#onDeadline();
    });
    this.#exchange.onDisconnect(() => {
      if (!this.#exchange.isAborted)
        this.#log(EventId.CallerLeft, 'caller disconnected before its response was complete', 0);
      const attempt = this.#attempt;
      // An at-most-once request that may run continues: its outcome matters without the caller too.
      if (route.kind === RequestKind.AtMostOnce && attempt?.mayHaveRun) return;
      attempt?.abort('the caller disconnected');
    });
    try {
      while (await this.#tryOnce());
    } finally {
      cancelDeadline();
    }
  }

  /** Answers the request in the place of its endpoint, unless a response was begun. */
  endUnanswered(reason: string): void {
    if (this.#exchange.hasSentHead || this.#isOver) return;
    const attempt = this.#attempt;
    this.#isExpired = true;
    this.#mayHaveRun ||= attempt?.mayHaveRun === true;
    this.#lastReason = reason;
    this.#fail(this.#mayHaveRun ? 502 : 503, reason);
    attempt?.abort(reason);
  }

  override responded(view: EndpointView, response: ResponseDescription): void {
    const { registry, clock, guard, notices, pauses } = this.#options;
    guard.endpointResponded(view.id);
    const { load, notice, isNotRun } = response;
    notices.apply(view.id, notice);
    if (!isNotRun) pauses.accepted(view.id, this.#sentAtMs, clock.nowMs());
    if (!load) return;
    registry.recordLoadReport(view.id, {
      runningRequests: load.runningRequests,
      queuedRequests: load.queuedRequests,
      // Responses do not report it, and routing does not use it.
      kvUsedRatio: 0,
      observedAtMs: clock.nowMs(),
    });
  }

  override refused(view: EndpointView): void {
    this.#options.guard.endpointRefused(view.id);
  }

  override silent(view: EndpointView): void {
    this.#options.registry.recordFailure(view.id, EngineFailure.TimedOut);
  }

  override began(): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.#options.usage.began(this.#admitted, this.#options.clock.nowMs());
  }

  override progressed(view: EndpointView, events: number, elapsedMs: number): void {
    const { placement, clock } = this.#options;
    this.#requestLog.progressed(events);
    this.#lastEventAtMs = clock.nowMs();
    if (this.#firstEventAtMs === undefined) {
      this.#firstEventAtMs = this.#lastEventAtMs;
      placement.recordFirstEvent(view, this.#admitted, this.#firstEventAtMs - this.#sentAtMs);
    } else placement.recordProgress(view, events, elapsedMs);
  }

  /**
   * Makes one attempt.
   *
   * @returns whether another attempt should follow.
   */
  async #tryOnce(): Promise<boolean> {
    const { placement, registry, clock, guard } = this.#options;
    // No caller is waiting for a response, and no attempt is in flight.
    if (this.#exchange.isDisconnected) return false;
    const entry = guard.find(this.#partIds);
    if (entry) {
      this.#holdBack(entry);
      return false;
    }
    const view = placement.choose(this.#admitted, this.#triedIds);
    if (!view) {
      if (await this.#waitForPause()) return true;
      this.#giveUp();
      return false;
    }
    guard.admit(this.#partIds);
    const inFlightRequest = registry.beginRequest(
      view.id,
      WorkClass.Short,
      placement.pendingTokens(this.#admitted),
    );
    this.#sentAtMs = clock.nowMs();
    const endProbe = this.#options.pauses.began(view.id, this.#sentAtMs);
    this.#requestLog.sentTo(view);
    this.#firstEventAtMs = undefined;
    this.#lastEventAtMs = undefined;
    const attempt = this.#startAttempt(view);
    this.#attempt = attempt;
    const result = await attempt.result;
    this.#attempt = undefined;
    endProbe();
    this.#recordResult(view, inFlightRequest, result);
    const crashedUnderIt = this.#observeCrash(view, result);
    if (result.end === AttemptEnd.Delivered) {
      // Only requests that needed a retry are logged; a line for each request would hide them.
      if (this.#sends + this.#unsentAttempts > 1) this.#requestLog.retried(this.#sends);
      return false;
    }
    if (result.end !== AttemptEnd.Aborted) this.#requestLog.attemptFailed(result, this.#sentAtMs);
    if (!this.#mayRetry(result)) return this.#conclude(result);
    if (await crashedUnderIt) this.#crashedEndpoints += 1;
    // Meanwhile the caller may have left, or its time may be over; both were dealt with then.
    if (this.#isOver) return false;
    return (
      (this.#crashedEndpoints < maxCrashedEndpoints && this.#spendRetry(result)) ||
      this.#conclude(result)
    );
  }

  /**
   * Tells the guard of prompts how an attempt ended.
   *
   * @returns whether its endpoint has crashed, possibly under this request.
   */
  #observeCrash(view: EndpointView, result: AttemptResult): Promise<boolean> {
    const { guard, placement } = this.#options;
    const request: BrokenRequest = {
      endpointId: view.id,
      baseUrl: view.baseUrl,
      requestId: this.#admitted.description.requestId,
      partIds: this.#partIds,
      sentAtMs: this.#sentAtMs,
      firstEventAtMs: this.#firstEventAtMs,
      lastEventAtMs: this.#lastEventAtMs,
    };
    // The end of a process that is leaving has nothing to do with its requests.
    const isStaying = placement.isStaying(view.id);
    if (result.end === AttemptEnd.Delivered) {
      if (result.isFramed) guard.answered(request);
      else if (isStaying) guard.answerMayBeCut(request);
    }
    if (result.end !== AttemptEnd.Broken || !result.wasSent || !isStaying)
      return Promise.resolve(false);
    return guard.requestBroke(request);
  }

  #startAttempt(view: EndpointView): Attempt {
    const { connections, codec, stallDetector, clock, endpoints, placement } = this.#options;
    const exchange = this.#exchange;
    const admitted = this.#admitted;
    const { request } = exchange;
    placement.recordSent(view, admitted);
    const headers = codec.forwardedHeaders(request.headers, {
      workspaceName: admitted.workspace?.name,
      instanceId: endpoints.instanceIdOf(view),
      remainingMs: admitted.deadlineAtMs - clock.nowMs(),
      priority: placement.priorityOf(admitted),
      lastEventId: this.#progress.lastEventId,
    });
    return new Attempt({
      exchange,
      admitted,
      view,
      request: {
        baseUrl: view.baseUrl,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers,
        body: admitted.body,
        // The endpoint may be closing a reused connection, or send the response to an earlier
        // request on it. Whether this request ran would then be unknown.
        mayReuseConnection: this.#isRepeatable,
      },
      progress: this.#progress,
      connections,
      codec,
      stallDetector,
      observer: this,
      mayTake: () => placement.mayTake(view.id),
      canMove: () => this.#canMove(view),
      clock,
    });
  }

  #recordResult(view: EndpointView, inFlightRequest: RoutedRequest, result: AttemptResult): void {
    const { registry, metrics } = this.#options;
    metrics.countAttempt(this.#admitted.service.name, result.end);
    inFlightRequest.end();
    // The endpoint may take the request on another connection.
    if (!result.hasLostKeptConnection) this.#triedIds.push(view.id);
    this.#lastReason = result.reason;
    if (result.wasSent) this.#sends += 1;
    else this.#unsentAttempts += 1;
    if (result.wasSent && result.end !== AttemptEnd.NotRun) this.#mayHaveRun = true;
    const isServerFailure = (result.response?.status ?? 0) >= 500;
    if (result.end === AttemptEnd.Delivered) registry.recordSuccess(view.id);
    else if (result.end === AttemptEnd.Broken || isServerFailure) {
      registry.recordFailure(view.id, EngineFailure.Broken);
    } else if (
      result.end === AttemptEnd.NotRun &&
      !result.wasSent &&
      !result.hasLostKeptConnection
    ) {
      registry.recordFailure(view.id, EngineFailure.ConnectionFailed);
    }
  }

  /** Whether the request may be sent again although it may have run. */
  get #isRepeatable(): boolean {
    const { route } = this.#admitted;
    if (route.kind === RequestKind.Stream) return route.isResumable;
    return route.kind === RequestKind.Idempotent;
  }

  /**
   * Waits for the end of a pause that comes soon, so that a caller needs not come back for it. More
   * urgent requests try first; the first one that is sent probes the endpoint.
   *
   * @returns whether to try again.
   */
  async #waitForPause(): Promise<boolean> {
    const { clock, placement } = this.#options;
    const nowMs = clock.nowMs();
    const tryAtMs = placement.nextTryAtMs(this.#admitted);
    if (tryAtMs === undefined || this.#triedIds.length > 0) return false;
    const waitUntilMs = tryAtMs + this.#returnDelayMs();
    this.#pauseWaitUntilMs ??= nowMs + maxPauseWaitMs;
    if (waitUntilMs > Math.min(this.#pauseWaitUntilMs, this.#admitted.deadlineAtMs)) return false;
    await clock.sleepUntil(waitUntilMs);
    return !this.#isOver;
  }

  /** Spreads the requests that wait for the end of a pause, the more urgent ones first. */
  #returnDelayMs(): number {
    const { workspace, route, description } = this.#admitted;
    const rank = Math.min(maxReturnRank, workspace?.priority ?? route.priority);
    const spread = Number(hash64(description.requestId) % BigInt(returnSpreadMs));
    return rank * returnStepMs + spread;
  }

  /** Whether another endpoint could go on with a request that runs at `view`. */
  #canMove(view: EndpointView): boolean {
    const { retries, clock, placement } = this.#options;
    const { route, service } = this.#admitted;
    if (!this.#isRepeatable || this.#isOver) return false;
    if (this.#exchange.hasSentHead && route.kind !== RequestKind.Stream) return false;
    // The attempt in flight is not counted yet.
    if (this.#sends + 1 >= route.maxAttempts) return false;
    if (!retries.canSpend(service.name, clock.nowMs())) return false;
    return placement.isAvailable(this.#admitted, [...this.#triedIds, view.id]);
  }

  /** Whether nobody waits for a response any more. */
  get #isOver(): boolean {
    return this.#exchange.isDisconnected || this.#isExpired;
  }

  /** Whether what is known of the request allows another attempt. */
  #mayRetry(result: AttemptResult): boolean {
    const { clock } = this.#options;
    const { route, deadlineAtMs } = this.#admitted;
    if (result.end === AttemptEnd.Aborted || this.#isOver) return false;
    if (result.response && result.response.status < 500) return false;
    if (this.#mayHaveRun && !this.#isRepeatable) return false;
    if (this.#exchange.hasSentHead && route.kind !== RequestKind.Stream) return false;
    if (deadlineAtMs <= clock.nowMs()) return false;
    if (!result.wasSent) return this.#unsentAttempts < maxUnsentAttempts;
    return this.#sends < route.maxAttempts;
  }

  /** Takes another send off the budget that all daemons share. @returns whether there was one. */
  #spendRetry({ wasSent }: AttemptResult): boolean {
    const { retries, clock } = this.#options;
    return !wasSent || retries.trySpend(this.#admitted.service.name, clock.nowMs());
  }

  /** Ends a request whose prompt has parts under which endpoints crash. */
  #holdBack({ partIds, nextTrialAtMs }: QuarantineEntry): void {
    this.#lastReason = `endpoints crash under parts of its prompt: ${partIds.join(', ')}`;
    this.#heldBackUntilMs = nextTrialAtMs;
    this.#giveUp();
  }

  /**
   * Responds to the caller after the last attempt.
   *
   * @returns false, as no attempt follows.
   */
  #conclude(result: AttemptResult): false {
    const { response } = result;
    if (response && !this.#exchange.hasSentHead && !this.#isExpired) {
      const { codec } = this.#options;
      if (notRunStatuses.has(response.status)) this.#fail(502, result.reason);
      else {
        this.#exchange.respond(
          response.status,
          codec.responseHeaders(response.head.headers),
          response.body,
        );
      }
    } else this.#giveUp();
    return false;
  }

  #onDeadline(): void {
    this.#isExpired = true;
    const attempt = this.#attempt;
    if (attempt) this.#mayHaveRun = true;
    this.#lastReason = 'the deadline passed';
    if (this.#exchange.hasSentHead) {
      this.#log(EventId.RequestBroken, 'response was not complete in time; closing', 0);
      this.#exchange.abort();
    } else this.#fail(504, this.#lastReason);
    attempt?.abort('the deadline passed');
  }

  /** Ends a request that no attempt follows, unless its caller has left or it was answered already. */
  #giveUp(): void {
    if (this.#isOver) return;
    if (this.#exchange.hasSentHead) {
      this.#log(
        EventId.RequestBroken,
        'response could not be completed; closing the connection',
        0,
      );
      this.#exchange.abort();
    } else if (this.#mayHaveRun) this.#fail(502, this.#lastReason);
    else this.#fail(503, this.#lastReason);
  }

  /**
   * Sends a response that the daemon itself generates. Status 503 guarantees that the request did
   * not run, so it is sent only when no endpoint can have run it.
   */
  #fail(status: number, reason: string): void {
    const { codec } = this.#options;
    const { requestId } = this.#admitted.description;
    this.#lastReason = reason;
    const isRefusal = status === 503;
    const event = isRefusal ? EventId.RequestRefused : EventId.RequestBroken;
    this.#log(event, 'request ended without an endpoint response', status);
    const headers = codec.ownResponseHeaders(
      requestId,
      isRefusal ? this.#retryAfterMs() : undefined,
    );
    this.#exchange.respond(status, headers, Buffer.alloc(0));
  }

  #retryAfterMs(): number {
    if (this.#heldBackUntilMs !== undefined)
      return Math.max(retryAfterMs, this.#heldBackUntilMs - this.#options.clock.nowMs());
    const nowMs = this.#options.clock.nowMs();
    const tryAtMs = this.#options.placement.nextTryAtMs(this.#admitted);
    if (tryAtMs !== undefined)
      return Math.max(retryAfterMs, tryAtMs - nowMs + probeMs + this.#returnDelayMs());
    if (this.#sends + this.#unsentAttempts > 0) return retryAfterMs;
    const remainingMs = this.#admitted.deadlineAtMs - nowMs;
    return Math.max(retryAfterMs, Math.min(noEndpointRetryMs, remainingMs * maxRetryAfterRatio));
  }

  #log(event: EventId, message: string, status: number): void {
    const attempt = this.#attempt;
    this.#requestLog.ended(event, message, {
      status,
      reason: this.#lastReason,
      sends: this.#sends + Number(attempt !== undefined),
      mayHaveRun: this.#mayHaveRun || attempt?.mayHaveRun === true,
      writtenAtMs: attempt?.writtenAtMs,
    });
  }
}
