import type { Clock } from '../core/index.js';
import { EndpointState, type EndpointRegistry, type EndpointView } from '../fleet/index.js';
import type { Fence } from '../state/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import {
  OrderError,
  OrderKind,
  type EndpointOrder,
  type EndpointOrderClient,
} from './endpoint-order-client.js';
import type { LeaseManager } from './lease-manager.js';
import { RolloutPhase, RolloutPlanner, type RolloutState } from './rollout-planner.js';

/** Options of {@link VersionRollout}. */
export interface VersionRolloutOptions {
  readonly serviceId: string;
  readonly region: string;
  readonly leaseName: string;
  readonly clock: Clock;
  readonly leases: LeaseManager;
  readonly orders: EndpointOrderClient;
  readonly registry: EndpointRegistry;
  /** `version` of the service's settings. */
  readonly desiredVersion: () => string | undefined;
  /** Resolves when the weight store has started the loads that an endpoint needs for a version. */
  readonly beforeLoad?: (view: EndpointView, version: string) => Promise<void>;
  readonly events?: EventLog;
  /**
   * Stores a new state for the next holder before any order that follows from it is sent. When it
   * rejects, the round ends and the state does not take effect.
   */
  readonly saveState?: (state: RolloutState, fence: Fence) => Promise<void>;
}

/**
 * Wait after the lease was acquired before orders are sent to endpoints that do not check fences.
 * An order that the last holder sent just before it lost the lease arrives within its timeout.
 */
const unfencedGraceMs = 15_000;

/**
 * Sends the orders of a rollout while the lease is held.
 *
 * @example
 * ```ts
 * clock.every(1_000, () => void rollout.tick());
 * ```
 */
export class VersionRollout {
  readonly #options: VersionRolloutOptions;
  readonly #events: EventLog;
  readonly #planner = new RolloutPlanner();
  /** Versions that were ordered and that the endpoints do not run yet, by endpoint id. */
  readonly #pendingVersions = new Map<string, string>();
  readonly #failedIds = new Set<string>();
  #state: RolloutState | undefined;
  #fence: Fence | undefined;
  #fenceAtMs = 0;
  #isSaving = false;

  constructor(options: VersionRolloutOptions) {
    this.#options = options;
    this.#events = options.events ?? new NullEventLog();
  }

  get state(): RolloutState | undefined {
    return this.#state;
  }

  /** Sets the state that an earlier holder stored; undefined when there is none. */
  restore(state: RolloutState | undefined): void {
    this.#state = state;
  }

  /** Runs one round; does nothing while a state is being saved. */
  async tick(): Promise<void> {
    const fence = this.#heldFence();
    const desired = this.#options.desiredVersion();
    if (fence === undefined || desired === undefined || this.#isSaving) return;
    const views = this.#options.registry
      .views(this.#options.serviceId)
      .filter(({ region }) => region === this.#options.region);
    for (const { id, version } of views) {
      if (this.#pendingVersions.get(id) === version) this.#pendingVersions.delete(id);
    }
    const current = this.#state ?? this.#planner.initial(desired, views);
    const nowMs = this.#options.clock.nowMs();
    const { state, changes } = this.#planner.next(current, desired, views, this.#failedIds, nowMs);
    if (state !== current && !(await this.#save(state, fence))) return;
    this.#applyState(state, current);
    const byId = new Map(views.map((view) => [view.id, view]));
    await Promise.all(
      changes.map(async ({ endpointId, version }) => {
        const view = byId.get(endpointId);
        if (view && this.mayOrder(view)) await this.#order(view, version, fence);
      }),
    );
  }

  /**
   * Sends one order outside a rollout, such as a role or an adapter.
   *
   * @throws OrderError when orders may not be sent to the endpoint now, or when it does not accept
   * the order.
   */
  async order(view: EndpointView, order: EndpointOrder): Promise<void> {
    const fence = this.#heldFence();
    if (fence === undefined || !this.mayOrder(view)) {
      throw new OrderError('lease not held for long enough; retry later', view.baseUrl, false);
    }
    await this.#options.orders.send(view.baseUrl, order, fence);
  }

  #heldFence(): Fence | undefined {
    const { leases, leaseName, clock } = this.#options;
    const fence = leases.isHeld(leaseName) ? leases.fence(leaseName) : undefined;
    if (fence !== this.#fence) {
      this.#fence = fence;
      this.#fenceAtMs = clock.nowMs();
      this.#pendingVersions.clear();
      this.#failedIds.clear();
    }
    return fence;
  }

  /** Whether an order may be sent to an endpoint now; see {@link unfencedGraceMs}. */
  mayOrder(view: EndpointView): boolean {
    if (view.state === EndpointState.Leaving) return false;
    return view.checksFence || this.#options.clock.nowMs() >= this.#fenceAtMs + unfencedGraceMs;
  }

  /** @returns whether the lease is still held with `fence` after the state was saved. */
  async #save(state: RolloutState, fence: Fence): Promise<boolean> {
    if (!this.#options.saveState) return true;
    this.#isSaving = true;
    try {
      await this.#options.saveState(state, fence);
    } finally {
      this.#isSaving = false;
    }
    return this.#heldFence() === fence;
  }

  #applyState(state: RolloutState, previous: RolloutState): void {
    this.#state = state;
    if (state === previous) return;
    if (state.version !== previous.version) {
      this.#pendingVersions.clear();
      this.#failedIds.clear();
    }
    if (state.phase === previous.phase && state.version === previous.version) return;
    const fields = { service: this.#options.serviceId, version: state.version };
    switch (state.phase) {
      case RolloutPhase.Canary:
        this.#events.info(EventId.RolloutStarted, 'rollout started with one endpoint', fields);
        break;
      case RolloutPhase.RollingBack:
        this.#events.error(EventId.RolledBack, 'new version failed; rolling back', {
          ...fields,
          reason: state.reason,
        });
        break;
      case RolloutPhase.Steady:
        this.#events.info(EventId.RolloutFinished, 'all endpoints run the version', fields);
        break;
      case RolloutPhase.Rolling:
        break;
    }
  }

  async #order(view: EndpointView, version: string, fence: Fence): Promise<void> {
    if (this.#pendingVersions.get(view.id) === version) return;
    this.#pendingVersions.set(view.id, version);
    try {
      await this.#options.beforeLoad?.(view, version);
      // The lease may have expired during the wait for the weight store.
      if (this.#heldFence() !== fence) return;
      const order: EndpointOrder = { kind: OrderKind.SetVersion, version };
      await this.#options.orders.send(view.baseUrl, order, fence);
    } catch (error) {
      this.#pendingVersions.delete(view.id);
      if (!(error instanceof OrderError) || !error.isFenceStale) this.#failedIds.add(view.id);
      this.#events.warn(EventId.OrderFailed, 'endpoint did not carry out an order', {
        endpoint: view.id,
        kind: OrderKind.SetVersion,
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }
}
