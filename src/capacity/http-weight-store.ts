import { z } from 'zod';
import { OrioleError, Step, type Clock } from '../core/index.js';
import { HttpJsonClient } from './http-json-client.js';
import {
  WeightStore,
  WeightStoreBusyError,
  type WeightLoadRequest,
  type WeightLoadStatus,
} from './weight-store.js';

const statusResponseSchema = z.object({ bytes: z.number(), loadedBytes: z.number() });
const sizeResponseSchema = z.object({ bytes: z.number() });
const busyResponseSchema = z.object({ retryAfterMs: z.number().nonnegative() });

/** Options of {@link HttpWeightStore}. */
export interface HttpWeightStoreOptions {
  /** Base URL such as `http://10.0.0.1:9200`. */
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly timeoutMs?: number;
}

/**
 * {@link WeightStore} over HTTP: `GET /models/{model}/{version}`, `POST /loads`,
 * `GET /loads/{token}`. Status 429 means that the store is at its rate limit.
 *
 * @example
 * ```ts
 * const store = new HttpWeightStore({ baseUrl: 'http://127.0.0.1:9200', clock });
 * ```
 */
export class HttpWeightStore extends WeightStore {
  readonly #http: HttpJsonClient;
  readonly #clock: Clock;

  constructor(options: HttpWeightStoreOptions) {
    super();
    this.#clock = options.clock;
    this.#http = new HttpJsonClient({
      baseUrl: options.baseUrl,
      timeoutMs: options.timeoutMs ?? 10_000,
    });
  }

  override bytesOf(model: string, version: string): Promise<number> {
    const path = `/models/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return this.#wrapErrors(async () => (await this.#http.get(sizeResponseSchema, path)).bytes);
  }

  override begin(request: WeightLoadRequest): Promise<WeightLoadStatus> {
    return this.#wrapErrors(async () => {
      const { status, body } = await this.#http.call('POST', '/loads', request);
      if (status === 429) {
        const retryAtMs = this.#clock.nowMs() + busyResponseSchema.parse(body).retryAfterMs;
        throw new WeightStoreBusyError(this.#http.baseUrl, retryAtMs);
      }
      if (status !== 200) throw new Error(`POST /loads failed with status ${status}`);
      return statusResponseSchema.parse(body);
    });
  }

  override status(token: string): Promise<WeightLoadStatus> {
    return this.#wrapErrors(() =>
      this.#http.get(statusResponseSchema, `/loads/${encodeURIComponent(token)}`),
    );
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#http.close();
  }

  async #wrapErrors<T>(call: () => Promise<T>): Promise<T> {
    try {
      return await call();
    } catch (error) {
      if (error instanceof WeightStoreBusyError) throw error;
      throw new OrioleError(
        `weight store request failed: ${error instanceof Error ? error.message : String(error)}`,
        { step: Step.Capacity, peer: this.#http.baseUrl, cause: error },
      );
    }
  }
}
