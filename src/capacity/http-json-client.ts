import { Agent } from 'undici';
import type { z } from 'zod';
import { readBounded } from '../core/response-body.js';
import { requireFramed } from '../core/response-framing.js';
import { sendRequest } from '../core/send-request.js';

/** Larger than the list of all VMs of a deployment. */
const maxResponseBytes = 16_777_216;

/** A response with its JSON body. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Options of {@link HttpJsonClient}. */
export interface HttpJsonClientOptions {
  /** Base URL without a trailing slash. */
  readonly baseUrl: string;
  readonly timeoutMs: number;
}

/**
 * JSON over HTTP with a timeout for each call. A call that times out destroys its connection.
 *
 * @internal
 */
export class HttpJsonClient {
  readonly baseUrl: string;
  readonly #timeoutMs: number;
  readonly #agent = new Agent({ pipelining: 1, connect: { timeout: 2_000 } });

  constructor(options: HttpJsonClientOptions) {
    this.baseUrl = options.baseUrl;
    this.#timeoutMs = options.timeoutMs;
  }

  /**
   * Sends a request.
   *
   * @param extraTimeoutMs - added to the client's timeout, for requests that wait at the server.
   * @throws Error when there is no response in time, its body is not JSON, or a success has neither a
   * length nor chunks and the request may change something.
   */
  async call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    extraTimeoutMs = 0,
  ): Promise<JsonResponse> {
    const response = await sendRequest(`${this.baseUrl}${path}`, {
      method,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(this.#timeoutMs + extraTimeoutMs),
    });
    const text = (await readBounded(response.body, maxResponseBytes)).toString();
    if (method !== 'GET') requireFramed(response.statusCode, response.headers);
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) };
  }

  /**
   * Sends a GET request and validates the response.
   *
   * @throws Error when the request fails or the body does not match the schema.
   */
  async get<T>(schema: z.ZodType<T>, path: string, extraTimeoutMs = 0): Promise<T> {
    const { status, body } = await this.call('GET', path, undefined, extraTimeoutMs);
    if (status !== 200) throw new Error(`GET ${path} failed with status ${status}`);
    return schema.parse(body);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
