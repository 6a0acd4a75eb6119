import type { IncomingMessage } from 'node:http';
import type { Clock } from '../core/index.js';
import type { EndpointView, StallDetector } from '../fleet/index.js';
import { StallCause } from '../fleet/index.js';
import type { AdmittedRequest, CallerExchange } from './caller-exchange.js';
import type { EndpointConnections, EndpointRequest, PendingSend } from './endpoint-connections.js';
import { EventSplitter } from './event-splitter.js';
import type { ResponseDescription, RequestCodec } from './request-codec.js';
import { RequestKind } from './traffic-config.js';

/** How an attempt at one endpoint ended. */
export enum AttemptEnd {
  /** The caller has the whole answer. */
  Delivered = 'delivered',
  /** The endpoint answered with a failure that can be passed on. */
  FailedAnswer = 'failed_answer',
  /** Provably not run. */
  NotRun = 'not_run',
  /** Broken before the whole answer; the request may have run. */
  Broken = 'broken',
  /** Ended from this side: the caller left, or the deadline passed. */
  Aborted = 'aborted',
}

/** Result of an attempt. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** For the log. */
  readonly reason: string;
  /** Whether the request may have reached the endpoint. */
  readonly wasSent: boolean;
  /** Answer for {@link AttemptEnd.FailedAnswer}. */
  readonly response?: BufferedResponse;
}

/** An answer that was read to its end. */
export interface BufferedResponse {
  readonly status: number;
  readonly head: IncomingMessage;
  readonly body: Buffer;
}

/** What the relay keeps of a stream over its attempts. */
export interface StreamProgress {
  /** Id of the last event that the caller has, or that it named when it asked. */
  lastEventId: string | undefined;
  events: number;
}

/** Told about what an attempt learns of its endpoint. */
export abstract class AttemptObserver {
  /** The head of an answer came. */
  abstract responded(view: EndpointView, response: ResponseDescription): void;
  /** The work began: the first event or the whole answer is here. */
  abstract began(): void;
  /** @param events - new events; `elapsedMs` since the events before. */
  abstract progressed(view: EndpointView, events: number, elapsedMs: number): void;
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
  readonly clock: Clock;
}

/** Answers up to this size are read whole before a byte goes out, so that a broken one can be repeated. */
const maxBufferedBytes = 1_048_576;

/** Silence after which an endpoint is asked on a new connection whether it lives. */
const idleBeforeProbeMs = 1_200;

