import { z } from 'zod';
import {
  CloudApi,
  CloudUnavailableError,
  StartRefusedError,
  type CloudVmList,
  type ReclaimNotice,
  type VmOffer,
  type VmRequest,
} from './cloud-api.js';
import { HttpJsonClient } from './http-json-client.js';

const createResponseSchema = z.object({ vmId: z.string() });
const refusalResponseSchema = z.looseObject({ message: z.string() });
const listResponseSchema = z.object({
  asOfMs: z.number(),
  vms: z.array(
    z.object({
      vmId: z.string(),
      startedAtMs: z.number(),
      leavingAtMs: z
        .number()
        .nullish()
        .transform((value) => value ?? undefined),
      token: z.string(),
      serviceId: z.string(),
      region: z.string(),
      failureDomain: z.string(),
      vmClass: z.string(),
      reclaimable: z.boolean(),
      baseUrls: z.array(z.url({ protocol: /^https?$/ })).default([]),
      priceUsdPerHour: z.number().default(1),
    }),
  ),
});
const noticesResponseSchema = z.object({
  notices: z.array(z.object({ sequence: z.number(), vmId: z.string(), reclaimAtMs: z.number() })),
});
const offersResponseSchema = z.object({
  offers: z.array(
    z.object({
      failureDomain: z.string(),
      vmClass: z.string(),
      reclaimable: z.boolean(),
      priceUsdPerHour: z.number(),
    }),
  ),
});

/** Options of {@link HttpCloudApi}. */
export interface HttpCloudApiOptions {
  /** Base URL such as `http://10.0.0.1:9100`. */
  readonly baseUrl: string;
  /** Longest wait for a response, in milliseconds (design page, section 3.5). */
  readonly timeoutMs?: number;
}

/**
 * {@link CloudApi} over HTTP: `POST /vms`, `DELETE /vms/{id}`, `GET /vms`, `GET /notices`,
 * `GET /offers`. Status 409 means that the cloud refused to start the VM.
 *
 * @example
 * ```ts
 * const cloud = new HttpCloudApi({ baseUrl: 'http://127.0.0.1:9100' });
 * ```
 */
export class HttpCloudApi extends CloudApi {
  readonly #http: HttpJsonClient;

  constructor(options: HttpCloudApiOptions) {
    super();
    this.#http = new HttpJsonClient({
      baseUrl: options.baseUrl,
      timeoutMs: options.timeoutMs ?? 10_000,
    });
  }

  override createVm(request: VmRequest): Promise<string> {
    return this.#wrapErrors(async () => {
      const { status, body } = await this.#http.call('POST', '/vms', request);
      if (status === 409) {
        throw new StartRefusedError(refusalResponseSchema.parse(body).message, this.#http.baseUrl);
      }
      if (status !== 200) throw new Error(`POST /vms failed with status ${status}`);
      return createResponseSchema.parse(body).vmId;
    });
  }

  override deleteVm(vmId: string): Promise<void> {
    return this.#wrapErrors(async () => {
      const { status } = await this.#http.call('DELETE', `/vms/${encodeURIComponent(vmId)}`);
      if (status >= 300 && status !== 404)
        throw new Error(`DELETE of the VM failed with status ${status}`);
    });
  }

  override listVms(region: string): Promise<CloudVmList> {
    return this.#wrapErrors(() => this.#http.get(listResponseSchema, `/vms?${query({ region })}`));
  }

  override notices(
    region: string,
    afterSequence: number,
    waitMs: number,
  ): Promise<readonly ReclaimNotice[]> {
    const path = `/notices?${query({ region, after: afterSequence, wait_ms: waitMs })}`;
    return this.#wrapErrors(
      async () => (await this.#http.get(noticesResponseSchema, path, waitMs)).notices,
    );
  }

  override offers(region: string): Promise<readonly VmOffer[]> {
    return this.#wrapErrors(
      async () =>
        (await this.#http.get(offersResponseSchema, `/offers?${query({ region })}`)).offers,
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
      if (error instanceof StartRefusedError) throw error;
      throw new CloudUnavailableError(
        `cloud API request failed: ${error instanceof Error ? error.message : String(error)}`,
        this.#http.baseUrl,
        error,
      );
    }
  }
}

function query(values: Record<string, string | number>): string {
  const params = new URLSearchParams();
  for (const [name, value] of Object.entries(values)) params.set(name, String(value));
  return params.toString();
}
