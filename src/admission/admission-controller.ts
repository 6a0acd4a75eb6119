import { LRUCache } from 'lru-cache';
import { Outcome, RequestError, Step, WorkClass, type Clock, type Random } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { FairQueue } from './fair-queue.js';
import { LimitKind, SharedLimit, type SharedLimitSettings } from './shared-limit.js';

/** Properties of a request that admission uses. */
export interface AdmissionRequest {
  readonly requestId: string;
  /** `team/workspace`. */
  readonly workspaceId: string;
  /** `team/service`. */
  readonly serviceId: string;
  readonly workClass: WorkClass;
  /** Prompt tokens plus expected output tokens, weighted by the daemon; at least 1. */
  readonly costTokens: number;
  /** Charged to the spend limit; corrected to the actual spend when the request ends. */
  readonly expectedUsd: number;
  /** Time by which the request must have been sent, in epoch milliseconds. */
  readonly startByMs: number;
  /** Weight in fair queueing: `fair_weight` of the workspace. */
  readonly fairWeight: number;
  readonly limits: SharedLimitSettings;
}

/** Why a request was refused. */
export enum RefusalCode {
  RateLimited = 'rate_limited',
  ConcurrencyLimited = 'concurrency_limited',
  SpendLimited = 'spend_limited',
  /** The expected wait exceeds the deadline, or the queue is full. */
  Overloaded = 'overloaded',
  /** The deadline passed in the queue. */
  QueueTimeout = 'queue_timeout',
  /** The daemon is stopping. */
  Stopping = 'stopping',
}

/** Refusal of a request, which was not sent to any endpoint. */
export interface Refusal {
  readonly code: RefusalCode;
  /** HTTP status: 429 for a limit of the workspace, 503 for a lack of capacity. */
  readonly status: 429 | 503;
  /** Recommended time of a retry, with jitter, in epoch milliseconds. */
  readonly retryAtMs: number;
}

/** Admission of a request. Call `end` when the request is done; repeated calls are ignored. */
export interface Ticket {
  readonly request: AdmissionRequest;
  /** Time spent in the queue. */
  readonly queuedMs: number;
  /** @param actualUsd - actual spend; defaults to the expected spend. */
  end(actualUsd?: number): void;
}

/** Receives the result of {@link AdmissionController.offer}, synchronously or later. */
export interface AdmissionListener {
  admitted(ticket: Ticket): void;
  refused(refusal: Refusal): void;
}

/** Capacity of a service according to the load reports, without leaving endpoints. */
export interface ServiceCapacity {
  /** Batch slots of all usable endpoints. */
  readonly batchSlots: number;
  /** Sums over the newest reports of these endpoints. */
  readonly runningRequests: number;
  readonly queuedRequests: number;
  /** `short_reserve_ratio` of the routing settings. */
  readonly shortReserveRatio: number;
}

/** Options of {@link AdmissionController}. */
export interface AdmissionControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log?: EventLog;
}

/** Classes in the order of service, with their shares while each has queued requests. */
const classShares: readonly (readonly [WorkClass, number])[] = [
  [WorkClass.Short, 6],
  [WorkClass.Medium, 3],
  [WorkClass.Long, 2],
];

/** Fraction of the window by which underserved workspaces may exceed it. */
const overcommitRatio = 0.1;

/** A workspace is underserved below this fraction of its equal share of the window. */
const underservedRatio = 0.6;

/** Fraction of the batch slots that the windows of all daemons leave free under overload. */
const freeSlotRatio = 0.1;

/** Maximum requests queued per service; bounds memory when deadlines are hours away. */
const maxQueuedRequests = 20_000;

interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly listener: AdmissionListener;
  readonly queuedAtMs: number;
  cancelTimer: () => void;
}

