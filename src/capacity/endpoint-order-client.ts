import { Agent } from 'undici';
import { OrioleError, Step } from '../core/index.js';
import { isSuccess } from '../core/final-status.js';
import { maxControlResponseBytes, readBounded } from '../core/response-body.js';
import { requireFramed } from '../core/response-framing.js';
import { sendRequest } from '../core/send-request.js';
import type { EngineRole } from '../settings/index.js';
import type { Fence } from '../state/index.js';

/** Kind of an {@link EndpointOrder}. */
export enum OrderKind {
  LoadModel = 'load_model',
  LoadAdapter = 'load_adapter',
  SetVersion = 'set_version',
  SetRole = 'set_role',
}

/**
 * Order to an endpoint. It names the desired state, so that a repeated order has no effect and the
 * next order corrects a late one.
 */
export type EndpointOrder =
  | { readonly kind: OrderKind.LoadModel; readonly model: string; readonly version: string }
  | { readonly kind: OrderKind.LoadAdapter; readonly model: string; readonly adapter: string }
  | { readonly kind: OrderKind.SetVersion; readonly version: string }
  | { readonly kind: OrderKind.SetRole; readonly role: EngineRole };

/** Thrown when an endpoint does not carry out an order. */
export class OrderError extends OrioleError {
  /**
   * True when the endpoint rejected the fence as stale; this controller must stop sending orders.
   */
  readonly isFenceStale: boolean;

  constructor(message: string, peer: string, isFenceStale: boolean, cause?: unknown) {
    super(message, { step: Step.Capacity, peer, cause });
    this.isFenceStale = isFenceStale;
  }
}

/**
 * Sends orders to endpoints.
 *
 * @example
 * ```ts
 * await orders.send(view.baseUrl, { kind: OrderKind.SetVersion, version: '8' }, fence);
 * ```
 */
export abstract class EndpointOrderClient {
  /**
   * Sends an order; resolves when the endpoint has accepted it.
   *
   * @throws OrderError when the endpoint rejects the order or does not respond.
   */
  abstract send(baseUrl: string, order: EndpointOrder, fence: Fence): Promise<void>;
}

/** {@link EndpointOrderClient} over HTTP: `POST /orders`. Status 409 rejects a stale fence. */
export class HttpEndpointOrderClient extends EndpointOrderClient {
  readonly #agent = new Agent({ pipelining: 1, connect: { timeout: 2_000 } });
  readonly #timeoutMs: number;

  constructor(timeoutMs = 10_000) {
    super();
    this.#timeoutMs = timeoutMs;
  }

  override async send(baseUrl: string, order: EndpointOrder, fence: Fence): Promise<void> {
    const status = await this.#post(baseUrl, order, fence);
    if (!isSuccess(status)) {
      throw new OrderError(
        `order "${order.kind}" failed with status ${status}`,
        baseUrl,
        status === 409,
      );
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Sends an order, and returns the status of its response. */
  async #post(baseUrl: string, order: EndpointOrder, fence: Fence): Promise<number> {
    try {
      const { statusCode, headers, body } = await sendRequest(`${baseUrl}/orders`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...order, fence }),
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      if (isSuccess(statusCode)) {
        // To its end: an order has been accepted once the response is whole.
        await readBounded(body, maxControlResponseBytes);
        requireFramed(statusCode, headers);
      } else {
        await body.dump();
      }
      return statusCode;
    } catch (error) {
      throw new OrderError(`no response to order "${order.kind}"`, baseUrl, false, error);
    }
  }
}
