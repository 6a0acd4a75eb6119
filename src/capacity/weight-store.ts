import { OrioleError, Step } from '../core/index.js';

/** Request of one endpoint to load weights. */
export interface WeightLoadRequest {
  /** Idempotency token: requests with the same token start a single load. */
  readonly token: string;
  readonly endpointId: string;
  readonly failureDomain: string;
  readonly model: string;
  readonly version: string;
}

/** Progress of a load at the store. */
export interface WeightLoadStatus {
  readonly bytes: number;
  readonly loadedBytes: number;
}

/** Thrown when the store is at its rate limit; the load has not started. */
export class WeightStoreBusyError extends OrioleError {
  /** Epoch milliseconds before which a retry is refused as well. */
  readonly retryAtMs: number;

  constructor(peer: string, retryAtMs: number) {
    super('weight store is at its rate limit; retry later', { step: Step.Capacity, peer });
    this.retryAtMs = retryAtMs;
  }
}

/**
 * Client of the store from which engines load weights.
 *
 * @example
 * ```ts
 * const { bytes } = await store.begin({ token, endpointId, failureDomain, model, version });
 * ```
 */
export abstract class WeightStore {
  /**
   * Size of a model's weights in bytes.
   *
   * @throws OrioleError when the model is unknown or the request fails.
   */
  abstract bytesOf(model: string, version: string): Promise<number>;

  /**
   * Starts a load, or returns the status of the one started earlier with the same token.
   *
   * @throws WeightStoreBusyError when the store is at its rate limit.
   * @throws OrioleError when the request fails; the load may have started.
   */
  abstract begin(request: WeightLoadRequest): Promise<WeightLoadStatus>;

  /**
   * Returns the progress of a load.
   *
   * @throws OrioleError when the load is unknown or the request fails.
   */
  abstract status(token: string): Promise<WeightLoadStatus>;
}