class ServiceQueue {
  readonly queues = new Map<WorkClass, FairQueue<QueuedRequest>>(
    classShares.map(([workClass]) => [workClass, new FairQueue<QueuedRequest>()]),
  );
  /** Cost served per class, divided by its share. */
  readonly servedCost = new Map<WorkClass, number>();
  /** Maximum requests in flight. */
  window = Infinity;
  maxWindow = Infinity;
  narrowedAtMs = -Infinity;
  inFlight = 0;
  /** Requests in flight that are not short. */
  longerInFlight = 0;
  /** Requests in flight by workspace; workspaces without any have no entry. */
  readonly inFlightByWorkspace = new Map<string, number>();
  /** Fraction of the window that only short work may use. */
  shortReserveRatio = 0;
  /** Smoothed cost completed per millisecond; undefined before the first completions. */
  costPerMs: number | undefined;
  completedCost = 0;
  measuredAtMs: number | undefined;

  get length(): number {
    let length = 0;
    for (const queue of this.queues.values()) length += queue.length;
    return length;
  }

  /** Whether a request of the class may be sent now. */
  hasCapacity(workClass: WorkClass): boolean {
    if (this.inFlight >= this.window) return false;
    if (workClass === WorkClass.Short) return true;
    // At least one longer request may always run; a small window would starve them otherwise.
    return this.longerInFlight < Math.max(1, this.window * (1 - this.shortReserveRatio));
  }

  /**
   * Whether a workspace that is far below its equal share of a full window may exceed the window
   * slightly. With few slots per daemon, the next slot can take seconds to become free.
   */
  isUnderserved(workspaceId: string): boolean {
    if (this.inFlight >= this.window * (1 + overcommitRatio) + 1) return false;
    const ownInFlight = this.inFlightByWorkspace.get(workspaceId) ?? 0;
    const activeWorkspaces = this.inFlightByWorkspace.size + (ownInFlight === 0 ? 1 : 0);
    return ownInFlight + 1 <= (this.window / activeWorkspaces) * underservedRatio;
  }
}

/**
 * Admits requests in three stages: the shared limits of the workspace, a window of requests in
 * flight per service, and a weighted fair queue per class for requests beyond the window. A request
 * whose expected wait exceeds its deadline is refused immediately instead of after the wait.
 *
 * @example
 * ```ts
 * const ticket = await admission.admit(request, signal); // throws RequestError when refused
 * try { await serve(request); } finally { ticket.end(actualUsd); }
 * ```
 */
export class AdmissionController {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #log: EventLog | undefined;
  readonly #limits = new LRUCache<string, SharedLimit>({ max: 50_000 });
  readonly #services = new Map<string, ServiceQueue>();
  #liveDaemons = 1;
  #peerDemandPerS: ReadonlyMap<string, number> = new Map();
  #isStopping = false;

