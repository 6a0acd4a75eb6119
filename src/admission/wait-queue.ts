import { compareValues, type RequestValue } from './value-shares.js';

/** A request that waits. */
export interface WaitingRequest {
  readonly value: RequestValue;
  readonly workspaceName: string;
  /** Memory that it holds while it waits. */
  readonly bytes: number;
}

/** Bounds of a {@link WaitQueue}. */
export interface WaitQueueLimits {
  readonly maxRequests: number;
  readonly maxBytes: number;
}

/**
 * Bounded queue of requests that wait for a slot of one service. The most urgent comes first; of one
 * urgency, the one whose workspace has fewest requests waiting, then the one that came first.
 *
 * @example
 * ```ts
 * const displaced = queue.add(request); // the request itself when it found no place
 * queue.first()?.start();
 * ```
 */
export class WaitQueue<T extends WaitingRequest> {
  readonly #limits: WaitQueueLimits;
  #requests: T[] = [];
  #bytes = 0;

  constructor(limits: WaitQueueLimits) {
    this.#limits = limits;
  }

  get length(): number {
    return this.#requests.length;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Requests that start before one of this value. */
  countAhead(value: RequestValue): number {
    return this.#requests.filter((other) => compareValues(other.value, value) <= 0).length;
  }

  /** Adds a request. @returns the requests that have no place any more, maybe the new one. */
  add(request: T): T[] {
    this.#requests.push(request);
    this.#bytes += request.bytes;
    const displaced: T[] = [];
    while (this.#isOverfull) {
      const last = this.#lastOne();
      if (!last) break;
      this.remove(last);
      displaced.push(last);
    }
    return displaced;
  }

  /** Removes a request, for example when its caller disconnects. @returns whether it was waiting. */
  remove(request: T): boolean {
    const index = this.#requests.indexOf(request);
    if (index < 0) return false;
    this.#requests.splice(index, 1);
    this.#bytes -= request.bytes;
    return true;
  }

  /** The request that starts next; it stays in the queue. */
  first(): T | undefined {
    return this.#requests.reduce<T | undefined>(
      (best, other) => (best && this.#compare(best, other) <= 0 ? best : other),
      undefined,
    );
  }

  get #isOverfull(): boolean {
    const { maxRequests, maxBytes } = this.#limits;
    return this.#requests.length > maxRequests || this.#bytes > maxBytes;
  }

  #lastOne(): T | undefined {
    return this.#requests.reduce<T | undefined>(
      (worst, other) => (worst && this.#compare(worst, other) > 0 ? worst : other),
      undefined,
    );
  }

  #compare(a: T, b: T): number {
    return compareValues(a.value, b.value) || this.#waitingOf(a) - this.#waitingOf(b);
  }

  #waitingOf({ workspaceName }: T): number {
    return this.#requests.filter((other) => other.workspaceName === workspaceName).length;
  }
}
