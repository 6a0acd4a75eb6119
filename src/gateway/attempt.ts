import type { IncomingMessage } from 'node:http';
import { CompactBytes } from '../core/compact-bytes.js';
import type { Clock } from '../core/index.js';
import type { ReadTurns } from '../core/read-turns.js';
import { isFramed } from '../core/response-framing.js';
import type { EndpointView, StallDetector } from '../fleet/index.js';
import { StallCause } from '../fleet/index.js';
import type { AdmittedRequest, CallerExchange } from './caller-exchange.js';
import { HeldKind } from './caller-memory.js';
import type { EndpointConnections, EndpointRequest, PendingSend } from './endpoint-connections.js';
import { EventSplitter } from './event-splitter.js';
import type { ResponseDescription, RequestCodec } from './request-codec.js';
import { ProgressState, ResponseProgress, type ProgressAges } from './response-progress.js';
import { RequestKind, type TrafficRoute } from './traffic-config.js';

/** How an attempt at one endpoint ended. */
export enum AttemptEnd {
  /** The caller received the complete response. */
  Delivered = 'delivered',
  /** The endpoint sent an error response that can be forwarded. */
  FailedAnswer = 'failed_answer',
  /** The endpoint provably did not run the request. */
  NotRun = 'not_run',
  /** Failed before the response was complete; the request may have run. */
  Broken = 'broken',
  /** Ended by the gateway: the caller disconnected, or the deadline passed. */
  Aborted = 'aborted',
  /** Not sent, as the endpoint began to leave or to pause while the connection to it was opened. */
  EndpointLeft = 'endpoint_left',
}

/** Result of an attempt. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Cause, for the log. */
  readonly reason: string;
  /** Whether the request may have reached the endpoint. */
  readonly wasSent: boolean;
  /** Whether the head of a response was received. */
  readonly hasResponse: boolean;
  /** Whether the response told its own end, by a length or by chunks. */
  readonly isFramed: boolean;
  /**
   * Whether the endpoint closed a kept connection before the request was written to it, which says
   * nothing about the endpoint.
   */
  readonly hasLostKeptConnection: boolean;
  readonly ages: ProgressAges;
  /** Set for {@link AttemptEnd.FailedAnswer} only. */
  readonly response?: BufferedResponse;
}

/** A response that was read completely. */
export interface BufferedResponse {
  readonly status: number;
  readonly head: IncomingMessage;
  readonly body: Buffer;
}

/** Progress of a stream across the attempts of one request. */
export interface StreamProgress {
  /** Id of the last event that was forwarded, initially the one named in the caller's request. */
  lastEventId: string | undefined;
  /** Events forwarded so far. */
  events: number;
}

/** Receives what an attempt observes of its endpoint. */
export abstract class AttemptObserver {
  /** The response head was received. */
  abstract responded(response: ResponseDescription): void;
  /** Nothing listens at the endpoint's address. */
  abstract refused(): void;
  /** The endpoint sends nothing and does not respond to a probe; the attempt goes on. */
  abstract silent(): void;
  /**
   * Asked before data is forwarded to the caller.
   *
   * @param hasContent - whether it is more than comments of a stream.
   */
  abstract mayForward(hasContent: boolean): boolean;
  /**
   * Asked before an error response is forwarded that is too large to be kept until its end.
   *
   * @returns false if the caller must not get it: something else may still answer the request, or the
   * status would promise what the endpoint did not say.
   */
  abstract mayForwardError(status: number): boolean;
  /** The request has started to run: its first event or its body was received. */
  abstract began(): void;
  /**
   * More events of a stream were received.
   *
   * @param events - number of new events.
   * @param elapsedMs - milliseconds since the previous data of the response.
   */
  abstract progressed(events: number, elapsedMs: number): void;
}

/** Options of {@link Attempt}. */
export interface AttemptOptions {
  readonly exchange: CallerExchange;
  readonly admitted: AdmittedRequest;
  readonly view: EndpointView;
  readonly request: EndpointRequest;
  readonly progress: StreamProgress;
  readonly connections: EndpointConnections;
  readonly codec: RequestCodec;
  readonly stallDetector: StallDetector;
  readonly observer: AttemptObserver;
  readonly readTurns: ReadTurns;
  /** Whether the endpoint still takes the request; asked when the connection to it stands. */
  readonly mayTake: () => boolean;
  readonly clock: Clock;
}

