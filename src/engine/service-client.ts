import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { Outcome, outcomeHeader } from '../core/index.js';
import { maxControlResponseBytes, readBounded } from '../core/response-body.js';
import { noticeOfRetryAfter, type EndpointNotice } from '../fleet/endpoint-notice.js';
import { EngineError, EngineFailure } from './engine-error.js';
import { ConnectTimeoutError, SingleUseConnections } from './service-request.js';

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
]);

/** Options of {@link ServiceClient.relay}. */
export interface ServiceRelayOptions {
  /** Endpoint name, for errors. */
  readonly name: string;
  readonly baseUrl: string;
  /** Path and query at the service. */
  readonly path: string;
  readonly requestId: string;
  /**
   * Limit for the wait for the response head, and then for each further part of the body. The call
   * as a whole may take longer.
   */
  readonly timeoutMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Receives what the service says of itself in its response. */
  readonly onNotice?: (notice: EndpointNotice) => void;
}

/**
 * Forwards HTTP calls to plain services, that is, services that are not model engines. Both bodies
 * are streamed. It never retries a call; the caller decides which calls may be repeated. Each call
 * has a connection of its own.
 *
 * @example
 * ```ts
 * await client.relay(request, response, { name, baseUrl, path: '/stock?sku=1', ...rest });
 * ```
 */
export class ServiceClient {
  readonly #connections = new SingleUseConnections();

  /**
   * Relays one call.
   *
   * @throws EngineError when the service fails before the response head is sent, with outcome
   * `not_run` when no connection was established. A later failure destroys the response, so that it
   * does not look complete.
   */
  async relay(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    options: ServiceRelayOptions,
  ): Promise<void> {
    const response = await this.#send(incoming, options);
    const retryAfter = response.headers['retry-after'];
    const status = response.statusCode ?? 502;
    options.onNotice?.(noticeOfRetryAfter(status, retryAfter));
    if (outgoing.destroyed) {
      response.destroy();
      return;
    }
    const isFailure = status >= 400;
    outgoing.writeHead(status, {
      ...forwardedHeaders(response.headers),
      'x-request-id': options.requestId,
      // The service returned an error status; whether it did any work before that is unknown.
      ...(isFailure ? { [outcomeHeader]: Outcome.Unknown } : {}),
    });
    // A failure destroys both, so that the response does not look complete.
    await pipeline(response, outgoing).catch(() => undefined);
  }

  /**
   * Reads a small resource of a service within `timeoutMs`, body included. Of the response headers,
   * only `content-type` is returned.
   *
   * @throws an error of Node when no complete response arrives within `timeoutMs`, and
   * BodyTooLargeError for a resource that is not small.
   */
  async get(
    baseUrl: string,
    path: string,
    timeoutMs: number,
  ): Promise<{ status: number; headers: Record<string, string>; body: Uint8Array }> {
    const response = await this.#connections.send({
      url: `${baseUrl}${path}`,
      method: 'GET',
      headers: {},
      body: undefined,
      timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const type = response.headers['content-type'];
    return {
      status: response.statusCode ?? 502,
      headers: type === undefined ? {} : { 'content-type': type },
      body: new Uint8Array(await readBounded(response, maxControlResponseBytes)),
    };
  }

  /** Destroys all connections; calls that are still running fail. */
  close(): Promise<void> {
    this.#connections.close();
    return Promise.resolve();
  }

  async #send(incoming: IncomingMessage, options: ServiceRelayOptions): Promise<IncomingMessage> {
    const { name, baseUrl, path, timeoutMs, signal } = options;
    const method = incoming.method ?? 'GET';
    const hasBody = method !== 'GET' && method !== 'HEAD';
    try {
      return await this.#connections.send({
        url: `${baseUrl}${path}`,
        method,
        headers: requestHeaders(incoming, hasBody, options.requestId),
        body: hasBody ? incoming : undefined,
        timeoutMs,
        signal,
      });
    } catch (error) {
      const code = (error as { code?: unknown }).code;
      const isConnectionFailure = code === 'ECONNREFUSED' || error instanceof ConnectTimeoutError;
      throw new EngineError(`endpoint ${name} brought no answer`, {
        peer: name,
        failure: isConnectionFailure ? EngineFailure.ConnectionFailed : EngineFailure.Broken,
        outcome: isConnectionFailure ? Outcome.NotRun : Outcome.Unknown,
        cause: error,
      });
    }
  }
}

/** Headers of the request to the service. Node frames no body of a DELETE by itself. */
function requestHeaders(
  { headers }: IncomingMessage,
  hasBody: boolean,
  requestId: string,
): OutgoingHttpHeaders {
  const { 'content-length': length, ...forwarded } = forwardedHeaders(headers);
  const framing =
    typeof length === 'string'
      ? { 'content-length': length }
      : headers['transfer-encoding'] !== undefined
        ? { 'transfer-encoding': 'chunked' }
        : {};
  return { ...forwarded, ...(hasBody ? framing : {}), 'x-request-id': requestId };
}

/** Omits hop-by-hop headers and `authorization`, since the caller's key is for the gateway only. */
function forwardedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !hopByHopHeaders.has(name) && name !== 'authorization') {
      forwarded[name] = value;
    }
  }
  return forwarded;
}
