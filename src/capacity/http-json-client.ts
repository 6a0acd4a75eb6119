import { Agent, request } from 'undici';
import type { z } from 'zod';

/** An answer with its JSON body. */
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
 * JSON over HTTP with a bound on each call; a call that times out destroys its connection.
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

  /** @throws Error when there is no answer in time or it is not JSON. */
  async call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    extraTimeoutMs = 0,
  ): Promise<JsonResponse> {
    const response = await request(`${this.baseUrl}${path}`, {
      method,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(this.#timeoutMs + extraTimeoutMs),
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) };
  }

  /** @throws Error when the answer is not a success of the expected form. */
  async get<T>(schema: z.ZodType<T>, path: string, extraTimeoutMs = 0): Promise<T> {
    const { status, body } = await this.call('GET', path, undefined, extraTimeoutMs);
    if (status !== 200) throw new Error(`GET ${path} was answered with status ${status}`);
    return schema.parse(body);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
