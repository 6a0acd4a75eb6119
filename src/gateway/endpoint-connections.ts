import {
  Agent,
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import { allSocketsRead, type Clock } from '../core/index.js';
import { onResetBeforeEnd } from '../core/reset-detection.js';
import { onSoundResponse } from '../core/response-head.js';

/** A request for one endpoint. */
export interface EndpointRequest {
  readonly baseUrl: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Without the length of the body, which is added. */
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  /** Whether the request may use a kept connection that served other requests before. */
  readonly mayReuseConnection: boolean;
}

/**
 * Receives the events of one send: `mayWrite` first; then either `failed`, or `responded` and
 * possibly `broken` after it.
 */
export interface SendObserver {
  /**
   * Called once the connection stands, right before the first byte is written: the caller or the
   * endpoint may have left while it was opened.
   *
   * @returns whether to write the request; otherwise the send is over and nothing was written.
   */
  mayWrite(): boolean;
  /** The head of a response was received, and is sound. */
  responded(response: IncomingMessage): void;
  /**
   * The connection failed after the response head. Without this event, a response without a length
   * would look complete, because Node takes the end of a failed connection for the end of the body.
   */
  broken(reason: string): void;
  /**
   * The send failed before a sound response head.
   *
   * @param mayHaveRun - false when no byte of the request can have reached the endpoint.
   * @param isRefused - whether nothing listens at the endpoint's address.
   */
  failed(reason: string, mayHaveRun: boolean, isRefused: boolean): void;
}

/** A request in flight. */
export interface PendingSend {
  /** False while no byte of the request can have reached the endpoint. */
  readonly mayHaveRun: boolean;
  /** Time at which the request was written, in epoch milliseconds; undefined before. */
  readonly writtenAtMs: number | undefined;
  /** Whether the connection served another request before, whose response may come once more. */
  readonly isOnReusedConnection: boolean;
  /** Closes the connection, so that the endpoint stops its work. */
  abort(): void;
}

/**
 * Idle time after which a connection is no longer reused. Shorter than the time for which endpoints
 * keep it open, because a request that is sent while the endpoint closes the connection is lost.
 */
const maxIdleMs = 4_000;

/**
 * Shorter than the second after which a lost SYN is retransmitted: another attempt is faster, and
 * two lost SYNs in a row are rare.
 */
const connectTimeoutMs = 600;

const maxIdleConnections = 24;

/** Interim responses (1xx) of one request; an endpoint that sends more sends them without end. */
const maxInterimResponses = 16;

/**
 * Sends requests to endpoints over keep-alive connections, one request at a time on each. Never
 * retries on its own.
 *
 * @example
 * ```ts
 * const send = connections.send(request, { responded, broken, failed });
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

  /** Number of open connections, also of idle ones. */
  get openSockets(): number {
    return [this.#keepAliveAgent, this.#singleUseAgent]
      .flatMap(({ sockets, freeSockets }) => [sockets, freeSockets])
      .flatMap((byAddress) => Object.values(byAddress))
      .reduce((sum, open) => sum + (open?.length ?? 0), 0);
  }

  send(request: EndpointRequest, observer: SendObserver): PendingSend {
    try {
      return this.#send(request, observer);
    } catch (error) {
      // An address, a path or a header that no request can carry: nothing was sent.
      const reason = error instanceof Error ? error.message : String(error);
      queueMicrotask(() => {
        observer.failed(reason, false, false);
      });
      return new UnsentRequest();
    }
  }

  #send(request: EndpointRequest, observer: SendObserver): PendingSend {
    const { hostname, port } = new URL(request.baseUrl);
    const outgoing = httpRequest({
      agent: request.mayReuseConnection ? this.#keepAliveAgent : this.#singleUseAgent,
      host: hostname,
      port: Number(port || 80),
      method: request.method,
      path: request.path,
      headers: { ...request.headers, ...bodyHeaders(request) },
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

/** A request that could not be put on a connection. */
class UnsentRequest implements PendingSend {
  readonly mayHaveRun = false;
  readonly writtenAtMs = undefined;
  readonly isOnReusedConnection = false;

  abort(): void {
    // Nothing was opened.
  }
}

/** One request, from opening the connection to the response head. */
class Send implements PendingSend {
  readonly #outgoing: ClientRequest;
  readonly #observer: SendObserver;
  readonly #clock: Clock;
  #cancelConnectTimer: () => void = () => undefined;
  #writtenAtMs: number | undefined;
  #isDone = false;
  #hasResponse = false;

  constructor(outgoing: ClientRequest, observer: SendObserver, clock: Clock) {
    this.#outgoing = outgoing;
    this.#observer = observer;
    this.#clock = clock;
  }

  get mayHaveRun(): boolean {
    return this.#writtenAtMs !== undefined;
  }

  get writtenAtMs(): number | undefined {
    return this.#writtenAtMs;
  }

  get isOnReusedConnection(): boolean {
    return this.#outgoing.reusedSocket;
  }

  abort(): void {
    this.#outgoing.destroy();
  }

  start(body: Buffer): void {
    const outgoing = this.#outgoing;
    onResetBeforeEnd(outgoing, ({ message }) => {
      if (this.#hasResponse) this.#observer.broken(message);
    });
    outgoing.on('socket', (socket) => {
      // The agent's timeout is for idle connections only; the attempt detects stalled responses.
      socket.setTimeout(0);
      socket.setNoDelay(true);
      if (!socket.connecting) {
        void this.#write(body);
        return;
      }
      this.#cancelConnectTimer = this.#clock.schedule(this.#clock.nowMs() + connectTimeoutMs, () =>
        outgoing.destroy(new Error('no connection within the connect timeout')),
      );
      socket.once('connect', () => {
        this.#cancelConnectTimer();
        void this.#write(body);
      });
    });
    this.#limitInterimResponses();
    onSoundResponse(
      outgoing,
      (response) => {
        this.#onResponse(response);
      },
      ({ message }) => {
        this.#fail(message);
      },
    );
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      if (this.#hasResponse) this.#observer.broken(error.message);
      else this.#fail(error.message, error.code === 'ECONNREFUSED');
    });
    outgoing.on('close', () => {
      this.#fail('connection closed before a response');
    });
  }

  #onResponse(response: IncomingMessage): void {
    if (this.#isDone) return;
    if (!this.mayHaveRun) {
      this.#outgoing.destroy(new Error('response came before the request was written'));
      return;
    }
    this.#isDone = true;
    this.#hasResponse = true;
    this.#observer.responded(response);
  }

  async #write(body: Buffer): Promise<void> {
    await allSocketsRead();
    if (this.#isDone || this.#outgoing.destroyed) return;
    if (this.#observer.mayWrite()) {
      this.#writtenAtMs = this.#clock.nowMs();
      this.#outgoing.end(body);
      return;
    }
    this.#isDone = true;
    this.abort();
  }

  #limitInterimResponses(): void {
    const outgoing = this.#outgoing;
    let count = 0;
    const onInterim = (): void => {
      count += 1;
      if (count <= maxInterimResponses) return;
      // Node parses the rest of what it has read, thousands of them, before it closes.
      outgoing.off('information', onInterim);
      outgoing.destroy(new Error('endpoint sends interim responses without end'));
    };
    outgoing.on('information', onInterim);
  }

  #fail(reason: string, isRefused = false): void {
    this.#cancelConnectTimer();
    if (this.#isDone) return;
    this.#isDone = true;
    this.#observer.failed(reason, this.mayHaveRun, isRefused);
  }
}

/** GET requests without a body get no `content-length`, so that endpoints see them as sent. */
function bodyHeaders({ method, body }: EndpointRequest): OutgoingHttpHeaders {
  const hasBody = body.length > 0 || !['GET', 'HEAD', 'DELETE'].includes(method);
  return hasBody ? { 'content-length': body.length } : {};
}
