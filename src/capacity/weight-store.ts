import { OrioleError, Step } from '../core/index.js';

/** A load of weights by one endpoint. */
export interface WeightLoadRequest {
  /** Client token: two requests with one token are one load. */
  readonly token: string;
  readonly endpointId: string;
  readonly failureDomain: string;
  readonly model: string;
  readonly version: string;
}

/** State of a load at the store. */
export interface WeightLoadStatus {
  readonly bytes: number;
  readonly loadedBytes: number;
}

/** The store is at its rate limit; the load has not started. */
export class WeightStoreBusyError extends OrioleError {
  /** Epoch milliseconds before which a repeat is refused too. */
  readonly retryAtMs: number;

  constructor(peer: string, retryAtMs: number) {
    super('the weight store is at its rate limit; repeat later', { step: Step.Capacity, peer });
    this.retryAtMs = retryAtMs;
  }
}

/**
 * The store from which engines load weights.
 *
 * @example
 * ```ts
 * const { bytes } = await store.begin({ token, endpointId, failureDomain, model, version });
 * ```
 */
export abstract class WeightStore {
  /** Size of a model's weights. @throws OrioleError when it is unknown or there is no answer. */
  abstract bytesOf(model: string, version: string): Promise<number>;

  /** Starts a load. @throws WeightStoreBusyError at the rate limit; OrioleError on no answer. */
  abstract begin(request: WeightLoadRequest): Promise<WeightLoadStatus>;

  /** Progress of a load. @throws OrioleError when it is unknown or there is no answer. */
  abstract status(token: string): Promise<WeightLoadStatus>;
}
