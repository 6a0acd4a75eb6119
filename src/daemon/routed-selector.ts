import { TrafficClass } from '../capacity/index.js';
import { Outcome, RequestError, Step, WorkClass, type Clock } from '../core/index.js';
import { EngineFailure, type EngineClient } from '../engine/index.js';
import type { PrefixCacheIndex } from '../fleet/prefix-cache-index.js';
import {
  EndpointState,
  type EndpointPauses,
  type EndpointRegistry,
  type EndpointView,
  type LeavingSet,
  type RoutedRequest,
} from '../fleet/index.js';
import { promptPrefix, type PromptPrefix } from '../fleet/prompt-prefix.js';
import type { SpeedEstimator } from '../fleet/speed-estimator.js';
import {
  AttemptEnd,
  EndpointLease,
  EndpointSelector,
  estimatePromptTokens,
  type SelectionRequest,
} from '../pipeline/index.js';
import {
  AttemptObserver,
  type Decision,
  type RouteRequest,
  type Router,
} from '../routing/index.js';
import { workspaceSchema, type Deployment } from '../settings/index.js';
import { LinkDirection, type RegionLinks } from './region-links.js';

/** Provides the client of an endpoint; implemented by the engine pool. */
export interface EngineClientProvider {
  client(view: EndpointView): EngineClient;
}

/** Options of {@link RoutedSelector}. */
export interface RoutedSelectorOptions {
  readonly router: Router;
  readonly registry: EndpointRegistry;
  readonly pauses: EndpointPauses;
  readonly leaving: LeavingSet;
  readonly caches: PrefixCacheIndex;
  readonly speeds: SpeedEstimator;
  readonly engines: EngineClientProvider;
  /** Whether the set of leaving endpoints is up to date; false briefly after a process pause. */
  readonly isCurrent: () => boolean;
  readonly deployment: () => Deployment;
  readonly clock: Clock;
  readonly links: RegionLinks;
}

/** Inputs of a routing decision. */
export interface RouteQuery extends Omit<SelectionRequest, 'messages' | 'resumeText'> {
  readonly prefix: PromptPrefix;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly isRepeatable: boolean;
  /** When set, only endpoints of this region count. */
  readonly region?: string;
}

/** Longest wait for an endpoint that can take a request, and the interval between attempts. */
const maxWaitMs = 5_000;
const retryIntervalMs = 100;
const stallCheckMs = 500;
/** Share of the notice after which streams move; the rest is left for starting elsewhere. */
const moveAfterRatio = 0.3;

/**
 * Chooses endpoints with the router, and records the result of each attempt for load, speed, prefix
 * cache and circuit.
 *
 * @example
 * ```ts
 * const lease = await selector.select(request, signal);
 * ```
 */
export class RoutedSelector extends EndpointSelector {
  readonly #options: RoutedSelectorOptions;
  readonly #leases = new Set<RoutedLease>();
  readonly #stopChecking: () => void;

  constructor(options: RoutedSelectorOptions) {
    super();
    this.#options = options;
    options.leaving.onChange(() => {
      this.#scheduleMoves();
    });
    this.#stopChecking = options.clock.every(stallCheckMs, () => {
      const nowMs = options.clock.nowMs();
      for (const lease of this.#leases) lease.checkStall(nowMs);
    });
  }

  override async select(request: SelectionRequest, signal: AbortSignal): Promise<EndpointLease> {
    const { clock } = this.#options;
    const messages =
      request.resumeText === ''
        ? request.messages
        : [...request.messages, { role: 'assistant', content: request.resumeText }];
    const query: RouteQuery = {
      ...request,
      prefix: promptPrefix(messages),
      promptTokens: estimatePromptTokens(messages),
      expectedOutputTokens: expectedTokens(request),
      isRepeatable: true,
    };
    const waitDeadlineAtMs = Math.min(request.deadlineAtMs, clock.nowMs() + maxWaitMs);
    for (;;) {
      const lease = this.tryLease(query);
      if (lease) return lease;
      if (signal.aborted || clock.nowMs() >= waitDeadlineAtMs) throw this.#noEndpoint(request);
      await clock.sleepUntil(clock.nowMs() + retryIntervalMs, signal);
    }
  }

  /** Routes once; undefined when no endpoint is eligible or `isCurrent` is false. */
  tryLease(query: RouteQuery): RoutedLease | undefined {
    const { registry, clock, router, links, pauses, isCurrent } = this.#options;
    if (!isCurrent()) return undefined;
    // A request goes to another region only while the link has room; otherwise it would wait.
    const views = registry
      .views(query.serviceId)
      .filter(
        ({ region }) =>
          (query.region === undefined || region === query.region) &&
          links.delayMs(region, LinkDirection.Out, TrafficClass.Requests) === 0,
      );
    const decision = router.choose(this.#routeRequest(query), views, clock.nowMs());
    const view = decision.endpoint;
    if (!view) return undefined;
    const endProbe = pauses.began(view.id, clock.nowMs());
    const pendingTokens = query.promptTokens + query.expectedOutputTokens;
    const lease = new RoutedLease({
      ...this.#options,
      view,
      decision,
      request: query,
      inFlightRequest: registry.beginRequest(view.id, query.workClass, pendingTokens),
      onEnd: () => {
        endProbe();
        this.#leases.delete(lease);
      },
    });
    this.#leases.add(lease);
    // The endpoint may have begun to leave after its view was read.
    this.#scheduleMove(lease);
    return lease;
  }

  /** Number of requests in flight at an endpoint. */
  inFlight(endpointId: string): number {
    return [...this.#leases].filter((lease) => lease.endpointId === endpointId).length;
  }

  stop(): void {
    this.#stopChecking();
  }

  #routeRequest(query: RouteQuery): RouteRequest {
    const deployment = this.#options.deployment();
    const routing = deployment.routing(query.serviceId);
    const service = deployment.services.get(query.serviceId)?.values;
    const weights =
      deployment.workspaces.get(query.workspaceId)?.values ??
      workspaceSchema.parse({ services: '' });
    return {
      requestId: query.requestId,
      workspaceId: query.workspaceId,
      serviceId: query.serviceId,
      model: query.model,
      workClass: query.workClass,
      promptTokens: query.promptTokens,
      expectedOutputTokens: query.expectedOutputTokens,
      prefix: query.prefix,
      deadlineAtMs: query.deadlineAtMs,
      weights,
      objectiveFirstTokenMs: service?.objective_first_token_ms ?? 1_900,
      objectiveBetweenTokensMs: service?.objective_between_tokens_ms ?? 66,
      spillOver: routing.spill_over,
      shortReserveRatio: routing.short_reserve_ratio,
      subsetSize: routing.subset_size,
      repeatable: query.isRepeatable,
      requiresFence: false,
      excludedEndpoints: [...query.excludedIds],
    };
  }

  #scheduleMoves(): void {
    for (const lease of this.#leases) this.#scheduleMove(lease);
  }

  /** Moves a stream off a leaving endpoint after a share of its notice, off a removed one at once. */
  #scheduleMove(lease: RoutedLease): void {
    const { registry, clock } = this.#options;
    const view = registry.view(lease.endpointId);
    if (view && view.state !== EndpointState.Leaving) return;
    const nowMs = clock.nowMs();
    const remainingMs = Math.max(0, (view?.leavingAtMs ?? nowMs) - nowMs);
    lease.moveAt(nowMs + remainingMs * moveAfterRatio);
  }

  #noEndpoint(request: SelectionRequest): RequestError {
    const isFirst = request.excludedIds.size === 0;
    return new RequestError(`no endpoint of ${request.serviceId} can take the request`, {
      step: Step.Route,
      peer: request.serviceId,
      status: 503,
      code: 'no_endpoint',
      next: 'Send the request again later.',
      outcome: isFirst ? Outcome.NotRun : Outcome.Unknown,
      retryAtMs: this.#options.clock.nowMs() + 2_000,
    });
  }
}