  constructor(options: AdmissionControllerOptions) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#log = options.log;
  }

  /** Requests waiting in all queues. */
  get queued(): number {
    let queued = 0;
    for (const { length } of this.#services.values()) queued += length;
    return queued;
  }

  /**
   * Submits a request. The listener receives the result, synchronously or when the request leaves
   * the queue.
   *
   * @returns a function that withdraws the request while it is queued.
   */
  offer(request: AdmissionRequest, listener: AdmissionListener): () => void {
    const nowMs = this.#clock.nowMs();
    const nothingToCancel = (): void => undefined;
    if (this.#isStopping) {
      listener.refused(this.#refusal(RefusalCode.Stopping, nowMs + 1_000));
      return nothingToCancel;
    }
    const limit = this.#limit(request, nowMs);
    const limitRefusal = limit.tryAcquire(request.expectedUsd, nowMs);
    if (limitRefusal) {
      listener.refused(this.#refusal(codeOfLimit(limitRefusal.kind), limitRefusal.retryAtMs));
      return nothingToCancel;
    }
    const service = this.#service(request.serviceId);
    const isNext =
      !service.queues.get(request.workClass)?.length && service.hasCapacity(request.workClass);
    if (isNext || service.isUnderserved(request.workspaceId)) {
      this.#start(service, { request, listener, queuedAtMs: nowMs, cancelTimer: nothingToCancel });
      return nothingToCancel;
    }
    const expectedWaitMs = this.#expectedWaitMs(service, request);
    if (nowMs + expectedWaitMs > request.startByMs || service.length >= maxQueuedRequests) {
      limit.release(request.expectedUsd, 0, nowMs);
      this.#logRefusal(request, expectedWaitMs, service.length);
      const retryAtMs = nowMs + Math.min(Math.max(expectedWaitMs / 2, 250), 30_000);
      listener.refused(this.#refusal(RefusalCode.Overloaded, retryAtMs));
      return nothingToCancel;
    }
    return this.#enqueue(service, request, listener, nowMs);
  }

  /**
   * Resolves with a ticket when the request may be sent.
   *
   * @throws RequestError with outcome `not_run` when it is refused or `signal` is aborted.
   */
  admit(request: AdmissionRequest, signal?: AbortSignal): Promise<Ticket> {
    return new Promise((resolve, reject) => {
      const onAbort = (): void => {
        withdraw();
        reject(
          new RequestError('the caller went away while the request was queued', {
            step: Step.Admit,
            peer: request.workspaceId,
            status: 503,
            code: 'cancelled',
            next: 'Send the request again if the answer is still wanted.',
            outcome: Outcome.NotRun,
          }),
        );
      };
      const withdraw = this.offer(request, {
        admitted: (ticket) => {
          signal?.removeEventListener('abort', onAbort);
          resolve(ticket);
        },
        refused: (refusal) => {
          signal?.removeEventListener('abort', onAbort);
          reject(refusalError(refusal, request));
        },
      });
      if (signal?.aborted) onAbort();
      else signal?.addEventListener('abort', onAbort, { once: true });
    });
  }

  /**
   * Updates what the shared limits depend on: the live daemons and their demand.
   *
   * @param liveDaemons - number of live daemons, including this one.
   * @param peerDemandPerS - requests per second by workspace, summed over the other daemons.
   */
  updatePeers(liveDaemons: number, peerDemandPerS: ReadonlyMap<string, number>): void {
    this.#liveDaemons = Math.max(1, liveDaemons);
    this.#peerDemandPerS = peerDemandPerS;
    const nowMs = this.#clock.nowMs();
    for (const [workspaceId, limit] of this.#limits.entries()) {
      limit.updatePeers(this.#liveDaemons, peerDemandPerS.get(workspaceId) ?? 0, nowMs);
    }
  }

  /** This daemon's demand by workspace for gossip, largest first, in requests per second. */
  demandPerS(maxWorkspaces = 32): Map<string, number> {
    const nowMs = this.#clock.nowMs();
    const demand = [...this.#limits.entries()]
      .map(([workspaceId, limit]) => [workspaceId, limit.demandPerS(nowMs)] as const)
      .filter(([, perS]) => perS > 0.01)
      .sort(([, a], [, b]) => b - a);
    return new Map(demand.slice(0, maxWorkspaces));
  }

  /**
   * Adapts the window of a service to the load reports. The window narrows to an equal share of the
   * batch slots while requests queue at the engines, which do not distinguish workspaces, and it
   * widens while slots are free. The windows of all daemons converge. Call it when reports arrive.
   */
  updateCapacity(serviceId: string, capacity: ServiceCapacity): void {
    const { batchSlots, runningRequests, queuedRequests } = capacity;
    const service = this.#service(serviceId);
    service.shortReserveRatio = capacity.shortReserveRatio;
    const nowMs = this.#clock.nowMs();
    const fairWindow = Math.max(1, batchSlots / this.#liveDaemons);
    service.maxWindow = Math.max(1, Math.min(batchSlots * 1.25, fairWindow * 4));
    if (service.window === Infinity) service.window = Math.min(service.maxWindow, fairWindow * 2);
    const isFull =
      queuedRequests > batchSlots * 0.05 || runningRequests + queuedRequests > batchSlots * 0.95;
    if (isFull) {
      // At most one cut per second, because the reports show its effect with a delay.
      if (nowMs - service.narrowedAtMs >= 1_000) {
        const leastWindow = Math.max(1, fairWindow * (1 - freeSlotRatio));
        service.window = Math.max(leastWindow, service.window * 0.85);
        service.narrowedAtMs = nowMs;
      }
    } else if (service.inFlight >= service.window - 1) {
      service.window += Math.max(0.25, fairWindow * 0.05);
    }
    service.window = Math.min(service.window, service.maxWindow);
    this.#admitQueued(service);
  }

  /** Maximum requests that this daemon may currently have in flight for a service. */
  window(serviceId: string): number {
    return this.#service(serviceId).window;
  }

  /** Refuses new requests from now on; queued requests are still served. */
  stop(): void {
    this.#isStopping = true;
  }

  #enqueue(
    service: ServiceQueue,
    request: AdmissionRequest,
    listener: AdmissionListener,
    nowMs: number,
  ): () => void {
    const queue = service.queues.get(request.workClass);
    const queuedRequest: QueuedRequest = {
      request,
      listener,
      queuedAtMs: nowMs,
      cancelTimer: () => undefined,
    };
    const withdraw = (): boolean => {
      queuedRequest.cancelTimer();
      if (!queue?.remove(request.workspaceId, queuedRequest)) return false;
      this.#limit(request, this.#clock.nowMs()).release(
        request.expectedUsd,
        0,
        this.#clock.nowMs(),
      );
      return true;
    };
    queuedRequest.cancelTimer = this.#clock.schedule(request.startByMs, () => {
      if (!withdraw()) return;
      listener.refused(this.#refusal(RefusalCode.QueueTimeout, this.#clock.nowMs() + 1_000));
    });
    queue?.push(
      {
        value: queuedRequest,
        flow: request.workspaceId,
        cost: Math.max(1, request.costTokens),
        // The timer refuses the request at its deadline, so the queue never drops it.
        startByMs: Infinity,
      },
      request.fairWeight,
    );
    this.#admitQueued(service);
    return () => {
      withdraw();
    };
  }

  #admitQueued(service: ServiceQueue): void {
    for (;;) {
      const queuedRequest = this.#dequeue(service);
      if (!queuedRequest) return;
      queuedRequest.cancelTimer();
      this.#start(service, queuedRequest);
    }
  }

  /** Takes the next request that may be sent, of the class served least relative to its share. */
  #dequeue(service: ServiceQueue): QueuedRequest | undefined {
    let chosen: WorkClass | undefined;
    let least = Infinity;
    let floor = Infinity;
    for (const [workClass] of classShares) {
      const served = service.servedCost.get(workClass) ?? 0;
      if (!service.queues.get(workClass)?.length || !service.hasCapacity(workClass)) continue;
      floor = Math.min(floor, served);
      if (served < least) {
        chosen = workClass;
        least = served;
      }
    }
    if (chosen === undefined) return undefined;
    // An idle class does not accumulate credit.
    for (const [workClass] of classShares) {
      service.servedCost.set(workClass, Math.max(floor, service.servedCost.get(workClass) ?? 0));
    }
    const item = service.queues.get(chosen)?.shift(this.#clock.nowMs());
    if (!item) return undefined;
    const share = classShares.find(([workClass]) => workClass === chosen)?.[1] ?? 1;
    service.servedCost.set(chosen, least + item.cost / share);
    return item.value;
  }

  #start(service: ServiceQueue, { request, listener, queuedAtMs }: QueuedRequest): void {
    const startedAtMs = this.#clock.nowMs();
    const longerCount = request.workClass === WorkClass.Short ? 0 : 1;
    service.inFlight += 1;
    service.longerInFlight += longerCount;
    const inFlightByWorkspace = service.inFlightByWorkspace;
    inFlightByWorkspace.set(
      request.workspaceId,
      (inFlightByWorkspace.get(request.workspaceId) ?? 0) + 1,
    );
    let isEnded = false;
    listener.admitted({
      request,
      queuedMs: startedAtMs - queuedAtMs,
      end: (actualUsd = request.expectedUsd) => {
        if (isEnded) return;
        isEnded = true;
        const nowMs = this.#clock.nowMs();
        this.#limit(request, nowMs).release(request.expectedUsd, actualUsd, nowMs);
        service.inFlight -= 1;
        service.longerInFlight -= longerCount;
        const left = (inFlightByWorkspace.get(request.workspaceId) ?? 1) - 1;
        if (left > 0) inFlightByWorkspace.set(request.workspaceId, left);
        else inFlightByWorkspace.delete(request.workspaceId);
        measureCompletion(service, request.costTokens, nowMs);
        this.#admitQueued(service);
      },
    });
  }

  /** Expected time in the queue, from the backlog that is served first and the completion rate. */
  #expectedWaitMs(service: ServiceQueue, request: AdmissionRequest): number {
    if (service.costPerMs === undefined || service.costPerMs <= 0) return 0;
    let activeShares = 0;
    let ownShare = 1;
    for (const [workClass, share] of classShares) {
      if (workClass === request.workClass) ownShare = share;
      if (workClass === request.workClass || service.queues.get(workClass)?.length) {
        activeShares += share;
      }
    }
    const queue = service.queues.get(request.workClass);
    const ahead = queue?.costAhead(request.workspaceId, request.fairWeight) ?? 0;
    return ahead / ((service.costPerMs * ownShare) / activeShares);
  }

  #limit(request: AdmissionRequest, nowMs: number): SharedLimit {
    let limit = this.#limits.get(request.workspaceId);
    if (!limit) {
      limit = new SharedLimit(request.limits, nowMs);
      const peerDemandPerS = this.#peerDemandPerS.get(request.workspaceId) ?? 0;
      limit.updatePeers(this.#liveDaemons, peerDemandPerS, nowMs);
      this.#limits.set(request.workspaceId, limit);
    }
    limit.updateLimits(request.limits, nowMs);
    return limit;
  }

  #service(serviceId: string): ServiceQueue {
    let service = this.#services.get(serviceId);
    if (!service) {
      service = new ServiceQueue();
      this.#services.set(serviceId, service);
    }
    return service;
  }

  /** Adds jitter of up to a fifth of the wait, so that refused callers do not retry in lockstep. */
  #refusal(code: RefusalCode, retryAtMs: number): Refusal {
    const nowMs = this.#clock.nowMs();
    const boundedMs = Math.min(Math.max(retryAtMs - nowMs, 50), 3_600_000);
    const isLimit =
      code === RefusalCode.RateLimited ||
      code === RefusalCode.ConcurrencyLimited ||
      code === RefusalCode.SpendLimited;
    return {
      code,
      status: isLimit ? 429 : 503,
      retryAtMs: nowMs + boundedMs * (1 + 0.2 * this.#random.float()),
    };
  }

  #logRefusal(request: AdmissionRequest, expectedWaitMs: number, queued: number): void {
    this.#log?.info(
      EventId.RequestNotAdmitted,
      'request refused: the expected wait exceeds its deadline or the queue is full',
      {
        requestId: request.requestId,
        workspace: request.workspaceId,
        expectedWaitMs: Math.round(expectedWaitMs),
        queued,
      },
    );
  }
}

