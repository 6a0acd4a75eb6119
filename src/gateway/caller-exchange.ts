import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { RequestDescription } from './request-codec.js';
import type { TrafficRoute, TrafficService, TrafficWorkspace } from './traffic-config.js';

/** Everything that is known of a caller's request once it has been read and admitted. */
export interface AdmittedRequest {
  readonly description: RequestDescription;
  readonly route: TrafficRoute;
  readonly service: TrafficService;
  /** Undefined for public routes. */
  readonly workspace: TrafficWorkspace | undefined;
  readonly body: Buffer;
  /** Epoch milliseconds. */
  readonly receivedAtMs: number;
  /** Time by which the whole answer is due, in epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/** The caller's side of one request: whether it is still there, and what it has been told. */
export class CallerExchange {
  readonly request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #disconnectListeners: (() => void)[] = [];
  readonly #headSentListeners: (() => void)[] = [];
  #isDisconnected = false;
  #isAborted = false;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.request = request;
    this.#response = response;
    response.once('close', () => {
      if (response.writableFinished) return;
      this.#isDisconnected = true;
      for (const listener of this.#disconnectListeners) listener();
    });
  }

  /** Whether the caller closed its connection before the whole answer. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /** Whether the head of the answer is out, so that no other answer can be given. */
  get hasSentHead(): boolean {
    return this.#response.headersSent;
  }

  /** Calls `listener` when the caller leaves before it has the whole answer. */
  onDisconnect(listener: () => void): void {
    this.#disconnectListeners.push(listener);
  }

  /** Calls `listener` when the head of the answer goes out. */
  onHeadSent(listener: () => void): void {
    this.#headSentListeners.push(listener);
  }

  /** Calls `listener` once with the end: the status of a whole answer, `cut` or `caller_left`. */
  onClosed(listener: (outcome: string) => void): void {
    const response = this.#response;
    response.once('close', () => {
      if (response.writableFinished) listener(String(response.statusCode));
      else listener(this.#isAborted ? 'cut' : 'caller_left');
    });
  }

  /** Sends a whole answer. */
  respond(status: number, headers: OutgoingHttpHeaders, body: Buffer): void {
    if (this.#isDisconnected || this.hasSentHead) return;
    this.#writeHead(status, { ...headers, 'content-length': body.length });
    this.#response.end(body);
  }

  /** Sends the head of an answer whose length is not known. */
  writeHead(status: number, headers: OutgoingHttpHeaders): void {
    if (this.#isDisconnected || this.hasSentHead) return;
    this.#writeHead(status, headers);
  }

  /** Sends a part of the body. @returns false when the caller reads too slowly; see {@link onDrain}. */
  write(bytes: Buffer): boolean {
    if (this.#isDisconnected) return true;
    return this.#response.write(bytes);
  }

  onDrain(listener: () => void): void {
    this.#response.once('drain', listener);
  }

  /** Ends an answer as complete. */
  end(): void {
    if (!this.#isDisconnected) this.#response.end();
  }

  /** Closes the connection, so that an answer that is not whole does not look complete. */
  abort(): void {
    this.#isAborted = true;
    this.#response.destroy();
  }

  #writeHead(status: number, headers: OutgoingHttpHeaders): void {
    this.#response.writeHead(status, headers);
    for (const listener of this.#headSentListeners) listener();
  }
}
