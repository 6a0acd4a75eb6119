import {
  STATUS_CODES,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { Server as SocketServer, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import {
  CallerConnections,
  Outcome,
  allSocketsRead,
  RequestError,
  Step,
  type Clock,
} from '../core/index.js';
import { listen } from '../core/listener.js';
import type { ReadTurns } from '../core/read-turns.js';
import { refuseUnreadable, statusOfUnreadable } from '../core/unreadable-request.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { CallerExchange } from './caller-exchange.js';
import type { CallerMemory } from './caller-memory.js';
import { CallerSockets } from './caller-sockets.js';
import type { ConfigHolder } from './config-holder.js';
import { MissingRequestIdError, type RequestCodec } from './request-codec.js';
import { refusal } from './refusal.js';
import type { RequestAdmission } from './request-admission.js';
import type { RequestMetrics } from './request-metrics.js';
import type { RequestRelay } from './request-relay.js';

/** Options of {@link GatewayListener}. */
export interface GatewayListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly admission: RequestAdmission;
  readonly relay: RequestRelay;
  readonly memory: CallerMemory;
  /** Shares the reading of bodies between the connections of callers. */
  readonly readTurns: ReadTurns;
  /** Number of connections to endpoints. */
  readonly endpointSockets: () => number;
  readonly config: ConfigHolder;
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: RequestMetrics;
}

/**
 * Larger than any configured header limit; admission enforces the configured one for each request.
 */
const maxHeaderBytes = 65_536;

/** Timeouts until the first configuration arrives. */
const defaultHeaderTimeoutMs = 3_000;
const defaultIdleTimeoutMs = 15_000;

/** Connections that may wait to be accepted; sized for bursts of reconnects after a restart. */
const acceptBacklog = 1_024;

/** `retry-after` of a stopping daemon: another one takes new connections at once. */
const stoppingRetryMs = 100;

/** `retry-after` of refusals while connections take all descriptors, in milliseconds. */
const noSocketRetryMs = 500;

/** How often what connections hold is measured, in milliseconds. */
const measureIntervalMs = 250;

/** Time for which the refusal on a connection that is closed for its memory may be read, in milliseconds. */
const shedGraceMs = 1_000;

/** How often the header timeout of open connections is checked. */
const checkIntervalMs = 500;

/**
 * The HTTP listener for callers of the gateway. Each request is admitted, relayed and answered
 * exactly once. While draining, responses carry `connection: close`, so that callers reconnect to
 * another daemon.
 */
export class GatewayListener {
  readonly #options: GatewayListenerOptions;
  readonly #server: Server;
  readonly #sockets: CallerSockets;
  readonly #connections = new CallerConnections();
  readonly #idleListeners: (() => void)[] = [];
  /** Requests that are read or checked. */
  readonly #unadmitted = new Set<CallerExchange>();
  #stopMeasuring: () => void = () => undefined;
  #inFlight = 0;
  #isDraining = false;
  #isAccepting = true;

  constructor(options: GatewayListenerOptions) {
    this.#options = options;
    this.#sockets = new CallerSockets({
      ...options,
      shed: (socket) => {
        this.#shed(socket);
      },
    });
    this.#server = createServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: checkIntervalMs,
      noDelay: true,
    });
    this.#applyLimits(defaultHeaderTimeoutMs, defaultIdleTimeoutMs);
    // No limit: a large body may take until the caller's deadline.
    this.#server.requestTimeout = 0;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
    });
    this.#server.on('timeout', (socket: Socket) => void closeUnlessRead(socket));
    this.#server.on('clientError', (error, socket) => void this.#refuseUnreadable(error, socket));
    this.#server.on('request', (request, response) => void this.#handle(request, response));
    options.config.onChange(({ config }) => {
      this.#applyLimits(config.limits.headerTimeoutMs, config.limits.idleTimeoutMs);
    });
  }

  /** Port that the server listens on; 0 before {@link listen}. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Number of requests whose response is not complete yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Starts to accept connections.
   *
   * @throws Error when the server cannot listen on the address.
   */
  async listen(): Promise<void> {
    const { host, port } = this.#options;
    await listen(this.#server, host, port, acceptBacklog);
    this.#stopMeasuring = this.#options.clock.every(measureIntervalMs, () => {
      this.#sockets.measure();
    });
  }

  /**
   * Closes each connection after its next response, so that callers reconnect to another daemon.
   */
  startDraining(): void {
    this.#isDraining = true;
  }

  /**
   * Accepts no further request, so that callers go to another daemon at once: new connections are
   * refused, idle ones are closed, and what still comes on the others is refused as not run. Node
   * does not count a connection as idle before its first request, which may come only now. A request
   * accepted now might not complete before the process exits.
   */
  stopAccepting(): void {
    this.#isAccepting = false;
    // Unlike the close of the HTTP server, this one cuts no response that is still being sent.
    SocketServer.prototype.close.call(this.#server);
    this.#sockets.closeIdle();
  }

  /** Resolves once no request is in flight, or at `deadlineAtMs` (epoch milliseconds). */
  async waitUntilIdle(deadlineAtMs: number): Promise<void> {
    if (this.#inFlight === 0) return;
    const idleController = new AbortController();
    this.#idleListeners.push(() => {
      idleController.abort();
    });
    await this.#options.clock.sleepUntil(deadlineAtMs, idleController.signal);
  }

  /** Refuses the requests that are not read completely, as they will not be. */
  refuseUnadmitted(): void {
    const refusal = stoppingRefusal(this.#options.clock.nowMs());
    for (const exchange of this.#unadmitted) this.#refuse(exchange, refusal);
  }

  /** Closes the server and all connections. */
  close(): void {
    this.#stopMeasuring();
    this.#server.close();
    this.#sockets.closeAll();
  }

  #applyLimits(headerTimeoutMs: number, idleTimeoutMs: number): void {
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
  }

  async #refuseUnreadable(error: Error, socket: Duplex): Promise<void> {
    const status = statusOfUnreadable(error);
    const connection = this.#connections.of(socket);
    const refusal = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
    if (!(await refuseUnreadable(socket, connection, refusal))) return;
    this.#options.events.warn(EventId.RequestRefused, 'request could not be read', {
      status,
      reason: error.message,
    });
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    // The rest of what was read before its connection was closed.
    if (request.socket.destroyed) return;
    const { admission, relay, metrics, clock, readTurns } = this.#options;
    const connection = this.#connections.of(request.socket);
    const receivedAtMs = clock.nowMs();
    const account = this.#sockets.accountOf(request.socket);
    const toldIdleTimeoutMs = this.#server.keepAliveTimeout;
    const exchange = new CallerExchange({
      request,
      response,
      connection,
      receivedAtMs,
      account,
      readTurns,
      isLast: () =>
        account?.isClosed === true || (this.#isDraining && connection.endAfterResponse()),
    });
    const onAdmitted = metrics.track(exchange);
    this.#inFlight += 1;
    const hasSocket = this.#sockets.requestBegan(request.socket, request);
    const ended = new Promise<void>((resolve) => {
      exchange.onClosed(() => {
        resolve();
        this.#sockets.requestEnded(request.socket);
        this.#onRequestEnd();
      });
    });
    if (!(await connection.enter(ended))) return;
    response.once('finish', () => {
      extendIdleTimeout(request.socket, toldIdleTimeoutMs);
    });
    // A response head that was sent before the stop carries no `connection: close`. The connection
    // must not be read any further either: what came next could get no response.
    response.once('finish', () => {
      if (!this.#isAccepting && connection.endAfterResponse()) request.socket.destroySoon();
    });
    try {
      this.#checkAccepting();
      if (!hasSocket) throw noSocketRefusal(clock.nowMs());
      this.#unadmitted.add(exchange);
      const admitted = await admission.admit(exchange);
      // The body may have taken until after the stop.
      this.#checkAccepting();
      onAdmitted(admitted);
      this.#unadmitted.delete(exchange);
      await relay.relay(exchange, admitted);
    } catch (error) {
      this.#refuse(exchange, error);
    } finally {
      this.#unadmitted.delete(exchange);
    }
  }

  /** Refuses a request whose body is being read; closes its connection. */
  #shed(socket: Socket): void {
    const { clock } = this.#options;
    const reading = [...this.#unadmitted].find(({ request }) => request.socket === socket);
    if (!reading?.body.refuseUnread()) {
      socket.destroy();
      return;
    }
    clock.schedule(clock.nowMs() + shedGraceMs, () => {
      socket.destroy();
    });
  }

  #checkAccepting(): void {
    if (!this.#isAccepting) throw stoppingRefusal(this.#options.clock.nowMs());
  }

  #refuse(exchange: CallerExchange, error: unknown): void {
    const { codec, clock, events } = this.#options;
    const refusal = error instanceof RequestError ? error : undefined;
    const requestId = this.#requestIdOf(exchange);
    const status = refusal?.status ?? 500;
    const reason = error instanceof Error ? error.message : String(error);
    events.warn(EventId.RequestRefused, 'request refused', {
      ...(requestId === undefined ? {} : { requestId }),
      status,
      reason,
      ...(refusal ? {} : { stack: (error as Error).stack ?? '' }),
    });
    if (exchange.hasSentHead) {
      exchange.abort();
      return;
    }
    const { retryAtMs } = refusal ?? {};
    const retryAfterMs =
      retryAtMs === undefined ? undefined : Math.max(0, retryAtMs - clock.nowMs());
    exchange.respond(status, codec.ownResponseHeaders(requestId, retryAfterMs), Buffer.alloc(0));
  }

  #requestIdOf(exchange: CallerExchange): string | undefined {
    try {
      return this.#options.codec.describe(exchange.request.headers).requestId;
    } catch (error) {
      if (error instanceof MissingRequestIdError) return undefined;
      throw error;
    }
  }

  #onRequestEnd(): void {
    this.#inFlight -= 1;
    if (this.#inFlight > 0) return;
    for (const listener of this.#idleListeners.splice(0)) listener();
  }
}