interface RoutedLeaseOptions extends RoutedSelectorOptions {
  readonly view: EndpointView;
  readonly decision: Decision;
  readonly request: RouteQuery;
  readonly inFlightRequest: RoutedRequest;
  readonly onEnd: () => void;
}

/** One attempt at an endpoint chosen by the router. */
export class RoutedLease extends EndpointLease {
  override readonly isProbe: boolean;
  readonly view: EndpointView;
  readonly #options: RoutedLeaseOptions;
  readonly #observer: AttemptObserver;
  readonly #startedAtMs: number;
  readonly #moveController = new AbortController();
  #cancelMove: (() => void) | undefined;
  #hasEnded = false;

  /** @internal */
  constructor(options: RoutedLeaseOptions) {
    super();
    this.view = options.view;
    this.isProbe = options.decision.isProbe;
    this.#options = options;
    const { caches, speeds, decision, request, clock } = options;
    this.#startedAtMs = clock.nowMs();
    this.#observer = new AttemptObserver(caches, speeds, decision, request, this.#startedAtMs);
  }

  override get endpointId(): string {
    return this.view.id;
  }

  override get endpointName(): string {
    return this.view.name;
  }

  override get client(): EngineClient {
    return this.#options.engines.client(this.view);
  }

  override get moveSignal(): AbortSignal {
    return this.#moveController.signal;
  }

  override get engineClass(): WorkClass {
    return this.#options.decision.engineClass;
  }

  /** Requests the move at `atMs`; later calls have no effect. */
  moveAt(atMs: number): void {
    this.#cancelMove ??= this.#options.clock.schedule(atMs, () => {
      this.#moveController.abort();
    });
  }

  override recordToken(): void {
    this.#observer.token(this.#options.clock.nowMs());
  }

  override recordSilence(): void {
    this.#options.registry.recordFailure(this.endpointId, EngineFailure.TimedOut);
  }

  checkStall(nowMs: number): void {
    this.#observer.checkStall(nowMs);
  }

  override end(attemptEnd: AttemptEnd, usage?: { readonly cachedTokens: number }): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#cancelMove?.();
    const { registry, inFlightRequest, clock, pauses, onEnd } = this.#options;
    inFlightRequest.end();
    onEnd();
    const failure = failureByAttemptEnd[attemptEnd];
    if (failure === undefined) {
      this.#observer.ended(clock.nowMs(), usage?.cachedTokens);
      if (attemptEnd !== AttemptEnd.Completed) return;
      registry.recordSuccess(this.endpointId);
      pauses.accepted(this.endpointId, this.#startedAtMs, clock.nowMs());
      return;
    }
    this.#observer.failed(failure === EngineFailure.ConnectionFailed);
    registry.recordFailure(this.endpointId, failure);
  }
}

/** Failure of the endpoint that an end of an attempt shows; undefined when there is none. */
const failureByAttemptEnd: Readonly<Record<AttemptEnd, EngineFailure | undefined>> = {
  [AttemptEnd.Completed]: undefined,
  [AttemptEnd.Moved]: undefined,
  [AttemptEnd.Cancelled]: undefined,
  [AttemptEnd.ConnectionFailed]: EngineFailure.ConnectionFailed,
  [AttemptEnd.Rejected]: EngineFailure.Rejected,
  [AttemptEnd.Broken]: EngineFailure.Broken,
  [AttemptEnd.TimedOut]: EngineFailure.TimedOut,
};

function expectedTokens(request: SelectionRequest): number {
  return Math.min(request.maxTokens, request.expectedOutputTokens);
}
