import { z } from 'zod';
import { rendezvousOrder, type Clock, type Random } from '../core/index.js';
import { readControlJson } from '../core/response-body.js';
import { sendRequest } from '../core/send-request.js';
import type { AdmissionController } from '../admission/index.js';
import { EngineError, EngineFailure } from '../engine/index.js';
import { CacheEventKind, type PrefixCacheIndex } from '../fleet/prefix-cache-index.js';
import {
  EndpointState,
  type EndpointPauses,
  type EndpointRegistry,
  type EndpointView,
} from '../fleet/index.js';
import { ServiceKind, type Deployment } from '../settings/index.js';
import type { EnginePool } from './engine-pool.js';

const healthSchema = z.looseObject({
  startedAtMs: z.number().optional(),
  models: z.array(z.string()).optional(),
  version: z.string().default(''),
});

const cacheEventsSchema = z.object({
  next: z.number().int(),
  events: z.array(
    z.object({
      sequence: z.number().int(),
      kind: z.enum(CacheEventKind),
      blocks: z.array(z.number().int()),
      observed_at_ms: z.number(),
    }),
  ),
});

/** Options of {@link EndpointPoller}. */
export interface EndpointPollerOptions {
  readonly daemon: string;
  readonly registry: EndpointRegistry;
  readonly pauses: EndpointPauses;
  readonly caches: PrefixCacheIndex;
  readonly admission: AdmissionController;
  readonly engines: EnginePool;
  readonly deployment: () => Deployment;
  readonly clock: Clock;
  readonly random: Random;
}

/**
 * Polls per second over all endpoints. A poll costs about 930 bytes and gossip takes 7.4 kB/s at 460
 * daemons; together they stay within the control budget of 13 kB/s.
 */
const maxPollsPerS = 5;
const minRoundMs = 500;
const pollTimeoutMs = 2_000;

/**
 * Polls the endpoints of this daemon's subsets for health, load and cache events. Endpoints take
 * turns, so that the number of polls per second has a limit at any number of endpoints.
 *
 * @example
 * ```ts
 * const poller = new EndpointPoller(options);
 * await poller.start();
 * ```
 */
export class EndpointPoller {
  readonly #options: EndpointPollerOptions;
  readonly #nextCacheSequence = new Map<string, number>();
  readonly #polling = new Set<string>();
  #queue: EndpointView[] = [];
  #cancelNext: () => void = () => undefined;
  #isRunning = false;

  constructor(options: EndpointPollerOptions) {
    this.#options = options;
    options.registry.onRetire((id) => this.#nextCacheSequence.delete(id));
  }

  /** Polls every endpoint once, and then continues in the background. */
  async start(): Promise<void> {
    this.#isRunning = true;
    await Promise.all(this.#polledEndpoints().map((view) => this.#poll(view)));
    this.#updateCapacity();
    this.#scheduleNext();
  }

  stop(): void {
    this.#isRunning = false;
    this.#cancelNext();
  }

  #scheduleNext(): void {
    if (!this.#isRunning) return;
    const { clock, random } = this.#options;
    if (this.#queue.length === 0) {
      this.#queue = this.#polledEndpoints();
      this.#updateCapacity();
    }
    const count = Math.max(1, this.#polledEndpoints().length);
    const intervalMs = Math.max(minRoundMs / count, 1_000 / maxPollsPerS) * (0.5 + random.float());
    this.#cancelNext = clock.schedule(clock.nowMs() + intervalMs, () => {
      const view = this.#queue.pop();
      if (view && !this.#polling.has(view.id)) void this.#poll(view);
      this.#scheduleNext();
    });
  }

  /** The endpoints that this daemon may route to; each service has a subset of its own. */
  #polledEndpoints(): EndpointView[] {
    const { registry, deployment, daemon } = this.#options;
    return [...deployment().services.values()].flatMap(({ id }) => {
      const views = registry.views(id).filter(({ state }) => state !== EndpointState.Leaving);
      const size = deployment().routing(id).subset_size;
      if (views.length <= size) return views;
      const byId = new Map(views.map((view) => [view.id, view]));
      const order = rendezvousOrder(daemon, [...byId.keys()]).slice(0, size);
      return order.flatMap((endpointId) => byId.get(endpointId) ?? []);
    });
  }

  async #poll(view: EndpointView): Promise<void> {
    const { registry, engines, pauses, clock } = this.#options;
    // A poll is a request too.
    if (pauses.isPaused(view.id, clock.nowMs())) return;
    this.#polling.add(view.id);
    const signal = AbortSignal.timeout(pollTimeoutMs);
    try {
      const current = await this.#pollHealth(view, signal);
      registry.recordLoadReport(current.id, await engines.client(current).load(signal));
      if (this.#isEngine(current)) await this.#pollCacheEvents(current, signal);
    } catch (error) {
      // A late answer does not show a failure; only a failed connection makes an endpoint suspect.
      if (isRefused(error)) registry.recordFailure(view.id, EngineFailure.ConnectionFailed);
    } finally {
      this.#polling.delete(view.id);
    }
  }

  /** Returns the current view, which has a new identity when the process has restarted. */
  async #pollHealth(view: EndpointView, signal: AbortSignal): Promise<EndpointView> {
    const { registry } = this.#options;
    const response = await sendRequest(`${view.baseUrl}/health`, { signal });
    const health = healthSchema.parse(await readControlJson(response));
    if (health.startedAtMs !== undefined) {
      registry.observeProcessStart(view.name, health.startedAtMs);
    }
    const current = registry.views(view.serviceId).find(({ name }) => name === view.name) ?? view;
    if (response.statusCode === 503) registry.recordDraining(current.id);
    else registry.restore(current.id);
    if (health.models) registry.recordLoadedModels(current.id, health.models, health.version);
    return current;
  }

  async #pollCacheEvents(view: EndpointView, signal: AbortSignal): Promise<void> {
    const from = this.#nextCacheSequence.get(view.id) ?? 0;
    const response = await sendRequest(`${view.baseUrl}/cache/events?from=${from}`, { signal });
    const answer = cacheEventsSchema.safeParse(await readControlJson(response));
    if (!answer.success) return;
    for (const event of answer.data.events) {
      const { sequence, kind, blocks, observed_at_ms } = event;
      this.#options.caches.apply(view.id, { sequence, kind, blocks, observedAtMs: observed_at_ms });
      this.#nextCacheSequence.set(view.id, sequence + 1);
    }
  }

  #isEngine(view: EndpointView): boolean {
    return (
      this.#options.deployment().services.get(view.serviceId)?.values.kind === ServiceKind.Engine
    );
  }

  /** Updates the capacity of each service's live endpoints in the admission controller. */
  #updateCapacity(): void {
    const { registry, deployment, admission } = this.#options;
    for (const { id } of deployment().services.values()) {
      const usable = registry.views(id).filter(({ state }) => state === EndpointState.Live);
      if (usable.length === 0) continue;
      const sum = (field: (view: EndpointView) => number): number =>
        usable.reduce((total, view) => total + field(view), 0);
      admission.updateCapacity(id, {
        batchSlots: sum((view) => view.batchSlots),
        runningRequests: sum((view) => view.report?.runningRequests ?? 0),
        queuedRequests: sum((view) => view.report?.queuedRequests ?? 0),
        shortReserveRatio: deployment().routing(id).short_reserve_ratio,
      });
    }
  }
}

function isRefused(error: unknown): boolean {
  const cause = error instanceof EngineError ? error.cause : error;
  const code = (cause as { code?: unknown } | null)?.code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
