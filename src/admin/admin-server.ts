import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Clock } from '../core/index.js';
import { listen } from '../core/listener.js';
import type { PeerCaller } from '../rpc/index.js';
import { KeyVerifierBusyError, type KeyVerifier, type TlsContext } from '../security/index.js';
import { KeyKind } from '../settings/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import type { AdminBackend } from './admin-backend.js';
import { AdminError } from './admin-error.js';
import { AdminRoutes, type AdminAnswer } from './admin-routes.js';
import { OperatorScope } from './operator-scope.js';
import { PeerQueries } from './peer-queries.js';

const maxBodyBytes = 65_536;
const basePath = '/admin/v1/';

/** Options of {@link AdminServer}. */
export interface AdminServerOptions {
  readonly backend: AdminBackend;
  readonly keys: KeyVerifier;
  readonly peers: PeerCaller;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Serves HTTPS with these certificates; plain HTTP when undefined. */
  readonly tls?: TlsContext | undefined;
  /** A daemon that has not answered for this long is listed as missing. */
  readonly peerTimeoutMs?: number;
}

/**
 * HTTP server of the administration API. Every request needs an operator's key, which grants access
 * only to the subtree of its scope. The API reads the state in force and acts on jobs, calls and
 * endpoints. It does not change settings: those are published to the log.
 *
 * @example
 * ```ts
 * const server = new AdminServer({ backend, keys, peers, clock, log, metrics });
 * const { port } = await server.listen('127.0.0.1', 0);
 * ```
 */
export class AdminServer {
  readonly #backend: AdminBackend;
  readonly #keys: KeyVerifier;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #metrics: Metrics;
  readonly #routes: AdminRoutes;
  readonly #server: Server;
  readonly #detachTls: () => void;

  constructor(options: AdminServerOptions) {
    this.#backend = options.backend;
    this.#keys = options.keys;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#routes = new AdminRoutes(
      options.backend,
      new PeerQueries({
        backend: options.backend,
        peers: options.peers,
        clock: options.clock,
        ...(options.peerTimeoutMs !== undefined && { timeoutMs: options.peerTimeoutMs }),
      }),
    );
    const handler = (request: IncomingMessage, response: ServerResponse): void => {
      void this.#serve(request, response);
    };
    if (options.tls) {
      const server = createTlsServer(
        options.tls.serverOptions({ requireClientCert: false }),
        handler,
      );
      this.#detachTls = options.tls.attach(server);
      this.#server = server;
    } else {
      this.#server = createServer(handler);
      this.#detachTls = () => undefined;
    }
  }

  /**
   * Starts to listen; port 0 selects a free port, one that is in use is tried again for 10 s. Check
   * the address with `checkListenAddress`.
   */
  async listen(host: string, port: number): Promise<{ readonly port: number }> {
    return { port: await listen(this.#server, host, port) };
  }

  /** Stops accepting connections and waits for the requests in flight. */
  close(): Promise<void> {
    this.#detachTls();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAtMs = this.#clock.nowMs();
    let status = 200;
    try {
      sendJson(response, status, (await this.#handle(request)).body);
    } catch (error) {
      const answer = this.#toAdminError(error, request);
      status = answer.status;
      if (status === 503) response.setHeader('retry-after', '1');
      if (status === 401) response.setHeader('www-authenticate', 'Bearer');
      // The rest of the body is not read, so the connection cannot be reused.
      if (!request.complete) response.setHeader('connection', 'close');
      const { code, message, next } = answer;
      sendJson(response, status, { error: { code, message, next } });
    }
    this.#metrics.count('admin_requests', 1, { status: String(status) });
    this.#metrics.timing('admin_request_ms', this.#clock.nowMs() - startedAtMs);
  }

  async #handle(request: IncomingMessage): Promise<AdminAnswer> {
    const key = await this.#keys.verifyHeader(request.headers.authorization);
    if (!key) {
      throw new AdminError(
        401,
        'unauthenticated',
        'the request carries no key that is in force',
        'Send an operator key as Authorization: Bearer.',
      );
    }
    if (key.kind !== KeyKind.Operator) {
      throw new AdminError(
        403,
        'not_an_operator',
        `key "${key.id}" is not an operator's`,
        'Use a key whose setting kind is operator.',
      );
    }
    const method = request.method ?? 'GET';
    const url = new URL(request.url ?? '/', 'http://admin');
    const answer = await this.#routes.handle({
      method,
      parts: partsOf(url),
      query: url.searchParams,
      body: method === 'GET' ? undefined : await readJson(request),
      operator: key.id,
      scope: new OperatorScope(this.#backend.deployment, key.scope),
    });
    if (answer.action !== undefined) {
      this.#log.info(EventId.AdminAction, 'operator action performed', {
        operator: key.id,
        action: answer.action,
      });
    }
    return answer;
  }

  #toAdminError(error: unknown, request: IncomingMessage): AdminError {
    const route = `${request.method ?? ''} ${(request.url ?? '').split('?')[0] ?? ''}`;
    if (error instanceof AdminError) {
      this.#log.info(EventId.AdminRefused, 'administration request refused', {
        route,
        status: error.status,
        code: error.code,
      });
      return error;
    }
    if (error instanceof KeyVerifierBusyError) {
      return new AdminError(503, 'busy', error.message, 'Send the request again in a second.');
    }
    const message = error instanceof Error ? error.message : String(error);
    this.#log.error(EventId.AdminFailed, 'administration request failed', { route, message });
    return new AdminError(
      502,
      'failed',
      message,
      'Look up what is in force before you repeat a change: it may have been recorded.',
      error,
    );
  }
}

function partsOf(url: URL): string[] {
  if (!url.pathname.startsWith(basePath)) return [url.pathname];
  try {
    return url.pathname.slice(basePath.length).split('/').filter(Boolean).map(decodeURIComponent);
  } catch (error) {
    throw new AdminError(
      400,
      'bad_path',
      `"${url.pathname}" is not valid percent-encoding`,
      'Encode each part of the path as UTF-8.',
      error,
    );
  }
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBodyBytes) {
      throw new AdminError(
        413,
        'too_large',
        `the body is larger than ${maxBodyBytes} bytes`,
        'Send a smaller body.',
      );
    }
    chunks.push(chunk);
  }
  if (bytes === 0) return undefined;
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch (error) {
    throw new AdminError(400, 'bad_json', 'the body is not JSON', 'Send a JSON object.', error);
  }
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, {
    'content-type': 'application/json; charset=utf-8',
    'cache-control': 'no-store',
  });
  response.end(JSON.stringify(body));
}
