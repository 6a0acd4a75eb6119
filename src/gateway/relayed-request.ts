import { WorkClass } from '../core/index.js';
import { EngineFailure } from '../engine/engine-error.js';
import type { EndpointView } from '../fleet/index.js';
import { sharedPartsOf } from '../fleet/prompt-prefix.js';
import type { BrokenRequest } from '../quarantine/crash-detector.js';
import type { QuarantineEntry } from '../quarantine/quarantine-entry.js';
import { SendEnd, type SendTrack } from '../rollout/rollout-tracker.js';
import { EventId } from '../telemetry/index.js';
import {
  Attempt,
  AttemptEnd,
  type AttemptObserver,
  type AttemptResult,
  type BufferedResponse,
  type StreamProgress,
} from './attempt.js';
import { AttemptRace, type EndedAttempt } from './attempt-race.js';
import type { AdmittedRequest, CallerExchange } from './caller-exchange.js';
import type { EndpointRequest } from './endpoint-connections.js';
import type { ResponseDescription } from './request-codec.js';
import { RequestLog } from './request-log.js';
import type { RequestRelayOptions } from './request-relay.js';
import { ReturnTimes } from './return-times.js';
import { RunningAttempt, RunningAttemptObserver } from './running-attempt.js';
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

/** The state of one request while it is relayed; see {@link RequestRelay}. */
export class RelayedRequest extends RunningAttemptObserver {
  readonly #options: RequestRelayOptions;
  readonly #exchange: CallerExchange;
  readonly #admitted: AdmittedRequest;
  readonly #triedIds: string[] = [];
  readonly #progress: StreamProgress;
  readonly #requestLog: RequestLog;
  readonly #returnTimes: ReturnTimes;
  readonly #partIds: readonly string[];
  readonly #race = new AttemptRace({
    onEnded: (ended) => {
      this.#recordEnd(ended);
    },
    isDecisive: (result) => this.#isDecisive(result),
  });
  /** Checks whether the endpoints of ended attempts have crashed, while they last. */
  readonly #crashChecks = new Set<Promise<void>>();
  /** Attempts in the evidence on versions, while rollouts are supported. */
  readonly #tracks = new WeakMap<RunningAttempt, SendTrack>();
  #isFirstTrack = true;
  /** Endpoints that crashed, possibly under this request. */
  #crashedEndpoints = 0;
  /** The last error response of an endpoint, in case nothing better comes. */
  #failedResponse: BufferedResponse | undefined;
  #sends = 0;
  #unsentAttempts = 0;
  /** Whether an endpoint may have run the request. */
  #mayHaveRun = false;
  #hasBegun = false;
  /** Time until which its prompt is kept from endpoints; undefined if it is not. */
  #heldBackUntilMs: number | undefined;
  /** Whether the gateway has answered in the place of an endpoint, at the deadline or the stop. */
  #isExpired = false;
  #lastReason = 'no endpoint is available';

  constructor(options: RequestRelayOptions, exchange: CallerExchange, admitted: AdmittedRequest) {
    super();
    this.#options = options;
    this.#exchange = exchange;
    this.#admitted = admitted;
    this.#progress = { lastEventId: admitted.description.lastEventId, events: 0 };
    this.#requestLog = new RequestLog(options, admitted);
    this.#returnTimes = new ReturnTimes({ ...options, admitted });
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
      // An at-most-once request that may run continues: its outcome matters without the caller too.
      if (route.kind === RequestKind.AtMostOnce && this.#race.mayHaveRun) return;
      this.#race.abort('the caller disconnected');
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
    this.#isExpired = true;
    this.#mayHaveRun ||= this.#race.mayHaveRun;
    this.#lastReason = reason;
    this.#fail(this.#mayHaveRun ? 502 : 503, reason);
    this.#race.abort(reason);
  }

  override responded({ view, sentAtMs }: RunningAttempt, response: ResponseDescription): void {
    const { registry, clock, guard, notices, pauses } = this.#options;
    guard.endpointResponded(view.id);
    const { load, notice, isNotRun } = response;
    notices.apply(view.id, notice);
    if (!isNotRun) pauses.accepted(view.id, sentAtMs, clock.nowMs());
    if (!load) return;
    this.#options.placement.recordReport(view, load);
    registry.recordLoadReport(view.id, {
      runningRequests: load.runningRequests,
      queuedRequests: load.queuedRequests,
      // Responses do not report it, and routing does not use it.
      kvUsedRatio: 0,
      observedAtMs: clock.nowMs(),
    });
  }

  override refused({ view }: RunningAttempt): void {
    this.#options.guard.endpointRefused(view.id);
  }

  override silent(running: RunningAttempt): void {
    this.#options.registry.recordFailure(running.view.id, EngineFailure.TimedOut);
    this.#askAnother(running);
  }

  override mayForward(running: RunningAttempt, hasContent: boolean): boolean {
    const mayForward = this.#race.mayForward(running, hasContent);
    if (mayForward) this.#requestLog.sentTo(running.view);
    return mayForward;
  }

  override mayForwardError(running: RunningAttempt, status: number): boolean {
    if (this.#exchange.hasSentHead || notRunStatuses.has(status)) return false;
    if (status >= 500 && (this.#race.size > 1 || this.#canFollow())) return false;
    return this.#race.mayForward(running, true);
  }

  override began(): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.#options.usage.began(this.#admitted, this.#options.clock.nowMs());
  }

  override firstEvents(running: RunningAttempt, events: number): void {
    const { view, sentAtMs } = running;
    this.#tracks.get(running)?.progressed(events);
    this.#requestLog.progressed(events);
    const elapsedMs = this.#options.clock.nowMs() - sentAtMs;
    this.#options.placement.recordFirstEvent(view, this.#admitted, elapsedMs, events);
  }

  override progressed(running: RunningAttempt, events: number, elapsedMs: number): void {
    const { view } = running;
    this.#tracks.get(running)?.progressed(events);
    this.#requestLog.progressed(events);
    this.#options.placement.recordProgress(view, events, elapsedMs, this.#admitted);
  }

  /**
   * Makes one attempt, and further ones beside it while endpoints are silent.
   *
   * @returns whether another attempt should follow.
   */
  async #tryOnce(): Promise<boolean> {
    const { placement, guard } = this.#options;
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
    this.#start(view);
    const { result } = await this.#race.decided();
    if (result.end === AttemptEnd.Delivered) {
      // Only requests that needed a retry are logged; a line for each request would hide them.
      if (this.#sends + this.#unsentAttempts > 1) this.#requestLog.retried(this.#sends);
      return false;
    }
    if (!this.#mayRetry(result)) return this.#conclude(result);
    await Promise.all(this.#crashChecks);
    // Meanwhile the caller may have left, or its time may be over; both were dealt with then.
    if (this.#isOver) return false;
    const mayCrashMore = this.#crashedEndpoints < maxCrashedEndpoints;
    return (mayCrashMore && this.#spendRetry(result)) || this.#conclude(result);
  }

  /** Whether the end of an attempt answers the request, whatever another one would bring. */
  #isDecisive({ end, response }: AttemptResult): boolean {
    if (end === AttemptEnd.Delivered) return true;
    if (!response || this.#exchange.hasSentHead) return false;
    return response.status < 500 && !notRunStatuses.has(response.status);
  }

  /**
   * Tells the guard of prompts how an attempt ended.
   *
   * @returns whether its endpoint has crashed, possibly under this request.
   */
  async #observeCrash(running: RunningAttempt, result: AttemptResult): Promise<boolean> {
    const { guard, placement } = this.#options;
    const { view, sentAtMs, firstEventAtMs, lastEventAtMs } = running;
    const request: BrokenRequest = {
      endpointId: view.id,
      baseUrl: view.baseUrl,
      requestId: this.#admitted.description.requestId,
      partIds: this.#partIds,
      sentAtMs,
      firstEventAtMs,
      lastEventAtMs,
    };
    // The end of a process that is leaving has nothing to do with its requests.
    const isStaying = placement.isStaying(view.id);
    if (result.end === AttemptEnd.Delivered) {
      if (result.isFramed) guard.answered(request);
      else if (isStaying) guard.answerMayBeCut(request);
    }
    if (result.end !== AttemptEnd.Broken || !result.wasSent || !isStaying) return false;
    return guard.requestBroke(request);
  }

  /** Starts an attempt. */
  #start(view: EndpointView): void {
    const { registry, placement, pauses, clock } = this.#options;
    const request = this.#endpointRequest(view);
    placement.recordSent(view, this.#admitted);
    const running = new RunningAttempt({
      view,
      observer: this,
      inFlightRequest: registry.beginRequest(
        view.id,
        WorkClass.Short,
        placement.pendingTokens(this.#admitted),
      ),
      endProbe: pauses.began(view.id, clock.nowMs()),
      clock,
    });
    this.#requestLog.sentTo(view);
    this.#track(running);
    const result = running.run((observer) => this.#createAttempt(view, request, observer));
    this.#race.add(running, result);
  }

  #track(running: RunningAttempt): void {
    const { route, service } = this.#admitted;
    const track = this.#options.rollouts?.sent({
      serviceName: service.name,
      routeName: route.name,
      objectiveMs: route.objectiveMs,
      version: running.view.version,
      isFirst: this.#isFirstTrack,
    });
    this.#isFirstTrack = false;
    if (track) this.#tracks.set(running, track);
  }

  #endpointRequest(view: EndpointView): EndpointRequest {
    const { codec, clock, endpoints, placement } = this.#options;
    const { request } = this.#exchange;
    const admitted = this.#admitted;
    return {
      baseUrl: view.baseUrl,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: codec.forwardedHeaders(request.headers, {
        workspaceName: admitted.workspace?.name,
        instanceId: endpoints.instanceIdOf(view),
        remainingMs: admitted.deadlineAtMs - clock.nowMs(),
        priority: placement.priorityOf(admitted),
        lastEventId: this.#progress.lastEventId,
      }),
      body: admitted.body,
      // The endpoint may be closing a reused connection, or send the response to an earlier
      // request on it. Whether this request ran would then be unknown.
      mayReuseConnection: this.#isRepeatable,
    };
  }

  #createAttempt(view: EndpointView, request: EndpointRequest, observer: AttemptObserver): Attempt {
    const { placement } = this.#options;
    return new Attempt({
      ...this.#options,
      exchange: this.#exchange,
      admitted: this.#admitted,
      view,
      request,
      progress: this.#progress,
      observer,
      mayTake: () => placement.mayTake(view.id),
    });
  }

  /** Records the end of an attempt. */
  #recordEnd({ running, result }: EndedAttempt): void {
    const { view, sentAtMs } = running;
    this.#recordResult(view, result);
    const isDelivered = result.end === AttemptEnd.Delivered;
    this.#options.placement.recordEnded(view, this.#admitted, isDelivered);
    this.#checkCrash(running, result);
    if (result.end !== AttemptEnd.Delivered && result.end !== AttemptEnd.Aborted)
      this.#requestLog.attemptFailed(view, result, sentAtMs);
  }

  #checkCrash(running: RunningAttempt, result: AttemptResult): void {
    const track = this.#tracks.get(running);
    track?.closed();
    const isStaying = this.#options.placement.isStaying(running.view.id);
    const check = this.#observeCrash(running, result).then((hasCrashed) => {
      track?.ended(sendEndOf(result, isStaying && !hasCrashed));
      this.#crashedEndpoints += Number(hasCrashed);
      this.#crashChecks.delete(check);
    });
    this.#crashChecks.add(check);
  }

  #recordResult(view: EndpointView, result: AttemptResult): void {
    const { registry, metrics } = this.#options;
    metrics.countAttempt(this.#admitted.service.name, result.end);
    // The endpoint may take the request on another connection.
    if (!result.hasLostKeptConnection) this.#triedIds.push(view.id);
    this.#lastReason = result.reason;
    this.#failedResponse = result.response ?? this.#failedResponse;
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
   * Waits for the end of a pause that comes soon, so that a caller needs not come back for it.
   *
   * @returns whether to try again.
   */
  async #waitForPause(): Promise<boolean> {
    if (this.#triedIds.length > 0) return false;
    const waitUntilMs = this.#returnTimes.waitUntilMs();
    if (waitUntilMs === undefined) return false;
    await this.#options.clock.sleepUntil(waitUntilMs);
    return !this.#isOver;
  }

  /**
   * Asks another endpoint to go on with a request whose endpoint is silent. The first attempt stays
   * open until the second one has something to forward: a sound endpoint may go on after a while,
   * and the other one may refuse or fail.
   */
  #askAnother(running: RunningAttempt): void {
    const silent = running.view;
    const { retries, clock, placement } = this.#options;
    if (!this.#race.isSilent || !this.#canFollow()) return;
    const view = placement.choose(this.#admitted, this.#excludedIds());
    if (!view || !retries.trySpend(this.#admitted.service.name, clock.nowMs())) return;
    this.#requestLog.askedAnother(silent, view);
    this.#start(view);
  }

  /** Whether an attempt at another endpoint could follow now on those in flight. */
  #canFollow(): boolean {
    const { retries, clock, placement, guard } = this.#options;
    const { route, service } = this.#admitted;
    if (!this.#isRepeatable || this.#isOver) return false;
    if (this.#exchange.hasSentHead && route.kind !== RequestKind.Stream) return false;
    if (this.#sends + this.#race.size >= route.maxAttempts) return false;
    // An endpoint that may have crashed under it is looked at first.
    if (this.#crashChecks.size > 0 || this.#crashedEndpoints >= maxCrashedEndpoints) return false;
    if (guard.find(this.#partIds)) return false;
    if (!retries.canSpend(service.name, clock.nowMs())) return false;
    return placement.isAvailable(this.#admitted, this.#excludedIds());
  }

  /** Endpoints that were tried or have the request now. */
  #excludedIds(): string[] {
    return [...this.#triedIds, ...this.#race.endpointIds];
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
    if (this.#sends >= route.maxAttempts) return false;
    return result.wasSent || this.#unsentAttempts < maxUnsentAttempts;
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
    const response = result.response ?? this.#failedResponse;
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
    if (this.#race.size > 0) this.#mayHaveRun = true;
    this.#lastReason = 'the deadline passed';
    if (this.#exchange.hasSentHead) {
      this.#log(EventId.RequestBroken, 'response was not complete in time; closing', 0);
      this.#exchange.abort();
    } else this.#fail(504, this.#lastReason);
    this.#race.abort('the deadline passed');
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
    return this.#returnTimes.retryAfterMs({
      hasTried: this.#sends + this.#unsentAttempts > 0,
      heldBackUntilMs: this.#heldBackUntilMs,
    });
  }

  #log(event: EventId, message: string, status: number): void {
    this.#requestLog.ended(event, message, {
      status,
      reason: this.#lastReason,
      sends: this.#sends + this.#race.size,
      mayHaveRun: this.#mayHaveRun || this.#race.mayHaveRun,
      writtenAtMs: this.#race.writtenAtMs,
    });
  }
}

/** What the end of an attempt says of its endpoint's version. */
function sendEndOf({ end, wasSent, response }: AttemptResult, isEndpointThere: boolean): SendEnd {
  if (end === AttemptEnd.Delivered) return SendEnd.Answered;
  if (end === AttemptEnd.FailedAnswer)
    return (response?.status ?? 0) >= 500 ? SendEnd.Failed : SendEnd.Answered;
  return end === AttemptEnd.Broken && wasSent && isEndpointThere ? SendEnd.Failed : SendEnd.Other;
}
