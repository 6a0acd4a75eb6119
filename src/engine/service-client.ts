import type { IncomingMessage, ServerResponse } from 'node:http';
import { Agent, request, type Dispatcher } from 'undici';
import { Outcome, outcomeHeader } from '../core/index.js';
import { maxControlResponseBytes, readBounded } from '../core/response-body.js';
import { noticeOfRetryAfter, type EndpointNotice } from '../fleet/endpoint-notice.js';
import { EngineError, EngineFailure } from './engine-error.js';

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
 * are streamed. It never retries a call; the caller decides which calls may be repeated.
 *
 * @example
 * ```ts
 * await client.relay(request, response, { name, baseUrl, path: '/stock?sku=1', ...rest });
 * ```
 */
export class ServiceClient {
  readonly #agent = new Agent({ pipelining: 1, connect: { timeout: 2_000 } });

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
    options.onNotice?.(noticeOfRetryAfter(response.statusCode, retryAfter?.toString()));
    if (outgoing.destroyed) {
      response.body.destroy();
      return;
    }
    const isFailure = response.statusCode >= 400;
    outgoing.writeHead(response.statusCode, {
      ...forwardedHeaders(response.headers),
      'x-request-id': options.requestId,
      // The service returned an error status; whether it did any work before that is unknown.
      ...(isFailure ? { [outcomeHeader]: Outcome.Unknown } : {}),
    });
    await new Promise<void>((resolve) => {
      response.body.once('error', () => {
        outgoing.destroy();
        resolve();
      });
      outgoing.once('close', resolve);
      response.body.pipe(outgoing);
    });
  }

  /**
   * Reads a small resource of a service within `timeoutMs`, body included. Of the response headers,
   * only `content-type` is returned.
   *
   * @throws an undici error when no complete response arrives within `timeoutMs`, and
   * BodyTooLargeError for a resource that is not small.
   */
  async get(
    baseUrl: string,
    path: string,
    timeoutMs: number,
  ): Promise<{ status: number; headers: Record<string, string>; body: Uint8Array }> {
    const response = await request(`${baseUrl}${path}`, {
      signal: AbortSignal.timeout(timeoutMs),
      dispatcher: this.#agent,
    });
    const type = response.headers['content-type'];
    return {
      status: response.statusCode,
      headers: typeof type === 'string' ? { 'content-type': type } : {},
      body: new Uint8Array(await readBounded(response.body, maxControlResponseBytes)),
    };
  }

  /** Destroys all connections; calls that are still running fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    incoming: IncomingMessage,
    options: ServiceRelayOptions,
  ): Promise<Dispatcher.ResponseData> {
    const { name, baseUrl, path, timeoutMs, signal } = options;
    const method = incoming.method ?? 'GET';
    const hasBody = method !== 'GET' && method !== 'HEAD';
    try {
      return await request(`${baseUrl}${path}`, {
        method,
        headers: { ...forwardedHeaders(incoming.headers), 'x-request-id': options.requestId },
        body: hasBody ? incoming : null,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal,
        dispatcher: this.#agent,
      });
    } catch (error) {
      const code = (error as { code?: unknown }).code;
      const isConnectionFailure = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
      throw new EngineError(`endpoint ${name} brought no answer`, {
        peer: name,
        failure: isConnectionFailure ? EngineFailure.ConnectionFailed : EngineFailure.Broken,
        outcome: isConnectionFailure ? Outcome.NotRun : Outcome.Unknown,
        cause: error,
      });
    }
  }
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