/** One send of a request to one endpoint. */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #resolve: (result: AttemptResult) => void;
  readonly #cancelIdleCheck: () => void;
  /** Settles when the attempt has ended. */
  readonly result: Promise<AttemptResult>;
  #send: PendingSend | undefined;
  #response: IncomingMessage | undefined;
  #isEnded = false;
  #lastReceivedAtMs: number;

  constructor(options: AttemptOptions) {
    this.#options = options;
    let resolveResult: (result: AttemptResult) => void = () => undefined;
    this.result = new Promise((resolve) => (resolveResult = resolve));
    this.#resolve = resolveResult;
    this.#lastReceivedAtMs = options.clock.nowMs();
    this.#cancelIdleCheck = this.#watchIdle();
    this.#send = options.connections.send(options.request, {
      responded: (response) => {
        this.#onResponse(response);
      },
      broken: (reason) => {
        // An answer that was framed and read whole before the connection failed is whole.
        if (!this.#response?.complete) this.#finish(AttemptEnd.Broken, reason);
      },
      failed: (reason, mayHaveRun) => {
        this.#finish(mayHaveRun ? AttemptEnd.Broken : AttemptEnd.NotRun, reason);
      },
    });
    if (this.#isEnded) this.#send.abort();
  }

  /** Ends the attempt and closes its connection. */
  abort(reason: string): void {
    this.#finish(AttemptEnd.Aborted, reason);
  }

  #onResponse(response: IncomingMessage): void {
    const { codec, admitted, observer, view } = this.#options;
    this.#response = response;
    this.#lastReceivedAtMs = this.#options.clock.nowMs();
    response.on('error', (error) => {
      this.#finish(AttemptEnd.Broken, error.message);
    });
    response.on('close', () => {
      this.#finish(AttemptEnd.Broken, 'the answer broke off');
    });
    const status = response.statusCode ?? 0;
    const described = codec.describeResponse(status, response.headers);
    if (
      described.requestId !== undefined &&
      described.requestId !== admitted.description.requestId
    ) {
      this.#finish(AttemptEnd.Broken, 'the answer belongs to another request');
      return;
    }
    observer.responded(view, described);
    if (described.isNotRun) {
      this.#finish(AttemptEnd.NotRun, `refused with status ${status}`);
      return;
    }
    if (status < 300 && !described.isSigned) {
      this.#finish(AttemptEnd.Broken, 'the answer carries no signature');
      return;
    }
    if (admitted.route.kind === RequestKind.Stream && status === 200) this.#relayEvents(response);
    else this.#bufferResponse(response, status);
  }

  #relayEvents(response: IncomingMessage): void {
    const { exchange, codec, progress, observer, view, clock } = this.#options;
    const splitter = new EventSplitter();
    response.on('data', (chunk: Buffer) => {
      const nowMs = clock.nowMs();
      const elapsedMs = nowMs - this.#lastReceivedAtMs;
      this.#lastReceivedAtMs = nowMs;
      const events = splitter.push(chunk);
      if (!events || this.#isEnded) return;
      if (progress.events === 0) observer.began();
      progress.events += events.count;
      progress.lastEventId = events.lastEventId ?? progress.lastEventId;
      observer.progressed(view, events.count, elapsedMs);
      exchange.writeHead(200, codec.responseHeaders(response.headers));
      if (exchange.write(events.bytes)) return;
      response.pause();
      exchange.onDrain(() => response.resume());
    });
    response.on('end', () => {
      if (!response.complete || splitter.pendingBytes > 0) {
        this.#finish(AttemptEnd.Broken, 'the stream ended in the middle of an event');
        return;
      }
      if (this.#isEnded) return;
      exchange.writeHead(200, codec.responseHeaders(response.headers));
      exchange.end();
      this.#finish(AttemptEnd.Delivered, 'delivered');
    });
  }

  #bufferResponse(response: IncomingMessage, status: number): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isForwarding = false;
    response.on('data', (chunk: Buffer) => {
      this.#lastReceivedAtMs = this.#options.clock.nowMs();
      if (isForwarding) {
        this.#forward(response, chunk);
        return;
      }
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes <= maxBufferedBytes) return;
      isForwarding = true;
      const { exchange, codec, observer } = this.#options;
      observer.began();
      exchange.writeHead(status, codec.responseHeaders(response.headers));
      this.#forward(response, Buffer.concat(chunks));
    });
    response.on('end', () => {
      if (!response.complete) {
        this.#finish(AttemptEnd.Broken, 'the answer broke off');
        return;
      }
      if (isForwarding) this.#options.exchange.end();
      else this.#deliver(response, status, Buffer.concat(chunks));
      this.#finish(AttemptEnd.Delivered, 'delivered');
    });
  }

  #forward(response: IncomingMessage, bytes: Buffer): void {
    const { exchange } = this.#options;
    if (exchange.write(bytes)) return;
    response.pause();
    exchange.onDrain(() => response.resume());
  }

  #deliver(response: IncomingMessage, status: number, body: Buffer): void {
    const { exchange, codec, observer } = this.#options;
    if (this.#isEnded) return;
    observer.began();
    if (status >= 400) {
      this.#finish(AttemptEnd.FailedAnswer, `answered with status ${status}`, {
        status,
        head: response,
        body,
      });
      return;
    }
    exchange.respond(status, codec.responseHeaders(response.headers), body);
  }

  /** Asks a silent endpoint on a new connection; only one that does not answer there is given up. */
  #watchIdle(): () => void {
    const { clock, stallDetector, view } = this.#options;
    let cancel: () => void = () => undefined;
    const check = async (): Promise<void> => {
      if (this.#isEnded) return;
      const isIdle = clock.nowMs() - this.#lastReceivedAtMs >= idleBeforeProbeMs;
      if (isIdle && (await stallDetector.diagnose(view.id)) === StallCause.Unreachable) {
        const isStillIdle = clock.nowMs() - this.#lastReceivedAtMs >= idleBeforeProbeMs;
        if (isStillIdle) this.#finish(AttemptEnd.Broken, 'the endpoint is silent');
      }
      arm();
    };
    const arm = (): void => {
      if (this.#isEnded) return;
      const dueAtMs = Math.max(clock.nowMs() + 200, this.#lastReceivedAtMs + idleBeforeProbeMs);
      cancel = clock.schedule(dueAtMs, () => void check());
    };
    arm();
    return () => {
      cancel();
    };
  }

  #finish(end: AttemptEnd, reason: string, response?: BufferedResponse): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#cancelIdleCheck();
    // Taken from the connection itself, however the attempt ends: a request that was written may
    // have run although nothing of an answer came.
    const wasSent = this.#response !== undefined || (this.#send?.mayHaveRun ?? false);
    // Closing tells the endpoint to stop; a connection whose answer was read whole stays usable.
    if (end !== AttemptEnd.Delivered && end !== AttemptEnd.FailedAnswer) this.#send?.abort();
    this.#resolve({ end, reason, wasSent, ...(response ? { response } : {}) });
  }
}
