import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  CallerConnections,
  Outcome,
  RequestError,
  Step,
  type Clock,
  type IdSource,
} from '../core/index.js';
import { refuseUnreadable, statusOfUnreadable } from '../core/unreadable-request.js';
import type { Deployment } from '../settings/index.js';
import { sendError, toRequestError } from './error-response.js';

/** Handles the requests for a set of paths. */
export abstract class CallerRoute {
  /** Whether the route answers until the process ends, as it starts no work. */
  readonly isServedWhileStopping: boolean = false;

  /** Whether the route handles this method and path. */
  abstract matches(method: string, path: string): boolean;
  abstract handle(request: CallerRequest): Promise<void>;
}

/** An incoming request, before any stage has run. */
export interface CallerRequest {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Epoch milliseconds. */
  readonly receivedAtMs: number;
  readonly deployment: Deployment;
  /** Path without the query. */
  readonly path: string;
  /** Workspace and service of the request, filled in by the stages. */
  readonly attribution: RequestAttribution;
}

/** Workspace and service of a request, as `team/name`; undefined until a stage sets them. */
export interface RequestAttribution {
  workspaceId?: string;
  serviceId?: string;
}

/** Observes refused and failed requests. */
export abstract class CallerServerObserver {
  abstract failed(request: CallerRequest, error: RequestError): void;
}

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
  readonly routes: readonly CallerRoute[];
  readonly deployment: () => Deployment;
  readonly observer: CallerServerObserver;
  readonly clock: Clock;
  readonly newId: IdSource;
}

/** `retry-after` of a stopping daemon: another one takes new connections at once. */
const stoppingRetryMs = 1_000;

/**
 * HTTP server for callers. Dispatches each request to its route and converts errors to responses
 * that state whether the work ran.
 *
 * @example
 * ```ts
 * const callerServer = new CallerServer({ routes, deployment, observer, clock, newId });
 * callerServer.serve(createServer().listen(8080));
 * ```
 */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #inFlight = new Map<string, CallerRequest>();
  readonly #idleListeners = new Set<() => void>();
  readonly #connections = new CallerConnections();
  /** Requests that were read, also those that wait behind another one on their connection. */
  #openRequests = 0;
  #isDraining = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
  }

  /** Handles the requests of an HTTP or HTTPS server. */
  serve(server: Server): void {
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      void this.#handle(request, response);
    });
    server.on('clientError', (error: Error, socket) => {
      const refusal = rawErrorResponse(statusOfUnreadable(error));
      void refuseUnreadable(socket, this.#connections.of(socket), refusal);
    });
  }

  /** Ids of the requests whose response is not complete. */
  get inFlightIds(): readonly string[] {
    return [...this.#inFlight.keys()];
  }

  /**
   * Refuses further requests as not run, also the first ones of connections that are open already:
   * the process might not wait for their responses. Closes connections after their next response, so
   * that callers reconnect to another daemon. Resolves once no request is in flight, or at
   * `deadlineAtMs` (epoch milliseconds).
   */
  async drain(deadlineAtMs: number): Promise<void> {
    this.#isDraining = true;
    if (this.#openRequests === 0) return;
    const idleController = new AbortController();
    this.#idleListeners.add(() => {
      idleController.abort();
    });
    await this.#options.clock.sleepUntil(deadlineAtMs, idleController.signal);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const ended = new Promise<void>((resolve) => response.once('close', resolve));
    // Only the response whose turn it is on the connection is told that the caller has left.
    const connection = this.#connections.of(request.socket);
    this.#openRequests += 1;
    if (!(await connection.enter(ended))) {
      this.#onRequestEnd();
      return;
    }
    const { clock, newId, deployment } = this.#options;
    const incoming: CallerRequest = {
      requestId: newId(),
      request,
      response,
      receivedAtMs: clock.nowMs(),
      deployment: deployment(),
      path: (request.url ?? '/').split('?')[0] ?? '/',
      attribution: {},
    };
    if (this.#isDraining && connection.endAfterResponse())
      response.setHeader('connection', 'close');
    this.#inFlight.set(incoming.requestId, incoming);
    response.once('close', () => {
      this.#inFlight.delete(incoming.requestId);
      this.#onRequestEnd();
    });
    try {
      const route = this.#routeFor(incoming);
      if (this.#isDraining && !route.isServedWhileStopping) throw stoppingRefusal(clock.nowMs());
      await route.handle(incoming);
    } catch (thrown) {
      const error = toRequestError(thrown);
      this.#options.observer.failed(incoming, error);
      sendError(response, error, incoming.requestId, clock.nowMs());
    }
  }

  #routeFor(incoming: CallerRequest): CallerRoute {
    const method = incoming.request.method ?? 'GET';
    const route = this.#options.routes.find((candidate) =>
      candidate.matches(method, incoming.path),
    );
    if (route) return route;
    throw new RequestError(`there is no ${method} ${incoming.path}`, {
      step: Step.Parse,
      peer: 'caller',
      status: 404,
      code: 'not_found',
      next: 'Use /v1/chat/completions, /v1/models, /v1/jobs or /services/{service}/.',
      outcome: Outcome.NotRun,
    });
  }

  #onRequestEnd(): void {
    this.#openRequests -= 1;
    if (this.#openRequests > 0) return;
    for (const resolve of this.#idleListeners) resolve();
    this.#idleListeners.clear();
  }
}

function stoppingRefusal(nowMs: number): RequestError {
  return new RequestError('the daemon is stopping', {
    step: Step.Admit,
    peer: 'caller',
    status: 503,
    code: 'stopping',
    next: 'Send the request again; another daemon takes it.',
    outcome: Outcome.NotRun,
    retryAtMs: nowMs + stoppingRetryMs,
  });
}

/** Response to data that could not be parsed as a request, written directly to the socket. */
function rawErrorResponse(status: number): string {
  const body = JSON.stringify({
    error: {
      code:
        status === 431
          ? 'headers_too_large'
          : status === 408
            ? 'slow_headers'
            : 'malformed_request',
      message: 'the request could not be read as HTTP/1.1',
      next: 'Correct the request and send it again.',
      outcome: Outcome.NotRun,
    },
  });
  const reason =
    status === 431
      ? 'Request Header Fields Too Large'
      : status === 408
        ? 'Request Timeout'
        : 'Bad Request';
  return (
    `HTTP/1.1 ${status} ${reason}\r\nconnection: close\r\ncontent-type: application/json\r\n` +
    `oriolestack-outcome: ${Outcome.NotRun}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  );
}
