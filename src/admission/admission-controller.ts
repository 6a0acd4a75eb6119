import { LRUCache } from 'lru-cache';
import { Outcome, RequestError, Step, type Clock, type Random } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import {
  RefusalCode,
  codeOfLimit,
  refusalError,
  type AdmissionListener,
  type AdmissionRequest,
  type Refusal,
  type Ticket,
} from './admission-request.js';
import { ServiceQueue, type QueuedRequest, type ServiceCapacity } from './service-queue.js';
import { SharedLimit } from './shared-limit.js';

/** Options of {@link AdmissionController}. */
export interface AdmissionControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log?: EventLog;
}

/** Maximum requests queued per service; bounds memory when deadlines are hours away. */
const maxQueuedRequests = 20_000;

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
    const expectedWaitMs = service.expectedWaitMs(request);
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
    const service = this.#service(serviceId);
    service.adaptWindow(capacity, this.#liveDaemons, this.#clock.nowMs());
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
      const queuedRequest = service.dequeue(this.#clock.nowMs());
      if (!queuedRequest) return;
      queuedRequest.cancelTimer();
      this.#start(service, queuedRequest);
    }
  }

  #start(service: ServiceQueue, { request, listener, queuedAtMs }: QueuedRequest): void {
    const startedAtMs = this.#clock.nowMs();
    service.begin(request);
    let isEnded = false;
    listener.admitted({
      request,
      queuedMs: startedAtMs - queuedAtMs,
      end: (actualUsd = request.expectedUsd) => {
        if (isEnded) return;
        isEnded = true;
        const nowMs = this.#clock.nowMs();
        this.#limit(request, nowMs).release(request.expectedUsd, actualUsd, nowMs);
        service.end(request, nowMs);
        this.#admitQueued(service);
      },
    });
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
