import { EndpointState, type EndpointView } from '../fleet/index.js';
import type { Fence } from '../state/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import { OrderKind, type EndpointOrderClient } from './endpoint-order-client.js';
import type { LeaseManager } from './lease-manager.js';

/** Options of {@link ModelLoadController}. */
export interface ModelLoadControllerOptions {
  readonly leaseName: string;
  readonly leases: LeaseManager;
  readonly orders: EndpointOrderClient;
  /** Endpoints of the service in the region. */
  readonly views: () => readonly EndpointView[];
  /** Models that every endpoint of the service must load. */
  readonly models: () => readonly string[];
  /** Version that new endpoints load. */
  readonly version: () => string | undefined;
  /** Whether an endpoint may be ordered now; see {@link VersionRollout.mayOrder}. */
  readonly mayOrder: (view: EndpointView) => boolean;
  /** Resolves when the weight store has started the load. */
  readonly beforeLoad?: (view: EndpointView, model: string, version: string) => Promise<void>;
  readonly events?: EventLog;
}

/**
 * Orders endpoints to load models of their service that they lack, for example on a new VM, while
 * the lease is held.
 *
 * @example
 * ```ts
 * clock.every(1_000, () => loads.tick());
 * ```
 */
export class ModelLoadController {
  readonly #options: ModelLoadControllerOptions;
  readonly #events: EventLog;
  /**
   * Loads that are waiting or ordered and not yet reported as done, with the fence of the order.
   */
  readonly #pendingLoads = new Map<string, Fence>();

  constructor(options: ModelLoadControllerOptions) {
    this.#options = options;
    this.#events = options.events ?? new NullEventLog();
  }

  /** Starts the missing loads, which continue after it returns. */
  tick(): void {
    const { leases, leaseName, views, models, version, mayOrder } = this.#options;
    const fence = leases.isHeld(leaseName) ? leases.fence(leaseName) : undefined;
    const desired = version();
    if (fence === undefined || desired === undefined) return;
    const present = views();
    const ids = new Set(present.map(({ id }) => id));
    for (const key of this.#pendingLoads.keys()) {
      if (!ids.has(key.slice(0, key.lastIndexOf(' ')))) this.#pendingLoads.delete(key);
    }
    for (const view of present) {
      for (const model of models()) {
        const key = `${view.id} ${model}`;
        if (view.loadedModels.includes(model)) this.#pendingLoads.delete(key);
        else if (
          view.state === EndpointState.Live &&
          mayOrder(view) &&
          this.#pendingLoads.get(key) !== fence
        ) {
          this.#pendingLoads.set(key, fence);
          void this.#load(view, model, desired, fence);
        }
      }
    }
  }

  async #load(view: EndpointView, model: string, version: string, fence: Fence): Promise<void> {
    const { leases, leaseName, orders, beforeLoad } = this.#options;
    const key = `${view.id} ${model}`;
    try {
      await beforeLoad?.(view, model, version);
      // The lease may have expired during the wait for the weight store.
      if (!leases.isHeld(leaseName) || leases.fence(leaseName) !== fence) return;
      const order = { kind: OrderKind.LoadModel, model, version } as const;
      await orders.send(view.baseUrl, order, fence);
      this.#events.info(EventId.ModelLoadOrdered, 'endpoint ordered to load a model', {
        endpoint: view.id,
        model,
        version,
      });
    } catch (error) {
      this.#pendingLoads.delete(key);
      this.#events.warn(EventId.OrderFailed, 'endpoint did not carry out an order', {
        endpoint: view.id,
        kind: OrderKind.LoadModel,
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }
}