/** Converts a refusal into the error that the caller receives. */
export function refusalError(refusal: Refusal, request: AdmissionRequest): RequestError {
  const isLimit = refusal.status === 429;
  const reason = isLimit
    ? `workspace ${request.workspaceId} has reached its ${refusal.code.replace('_limited', '')} limit`
    : `service ${request.serviceId} cannot start the request before its deadline`;
  return new RequestError(reason, {
    step: Step.Admit,
    peer: request.workspaceId,
    status: refusal.status,
    code: refusal.code,
    next: isLimit
      ? 'Retry after the time in Retry-After, or ask an operator to raise the limit.'
      : 'Retry after the time in Retry-After.',
    outcome: Outcome.NotRun,
    retryAtMs: refusal.retryAtMs,
  });
}

function codeOfLimit(kind: LimitKind): RefusalCode {
  switch (kind) {
    case LimitKind.Rate:
      return RefusalCode.RateLimited;
    case LimitKind.Concurrency:
      return RefusalCode.ConcurrencyLimited;
    case LimitKind.Spend:
      return RefusalCode.SpendLimited;
  }
}

/** Measures the completion rate over spans of at least half a second. */
function measureCompletion(service: ServiceQueue, cost: number, nowMs: number): void {
  service.measuredAtMs ??= nowMs;
  service.completedCost += cost;
  const spanMs = nowMs - service.measuredAtMs;
  if (spanMs < 500) return;
  const rate = service.completedCost / spanMs;
  const gain = 1 - Math.exp(-spanMs / 5_000);
  service.costPerMs =
    service.costPerMs === undefined ? rate : service.costPerMs + (rate - service.costPerMs) * gain;
  service.completedCost = 0;
  service.measuredAtMs = nowMs;
}