/**
 * Responses up to this size are buffered completely before anything is forwarded, so that the
 * request can be retried when the response breaks off.
 */
const maxBufferedBytes = 1_048_576;
const maxShortBufferedBytes = 65_536;

/**
 * Callers leave a stream after a gap of two seconds, four times the objective for the first event
 * or eight times that between events, whichever is longest. A stream that sends bytes but no event
 * for that long serves nobody.
 */
const minStallTimeoutMs = 2_000;
const stallObjectiveRatio = 4;
const stallGapRatio = 8;

/** Sends a request to one endpoint once and forwards the response to the caller. */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #resolve: (result: AttemptResult) => void;
  readonly #cancelIdleCheck: () => void;
  /** Resolves when the attempt has ended; never rejects. */
  readonly result: Promise<AttemptResult>;
  #send: PendingSend | undefined;
  #response: IncomingMessage | undefined;
  #isEnded = false;
  /** Bytes of a response that are kept before anything is forwarded. */
  #bufferedBytes = 0;
  readonly #responseProgress: ResponseProgress;

  constructor(options: AttemptOptions) {
    this.#options = options;
    let resolveResult: (result: AttemptResult) => void = () => undefined;
    this.result = new Promise((resolve) => (resolveResult = resolve));
    this.#resolve = resolveResult;
    const { clock, admitted } = options;
    this.#responseProgress = new ResponseProgress(clock, stallTimeoutMs(admitted.route));
    this.#cancelIdleCheck = this.#watchIdle();
    this.#send = options.connections.send(options.request, {
      mayWrite: () => this.#mayWrite(),
      responded: (response) => {
        this.#guard(() => {
          this.#onResponse(response);
        });
      },
      broken: (reason) => {
        // A framed response that was read completely is valid although its connection failed later.
        if (!this.#response?.complete) this.#finish(AttemptEnd.Broken, reason);
      },
      failed: (reason, mayHaveRun, isRefused) => {
        if (isRefused) options.observer.refused();
        this.#finish(mayHaveRun ? AttemptEnd.Broken : AttemptEnd.NotRun, reason);
      },
    });
    if (this.#isEnded) this.#send.abort();
  }

  /** Whether the endpoint may have run the request. */
  get mayHaveRun(): boolean {
    return this.#response !== undefined || (this.#send?.mayHaveRun ?? false);
  }

  /** Time at which the request was written to the endpoint, in epoch milliseconds; undefined before. */
  get writtenAtMs(): number | undefined {
    return this.#send?.writtenAtMs;
  }

  /** Ends the attempt and closes its connection; nothing is held against its endpoint. */
  abort(reason: string): void {
    this.#finish(AttemptEnd.Aborted, reason);
  }

  /** Ends the attempt as broken, and closes its connection. */
  giveUp(reason: string): void {
    this.#finish(AttemptEnd.Broken, reason);
  }

  #mayWrite(): boolean {
    const { exchange, mayTake } = this.#options;
    if (exchange.isDisconnected) this.#finish(AttemptEnd.Aborted, 'the caller disconnected');
    else if (!mayTake()) this.#finish(AttemptEnd.EndpointLeft, 'the endpoint is leaving or pauses');
    return !this.#isEnded;
  }

  #onResponse(response: IncomingMessage): void {
    const { codec, admitted, observer, view, stallDetector, readTurns } = this.#options;
    this.#response = response;
    stallDetector.recordData(view.id);
    this.#responseProgress.recordProgress();
    const reads = readTurns.shareOf(response, () => view.id);
    response.on('data', () => {
      stallDetector.recordData(view.id);
      reads.count();
    });
    response.on('error', (error) => {
      this.#finish(AttemptEnd.Broken, error.message);
    });
    response.on('close', () => {
      this.#finish(AttemptEnd.Broken, 'connection closed before the response was complete');
    });
    const status = response.statusCode ?? 0;
    const described = codec.describeResponse(status, response.headers);
    if (
      described.requestId !== admitted.description.requestId &&
      (described.requestId !== undefined || this.#send?.isOnReusedConnection)
    ) {
      this.#finish(AttemptEnd.Broken, 'response does not carry the id of the request');
      return;
    }
    observer.responded(described);
    if (described.isNotRun) {
      this.#finish(AttemptEnd.NotRun, `refused with status ${status}`);
      return;
    }
    if (!this.#canForward(status)) {
      this.#finish(AttemptEnd.Broken, `response with status ${status} cannot be forwarded`);
      return;
    }
    if (status < 300 && !described.isSigned) {
      this.#finish(AttemptEnd.Broken, 'response carries no endpoint signature');
      return;
    }
    if (admitted.route.kind === RequestKind.Stream && status === 200) this.#relayEvents(response);
    else this.#bufferResponse(response, status);
  }

  /** Whether a status goes on with a response whose head was sent. */
  #canForward(status: number): boolean {
    return !this.#options.exchange.hasSentHead || status === 200 || status >= 400;
  }

  #relayEvents(response: IncomingMessage): void {
    const { exchange, progress, observer } = this.#options;
    const splitter = new EventSplitter();
    this.#listen(response, 'data', (chunk) => {
      const events = splitter.push(chunk);
      if (!events?.count) this.#responseProgress.recordPartialEvent();
      if (!events || this.#isEnded || !observer.mayForward(events.count > 0)) return;
      if (events.count > 0) {
        const elapsedMs = this.#responseProgress.ages.sinceEventMs;
        this.#responseProgress.recordProgress(splitter.pendingBytes > 0);
        if (progress.events === 0) observer.began();
        progress.events += events.count;
        progress.lastEventId = events.lastEventId ?? progress.lastEventId;
        observer.progressed(events.count, elapsedMs);
      }
      this.#beginStream(response);
      if (!exchange.write(events.bytes)) this.#block(response);
    });
    this.#listen(response, 'end', () => {
      // Only one that resumes a stream may have nothing to send.
      const isFresh = progress.events === 0 && progress.lastEventId === undefined;
      if (isFresh && !isFramed(response.headers)) {
        this.#finish(AttemptEnd.Broken, 'stream ended before its first event');
        return;
      }
      if (!response.complete || splitter.pendingBytes > 0) {
        this.#finish(AttemptEnd.Broken, 'stream ended in the middle of an event');
        return;
      }
      if (this.#isEnded || !observer.mayForward(true)) return;
      this.#beginStream(response);
      exchange.end();
      this.#finish(AttemptEnd.Delivered, 'delivered');
    });
  }

  /** Sends the head of the first response that brings events; those that resume it have none. */
  #beginStream(response: IncomingMessage): void {
    const { exchange, codec } = this.#options;
    if (!exchange.hasSentHead) exchange.writeHead(200, codec.responseHeaders(response.headers));
  }

  /** Calls `listener` with the events of a response; an error in it ends the attempt. */
  #listen(
    response: IncomingMessage,
    event: 'data' | 'end',
    listener: (chunk: Buffer) => void,
  ): void {
    response.on(event, (chunk: Buffer) => {
      this.#guard(() => {
        listener(chunk);
      });
    });
  }

  /** Without this, an error would leave the request without an answer until its deadline. */
  #guard(action: () => void): void {
    try {
      action();
    } catch (error) {
      this.#finish(AttemptEnd.Broken, error instanceof Error ? error.message : String(error));
    }
  }

  #bufferResponse(response: IncomingMessage, status: number): void {
    const buffered = new CompactBytes(lengthOf(response));
    let isForwarding = false;
    this.#listen(response, 'data', (chunk) => {
      this.#responseProgress.recordProgress();
      if (isForwarding) {
        this.#forward(response, chunk);
        return;
      }
      buffered.append(chunk);
      this.#countBuffered(buffered.heldBytes);
      if (buffered.bytes <= this.#maxBufferedBytes || !this.#mayForwardUnfinished(status)) return;
      const { exchange, codec, observer } = this.#options;
      isForwarding = true;
      observer.began();
      exchange.writeHead(status, codec.responseHeaders(response.headers));
      this.#countBuffered(0);
      this.#forward(response, buffered.take());
    });
    this.#listen(response, 'end', () => {
      if (!response.complete) {
        this.#finish(AttemptEnd.Broken, 'connection closed before the response was complete');
        return;
      }
      if (isForwarding) this.#options.exchange.end();
      else this.#deliver(response, status, buffered.take());
      this.#finish(AttemptEnd.Delivered, 'delivered');
    });
  }

  /** Less while memory is short, so that callers take what is there. */
  get #maxBufferedBytes(): number {
    const { account } = this.#options.exchange;
    return account?.isMemoryShort ? maxShortBufferedBytes : maxBufferedBytes;
  }

  #countBuffered(bytes: number): void {
    this.#options.exchange.account?.add(HeldKind.Buffered, bytes - this.#bufferedBytes);
    this.#bufferedBytes = bytes;
  }

  /** Whether a response that is too large to be kept is forwarded; one that is not ends the attempt. */
  #mayForwardUnfinished(status: number): boolean {
    const { observer } = this.#options;
    if (this.#isEnded) return false;
    if (status < 400) return observer.mayForward(true);
    if (observer.mayForwardError(status)) return true;
    this.#finish(AttemptEnd.Broken, `error response with status ${status} is too large to be kept`);
    return false;
  }

  #forward(response: IncomingMessage, bytes: Buffer): void {
    if (!this.#options.exchange.write(bytes)) this.#block(response);
  }

  /** Reads no more of a response until its caller takes data again. */
  #block(response: IncomingMessage): void {
    this.#responseProgress.block();
    response.pause();
    this.#options.exchange.onDrain(() => {
      this.#responseProgress.unblock();
      response.resume();
    });
  }

  #deliver(response: IncomingMessage, status: number, body: Buffer): void {
    const { exchange, codec, observer } = this.#options;
    if (this.#isEnded) return;
    if (status >= 400) {
      observer.began();
      this.#finish(AttemptEnd.FailedAnswer, `endpoint responded with status ${status}`, {
        status,
        head: response,
        body,
      });
      return;
    }
    if (!observer.mayForward(true)) return;
    observer.began();
    exchange.respond(status, codec.responseHeaders(response.headers), body);
  }

  /** Checks regularly whether the attempt makes progress. */
  #watchIdle(): () => void {
    const { clock } = this.#options;
    let cancel: () => void = () => undefined;
    const arm = (): void => {
      if (this.#isEnded) return;
      cancel = clock.schedule(this.#responseProgress.nextCheckAtMs, () => {
        void this.#checkProgress().then(arm);
      });
    };
    arm();
    return () => {
      cancel();
    };
  }

  async #checkProgress(): Promise<void> {
    if (this.#isEnded) return;
    const { state } = this.#responseProgress;
    if (state === ProgressState.Silent) await this.#checkSilence();
    else if (state === ProgressState.Stalled)
      this.#finish(AttemptEnd.Broken, 'endpoint sent bytes but no complete event');
  }

  /**
   * Silence alone is no failure. An endpoint that is busy responds to a probe on a new connection or
   * sends data on another one; one that does neither may be gone, or only be paused.
   */
  async #checkSilence(): Promise<void> {
    const { stallDetector, view, observer } = this.#options;
    if ((await stallDetector.diagnose(view)) !== StallCause.Unreachable) return;
    if (this.#isEnded || this.#responseProgress.state !== ProgressState.Silent) return;
    observer.silent();
  }

  #finish(end: AttemptEnd, reason: string, response?: BufferedResponse): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#countBuffered(0);
    this.#cancelIdleCheck();
    // Read from the connection itself, however the attempt ends: a request that was written may
    // have run although no response was received.
    const wasSent = this.mayHaveRun;
    // Closing the connection makes the endpoint stop its work. After a complete response it stays
    // open for reuse.
    if (end !== AttemptEnd.Delivered && end !== AttemptEnd.FailedAnswer) this.#send?.abort();
    const isOnKeptConnection = this.#send?.isOnReusedConnection ?? false;
    const hasLostKeptConnection = end === AttemptEnd.NotRun && !wasSent && isOnKeptConnection;
    this.#resolve({
      end,
      reason,
      wasSent,
      hasResponse: this.#response !== undefined,
      isFramed: isFramed(this.#response?.headers ?? {}),
      hasLostKeptConnection,
      ages: this.#responseProgress.ages,
      ...(response ? { response } : {}),
    });
  }
}

/** Time for which a stream may send bytes without a complete event, in milliseconds. */
function stallTimeoutMs({ objectiveMs, objectiveBetweenEventsMs }: TrafficRoute): number {
  return Math.max(
    minStallTimeoutMs,
    stallObjectiveRatio * objectiveMs,
    stallGapRatio * objectiveBetweenEventsMs,
  );
}

/** Bytes that a response announces, as far as they are kept; undefined if it announces none. */
function lengthOf({ headers }: IncomingMessage): number | undefined {
  const length = Number(headers['content-length']);
  return length >= 0 ? Math.min(length, maxBufferedBytes) : undefined;
}