/**
 * Keeps an idle connection for the time that its last response's head told. Node takes the limit in
 * force at the end of that response, which a configuration may have lowered meanwhile.
 */
function extendIdleTimeout(socket: Socket, toldIdleTimeoutMs: number): void {
  // Zero while another request is served on the connection.
  const { timeout: timeoutMs = 0 } = socket;
  if (timeoutMs > 0 && timeoutMs < toldIdleTimeoutMs) socket.setTimeout(toldIdleTimeoutMs);
}

/**
 * Closes a connection that was idle for too long. After a stall, its timer runs before the next request
 * is read that came in time.
 */
async function closeUnlessRead(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await allSocketsRead();
  if (socket.bytesRead === bytesRead) socket.destroy();
}

function noSocketRefusal(nowMs: number): RequestError {
  const reason = 'connections of callers and to endpoints take all descriptors of the process';
  return refusal(503, reason, nowMs + noSocketRetryMs);
}

function stoppingRefusal(nowMs: number): RequestError {
  return new RequestError('the daemon is stopping', {
    step: Step.Admit,
    peer: 'caller',
    status: 503,
    code: 'refused',
    next: 'Send the request again; another daemon takes it.',
    outcome: Outcome.NotRun,
    retryAtMs: nowMs + stoppingRetryMs,
  });
}
