import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { CallerConnection } from '../core/index.js';
import type { ReadTurns } from '../core/read-turns.js';
import { HeldKind, type CallerAccount } from './caller-memory.js';
import { RequestBody } from './request-body.js';
import type { RequestDescription } from './request-codec.js';
import type { TrafficRoute, TrafficService, TrafficWorkspace } from './traffic-config.js';

/** A caller's request after it was read and admitted. */
export interface AdmittedRequest {
  readonly description: RequestDescription;
  readonly route: TrafficRoute;
  readonly service: TrafficService;
  /** Undefined for public routes. */
  readonly workspace: TrafficWorkspace | undefined;
  readonly body: Buffer;
  /** Epoch milliseconds. */
  readonly receivedAtMs: number;
  /** Time by which the complete response is due, in epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/** Options of {@link CallerExchange}. */
export interface CallerExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  /** Epoch milliseconds. */
  readonly receivedAtMs: number;
  /** Counts what the connection makes the process keep; without it, nothing is counted. */
  readonly account?: CallerAccount | undefined;
  /** Shares the reading of bodies between connections; by default those of the process. */
  readonly readTurns?: ReadTurns;
  /** Asked when the head is sent: whether the connection ends after this response. */
  readonly isLast?: () => boolean;
}

/** Part of a response that does not fit what was sent of it before. */
export class ExchangeStateError extends Error {
  override readonly name = 'ExchangeStateError';
}

/** The caller's side of one request: its connection state and the response sent so far. */
export class CallerExchange {
  readonly request: IncomingMessage;
  /** Epoch milliseconds. The caller's time runs from here, also while earlier requests are served. */
  readonly receivedAtMs: number;
  /** What the connection makes the process keep; undefined if that is not counted. */
  readonly account: CallerAccount | undefined;
  readonly body: RequestBody;
  readonly #response: ServerResponse;
  readonly #isLast: () => boolean;
  readonly #disconnectListeners: (() => void)[] = [];
  readonly #headSentListeners: (() => void)[] = [];
  readonly #closedListeners: ((outcome: string) => void)[] = [];
  #isDisconnected = false;
  #isAborted = false;
  #isClosed = false;

  constructor(options: CallerExchangeOptions) {
    const { request, response, connection, receivedAtMs, isLast } = options;
    this.request = request;
    this.receivedAtMs = receivedAtMs;
    this.account = options.account;
    this.body = new RequestBody(request, options);
    this.#response = response;
    this.#isLast = isLast ?? ((): boolean => false);
    const close = (): void => {
      stopListening();
      this.#close();
    };
    const stopListening = connection.onLeft(close);
    response.once('close', close);
  }

  /** Whether the connection was closed before the response was complete. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /** Whether the gateway itself closed the connection, by {@link abort}. */
  get isAborted(): boolean {
    return this.#isAborted;
  }

  /** Whether the response head was sent, so that the response can no longer be replaced. */
  get hasSentHead(): boolean {
    return this.#response.headersSent;
  }

  /** Calls `listener` when the connection closes before the response is complete. */
  onDisconnect(listener: () => void): void {
    this.#disconnectListeners.push(listener);
  }

  /** Calls `listener` when the response head is sent. */
  onHeadSent(listener: () => void): void {
    this.#headSentListeners.push(listener);
  }

  /**
   * Calls `listener` once, when the exchange has ended, with its outcome: the status of a complete
   * response, `cut` after {@link abort}, or `caller_left`.
   */
  onClosed(listener: (outcome: string) => void): void {
    this.#closedListeners.push(listener);
  }

  /**
   * Sends a complete response. No effect once the caller disconnected.
   *
   * @throws ExchangeStateError when a head was sent.
   */
  respond(status: number, headers: OutgoingHttpHeaders, body: Buffer): void {
    if (this.#isDisconnected) return;
    this.#writeHead(status, { ...headers, 'content-length': body.length });
    this.#response.end(body);
    this.#countUnread();
  }

  /**
   * Sends the head of a response whose length is not known. No effect once the caller disconnected.
   *
   * @throws ExchangeStateError when a head was sent.
   */
  writeHead(status: number, headers: OutgoingHttpHeaders): void {
    if (!this.#isDisconnected) this.#writeHead(status, headers);
  }

  /**
   * Sends a part of the body. No effect once the caller disconnected.
   *
   * @returns false when the send buffer is full; wait for {@link onDrain} then.
   * @throws ExchangeStateError when no head was sent, or the response was ended.
   */
  write(bytes: Buffer): boolean {
    if (this.#isDisconnected) return true;
    this.#checkOpen();
    const isFlowing = this.#response.write(bytes);
    if (!isFlowing) this.#countUnread();
    return isFlowing;
  }

  /** Calls `listener` once, when the send buffer is empty again. */
  onDrain(listener: () => void): void {
    this.#response.once('drain', listener);
  }

  /**
   * Ends the response as complete. No effect once the caller disconnected.
   *
   * @throws ExchangeStateError when no head was sent, or the response was ended before.
   */
  end(): void {
    if (this.#isDisconnected) return;
    this.#checkOpen();
    this.#response.end();
  }

  /** Closes the connection, so that an incomplete response does not look complete. */
  abort(): void {
    this.#isAborted = true;
    this.#response.destroy();
  }

  #close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    const response = this.#response;
    const isComplete = response.writableFinished;
    if (!isComplete) {
      this.#isDisconnected = true;
      for (const listener of this.#disconnectListeners) listener();
    }
    const failure = this.#isAborted ? 'cut' : 'caller_left';
    const outcome = isComplete ? String(response.statusCode) : failure;
    this.body.release();
    for (const listener of this.#closedListeners) listener(outcome);
  }

  #countUnread(): void {
    this.account?.set(HeldKind.Unread, this.request.socket.writableLength);
  }

  #checkOpen(): void {
    if (!this.hasSentHead) throw new ExchangeStateError('a body was to be sent before its head');
    if (this.#response.writableEnded)
      throw new ExchangeStateError('a body was to be sent after its end');
  }

  #writeHead(status: number, headers: OutgoingHttpHeaders): void {
    if (this.hasSentHead) throw new ExchangeStateError('a head was to be sent after another one');
    if (this.#isLast()) this.#response.setHeader('connection', 'close');
    this.#response.writeHead(status, headers);
    for (const listener of this.#headSentListeners) listener();
  }
}
