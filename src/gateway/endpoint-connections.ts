import {
  Agent,
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../core/index.js';

/** A request for one endpoint. */
export interface EndpointRequest {
  readonly baseUrl: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  /** Whether a connection may be used that other requests used before. */
  readonly mayReuseConnection: boolean;
}

/** Told about the steps of one send: `failed`, or `answered` and then perhaps `broken`. */
export interface SendObserver {
  responded(response: IncomingMessage): void;
  /**
   * The connection failed after the head of the answer. An answer without a length would otherwise
   * look complete, as Node takes the end of a failed connection for the end of the body.
   */
  broken(reason: string): void;
  /** @param mayHaveRun - false when no byte of the request can have reached the endpoint. */
  failed(reason: string, mayHaveRun: boolean): void;
}

/** A request on its way. */
export interface PendingSend {
  /** False while no byte of the request can have reached the endpoint. */
  readonly mayHaveRun: boolean;
  /** Closes the connection, so that the endpoint stops its work. */
  abort(): void;
}

/**
 * An idle connection is used again for less than endpoints keep it open, since a request that
 * crosses the close is lost.
 */
const maxIdleMs = 4_000;

/** Two lost opening packets in a row are rare; the first is sent again after a second. */
const connectTimeoutMs = 600;

const maxIdleConnections = 24;

/**
 * Sends requests to endpoints over kept connections, one request at a time on each. Nothing is ever
 * sent again by itself.
 *
 * @example
 * ```ts
 * const send = connections.send(request, { answered, failed });
 * ```
 */
export class EndpointConnections {
  readonly #clock: Clock;
  readonly #keepAliveAgent = new Agent({
    keepAlive: true,
    maxFreeSockets: maxIdleConnections,
    scheduling: 'lifo',
    timeout: maxIdleMs,
  });
  readonly #singleUseAgent = new Agent({ keepAlive: false });

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  send(request: EndpointRequest, observer: SendObserver): PendingSend {
    const { hostname, port } = new URL(request.baseUrl);
    const outgoing = httpRequest({
      agent: request.mayReuseConnection ? this.#keepAliveAgent : this.#singleUseAgent,
      host: hostname,
      port: Number(port || 80),
      method: request.method,
      path: request.path,
      headers: request.headers,
      setHost: false,
    });
    const send = new Send(outgoing, observer, this.#clock);
    send.start(request.body);
    return send;
  }

  close(): void {
    this.#keepAliveAgent.destroy();
    this.#singleUseAgent.destroy();
  }
}

/** Follows one request until its answer begins. */
class Send implements PendingSend {
  readonly #outgoing: ClientRequest;
  readonly #observer: SendObserver;
  readonly #clock: Clock;
  #cancelConnectTimer: () => void = () => undefined;
  #mayHaveRun = false;
  #isDone = false;
  #hasResponse = false;

  constructor(outgoing: ClientRequest, observer: SendObserver, clock: Clock) {
    this.#outgoing = outgoing;
    this.#observer = observer;
    this.#clock = clock;
  }

  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  abort(): void {
    this.#outgoing.destroy();
  }

  start(body: Buffer): void {
    const outgoing = this.#outgoing;
    outgoing.on('socket', (socket) => {
      // The agent's timeout is for idle connections; a silent answer is the caller's to judge.
      socket.setTimeout(0);
      socket.setNoDelay(true);
      this.#detectReset(socket);
      if (!socket.connecting) {
        this.#mayHaveRun = true;
        return;
      }
      this.#cancelConnectTimer = this.#clock.schedule(this.#clock.nowMs() + connectTimeoutMs, () =>
        outgoing.destroy(new Error('no connection in time')),
      );
      socket.once('connect', () => {
        this.#mayHaveRun = true;
        this.#cancelConnectTimer();
      });
    });
    outgoing.on('response', (response) => {
      if (this.#isDone) return;
      this.#isDone = true;
      this.#hasResponse = true;
      this.#observer.responded(response);
    });
    outgoing.on('error', (error) => {
      if (this.#hasResponse) this.#observer.broken(error.message);
      else this.#fail(error.message);
    });
    outgoing.on('close', () => {
      this.#fail('the connection was closed without an answer');
    });
    outgoing.end(body);
  }

  /**
   * Tells a reset from an orderly end. When a reset arrives together with the last bytes, libuv
   * reports the end of the stream and no error; but a connection that was reset has no peer any more.
   */
  #detectReset(socket: Socket): void {
    const onEnd = (): void => {
      // Node keeps the address once it was asked for, so nothing may ask before this.
      const isReset = socket.remoteAddress === undefined;
      if (isReset && this.#hasResponse) this.#observer.broken('the connection was reset');
    };
    // Before Node's own listener, which takes the end for the end of the answer.
    socket.prependOnceListener('end', onEnd);
    this.#outgoing.once('close', () => socket.off('end', onEnd));
  }

  #fail(reason: string): void {
    this.#cancelConnectTimer();
    if (this.#isDone) return;
    this.#isDone = true;
    this.#observer.failed(reason, this.#mayHaveRun);
  }
}
