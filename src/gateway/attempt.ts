import type { IncomingMessage } from 'node:http';
import type { Clock } from '../core/index.js';
import type { EndpointView, SilenceDetector } from '../fleet/index.js';
import { SilenceVerdict } from '../fleet/index.js';
import type { AdmittedRequest, CallerExchange } from './caller-exchange.js';
import type { EndpointConnections, EndpointRequest, PendingSend } from './endpoint-connections.js';
import { EventSplitter } from './event-splitter.js';
import type { AnswerDescription, RequestCodec } from './request-codec.js';
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
  readonly answer?: WholeAnswer;
}

/** An answer that was read to its end. */
export interface WholeAnswer {
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
  abstract answered(view: EndpointView, answer: AnswerDescription): void;
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
  readonly silence: SilenceDetector;
  readonly observer: AttemptObserver;
  readonly clock: Clock;
}

/** Answers up to this size are read whole before a byte goes out, so that a broken one can be repeated. */
const maxWholeBytes = 1_048_576;

/** Silence after which an endpoint is asked on a new connection whether it lives. */
const firstSilenceMs = 1_200;

/** One send of a request to one endpoint. */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #resolve: (result: AttemptResult) => void;
  readonly #cancelSilence: () => void;
  /** Settles when the attempt has ended. */
  readonly result: Promise<AttemptResult>;
  #send: PendingSend | undefined;
  #answer: IncomingMessage | undefined;
  #isEnded = false;
  #heardAtMs: number;

  constructor(options: AttemptOptions) {
    this.#options = options;
    let resolveResult: (result: AttemptResult) => void = () => undefined;
    this.result = new Promise((resolve) => (resolveResult = resolve));
    this.#resolve = resolveResult;
    this.#heardAtMs = options.clock.nowMs();
    this.#cancelSilence = this.#watchSilence();
    this.#send = options.connections.send(options.request, {
      answered: (answer) => {
        this.#onAnswer(answer);
      },
      broken: (reason) => {
        // An answer that was framed and read whole before the connection failed is whole.
        if (!this.#answer?.complete) this.#finish(AttemptEnd.Broken, reason);
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

  #onAnswer(answer: IncomingMessage): void {
    const { codec, admitted, observer, view } = this.#options;
    this.#answer = answer;
    this.#heardAtMs = this.#options.clock.nowMs();
    answer.on('error', (error) => {
      this.#finish(AttemptEnd.Broken, error.message);
    });
    answer.on('close', () => {
      this.#finish(AttemptEnd.Broken, 'the answer broke off');
    });
    const status = answer.statusCode ?? 0;
    const described = codec.describeAnswer(status, answer.headers);
    if (
      described.requestId !== undefined &&
      described.requestId !== admitted.description.requestId
    ) {
      this.#finish(AttemptEnd.Broken, 'the answer belongs to another request');
      return;
    }
    observer.answered(view, described);
    if (described.isNotRun) {
      this.#finish(AttemptEnd.NotRun, `refused with status ${status}`);
      return;
    }
    if (status < 300 && !described.isSigned) {
      this.#finish(AttemptEnd.Broken, 'the answer carries no signature');
      return;
    }
    if (admitted.route.kind === RequestKind.Stream && status === 200) this.#relayEvents(answer);
    else this.#readWhole(answer, status);
  }

  #relayEvents(answer: IncomingMessage): void {
    const { exchange, codec, progress, observer, view, clock } = this.#options;
    const splitter = new EventSplitter();
    answer.on('data', (chunk: Buffer) => {
      const nowMs = clock.nowMs();
      const elapsedMs = nowMs - this.#heardAtMs;
      this.#heardAtMs = nowMs;
      const events = splitter.push(chunk);
      if (!events || this.#isEnded) return;
      if (progress.events === 0) observer.began();
      progress.events += events.count;
      progress.lastEventId = events.lastEventId ?? progress.lastEventId;
      observer.progressed(view, events.count, elapsedMs);
      exchange.begin(200, codec.answeredHeaders(answer.headers));
      if (exchange.write(events.bytes)) return;
      answer.pause();
      exchange.onDrain(() => answer.resume());
    });
    answer.on('end', () => {
      if (!answer.complete || splitter.pendingBytes > 0) {
        this.#finish(AttemptEnd.Broken, 'the stream ended in the middle of an event');
        return;
      }
      if (this.#isEnded) return;
      exchange.begin(200, codec.answeredHeaders(answer.headers));
      exchange.end();
      this.#finish(AttemptEnd.Delivered, 'delivered');
    });
  }

  #readWhole(answer: IncomingMessage, status: number): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isPassing = false;
    answer.on('data', (chunk: Buffer) => {
      this.#heardAtMs = this.#options.clock.nowMs();
      if (isPassing) {
        this.#pass(answer, chunk);
        return;
      }
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes <= maxWholeBytes) return;
      isPassing = true;
      const { exchange, codec, observer } = this.#options;
      observer.began();
      exchange.begin(status, codec.answeredHeaders(answer.headers));
      this.#pass(answer, Buffer.concat(chunks));
    });
    answer.on('end', () => {
      if (!answer.complete) {
        this.#finish(AttemptEnd.Broken, 'the answer broke off');
        return;
      }
      if (isPassing) this.#options.exchange.end();
      else this.#deliver(answer, status, Buffer.concat(chunks));
      this.#finish(AttemptEnd.Delivered, 'delivered');
    });
  }

  #pass(answer: IncomingMessage, bytes: Buffer): void {
    const { exchange } = this.#options;
    if (exchange.write(bytes)) return;
    answer.pause();
    exchange.onDrain(() => answer.resume());
  }

  #deliver(answer: IncomingMessage, status: number, body: Buffer): void {
    const { exchange, codec, observer } = this.#options;
    if (this.#isEnded) return;
    observer.began();
    if (status >= 400) {
      this.#finish(AttemptEnd.FailedAnswer, `answered with status ${status}`, {
        status,
        head: answer,
        body,
      });
      return;
    }
    exchange.answer(status, codec.answeredHeaders(answer.headers), body);
  }

  /** Asks a silent endpoint on a new connection; only one that does not answer there is given up. */
  #watchSilence(): () => void {
    const { clock, silence, view } = this.#options;
    let cancel: () => void = () => undefined;
    const check = async (): Promise<void> => {
      if (this.#isEnded) return;
      const isSilent = clock.nowMs() - this.#heardAtMs >= firstSilenceMs;
      if (isSilent && (await silence.verdict(view.id)) === SilenceVerdict.Silent) {
        const stillSilent = clock.nowMs() - this.#heardAtMs >= firstSilenceMs;
        if (stillSilent) this.#finish(AttemptEnd.Broken, 'the endpoint is silent');
      }
      arm();
    };
    const arm = (): void => {
      if (this.#isEnded) return;
      const dueAtMs = Math.max(clock.nowMs() + 200, this.#heardAtMs + firstSilenceMs);
      cancel = clock.schedule(dueAtMs, () => void check());
    };
    arm();
    return () => {
      cancel();
    };
  }

  #finish(end: AttemptEnd, reason: string, answer?: WholeAnswer): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#cancelSilence();
    // Taken from the connection itself, however the attempt ends: a request that was written may
    // have run although nothing of an answer came.
    const wasSent = this.#answer !== undefined || (this.#send?.mayHaveRun ?? false);
    // Closing tells the endpoint to stop; a connection whose answer was read whole stays usable.
    if (end !== AttemptEnd.Delivered && end !== AttemptEnd.FailedAnswer) this.#send?.abort();
    this.#resolve({ end, reason, wasSent, ...(answer ? { answer } : {}) });
  }
}
