import { WorkClass } from '../core/index.js';
import type { AdmissionListener, AdmissionRequest } from './admission-request.js';
import { FairQueue } from './fair-queue.js';

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

/** A request that waits for capacity, or is about to be sent. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly listener: AdmissionListener;
  readonly queuedAtMs: number;
  cancelTimer: () => void;
}

/** The requests of one service at this daemon: those that wait, and how many may be in flight. */
export class ServiceQueue {
  readonly queues = new Map<WorkClass, FairQueue<QueuedRequest>>(
    classShares.map(([workClass]) => [workClass, new FairQueue<QueuedRequest>()]),
  );
  /** Cost served per class, divided by its share. */
  readonly #servedCost = new Map<WorkClass, number>();
  /** Maximum requests in flight. */
  window = Infinity;
  #maxWindow = Infinity;
  #narrowedAtMs = -Infinity;
  #inFlight = 0;
  /** Requests in flight that are not short. */
  #longerInFlight = 0;
  /** Requests in flight by workspace; workspaces without any have no entry. */
  readonly #inFlightByWorkspace = new Map<string, number>();
  /** Fraction of the window that only short work may use. */
  #shortReserveRatio = 0;
  /** Smoothed cost completed per millisecond; undefined before the first completions. */
  #costPerMs: number | undefined;
  #completedCost = 0;
  #measuredAtMs: number | undefined;

  get length(): number {
    let length = 0;
    for (const queue of this.queues.values()) length += queue.length;
    return length;
  }

  /** Whether a request of the class may be sent now. */
  hasCapacity(workClass: WorkClass): boolean {
    if (this.#inFlight >= this.window) return false;
    if (workClass === WorkClass.Short) return true;
    // At least one longer request may always run; a small window would starve them otherwise.
    return this.#longerInFlight < Math.max(1, this.window * (1 - this.#shortReserveRatio));
  }

  /**
   * Whether a workspace that is far below its equal share of a full window may exceed the window
   * slightly. With few slots per daemon, the next slot can take seconds to become free.
   */
  isUnderserved(workspaceId: string): boolean {
    if (this.#inFlight >= this.window * (1 + overcommitRatio) + 1) return false;
    const ownInFlight = this.#inFlightByWorkspace.get(workspaceId) ?? 0;
    const activeWorkspaces = this.#inFlightByWorkspace.size + (ownInFlight === 0 ? 1 : 0);
    return ownInFlight + 1 <= (this.window / activeWorkspaces) * underservedRatio;
  }

  /** Takes the next request that may be sent, of the class served least relative to its share. */
  dequeue(nowMs: number): QueuedRequest | undefined {
    let chosen: WorkClass | undefined;
    let least = Infinity;
    let floor = Infinity;
    for (const [workClass] of classShares) {
      const served = this.#servedCost.get(workClass) ?? 0;
      if (!this.queues.get(workClass)?.length || !this.hasCapacity(workClass)) continue;
      floor = Math.min(floor, served);
      if (served < least) {
        chosen = workClass;
        least = served;
      }
    }
    if (chosen === undefined) return undefined;
    // An idle class does not accumulate credit.
    for (const [workClass] of classShares) {
      this.#servedCost.set(workClass, Math.max(floor, this.#servedCost.get(workClass) ?? 0));
    }
    const item = this.queues.get(chosen)?.shift(nowMs);
    if (!item) return undefined;
    const share = classShares.find(([workClass]) => workClass === chosen)?.[1] ?? 1;
    this.#servedCost.set(chosen, least + item.cost / share);
    return item.value;
  }

  /** Expected time in the queue, from the backlog that is served first and the completion rate. */
  expectedWaitMs(request: AdmissionRequest): number {
    if (this.#costPerMs === undefined || this.#costPerMs <= 0) return 0;
    let activeShares = 0;
    let ownShare = 1;
    for (const [workClass, share] of classShares) {
      if (workClass === request.workClass) ownShare = share;
      if (workClass === request.workClass || this.queues.get(workClass)?.length) {
        activeShares += share;
      }
    }
    const queue = this.queues.get(request.workClass);
    const ahead = queue?.costAhead(request.workspaceId, request.fairWeight) ?? 0;
    return ahead / ((this.#costPerMs * ownShare) / activeShares);
  }

  /** Counts a request that is sent. */
  begin({ workspaceId, workClass }: AdmissionRequest): void {
    this.#inFlight += 1;
    if (workClass !== WorkClass.Short) this.#longerInFlight += 1;
    const own = this.#inFlightByWorkspace.get(workspaceId) ?? 0;
    this.#inFlightByWorkspace.set(workspaceId, own + 1);
  }

  /** Counts the end of a request that {@link begin} has counted. */
  end({ workspaceId, workClass, costTokens }: AdmissionRequest, nowMs: number): void {
    this.#inFlight -= 1;
    if (workClass !== WorkClass.Short) this.#longerInFlight -= 1;
    const left = (this.#inFlightByWorkspace.get(workspaceId) ?? 1) - 1;
    if (left > 0) this.#inFlightByWorkspace.set(workspaceId, left);
    else this.#inFlightByWorkspace.delete(workspaceId);
    this.#measureCompletion(costTokens, nowMs);
  }

  /** Adapts the window to the load reports; see {@link AdmissionController.updateCapacity}. */
  adaptWindow(capacity: ServiceCapacity, liveDaemons: number, nowMs: number): void {
    const { batchSlots, runningRequests, queuedRequests } = capacity;
    this.#shortReserveRatio = capacity.shortReserveRatio;
    const fairWindow = Math.max(1, batchSlots / liveDaemons);
    this.#maxWindow = Math.max(1, Math.min(batchSlots * 1.25, fairWindow * 4));
    if (this.window === Infinity) this.window = Math.min(this.#maxWindow, fairWindow * 2);
    const isFull =
      queuedRequests > batchSlots * 0.05 || runningRequests + queuedRequests > batchSlots * 0.95;
    if (isFull) {
      // At most one cut per second, because the reports show its effect with a delay.
      if (nowMs - this.#narrowedAtMs >= 1_000) {
        const leastWindow = Math.max(1, fairWindow * (1 - freeSlotRatio));
        this.window = Math.max(leastWindow, this.window * 0.85);
        this.#narrowedAtMs = nowMs;
      }
    } else if (this.#inFlight >= this.window - 1) {
      this.window += Math.max(0.25, fairWindow * 0.05);
    }
    this.window = Math.min(this.window, this.#maxWindow);
  }

  /** Measures the completion rate over spans of at least half a second. */
  #measureCompletion(cost: number, nowMs: number): void {
    this.#measuredAtMs ??= nowMs;
    this.#completedCost += cost;
    const spanMs = nowMs - this.#measuredAtMs;
    if (spanMs < 500) return;
    const rate = this.#completedCost / spanMs;
    const gain = 1 - Math.exp(-spanMs / 5_000);
    this.#costPerMs =
      this.#costPerMs === undefined ? rate : this.#costPerMs + (rate - this.#costPerMs) * gain;
    this.#completedCost = 0;
    this.#measuredAtMs = nowMs;
  }
}
