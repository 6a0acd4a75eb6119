import { Clock } from './clock.js';

interface Timer {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
  cancelled: boolean;
}

/**
 * Simulated time for tests and benchmarks. Timers due at the same millisecond run in the order in
 * which they were scheduled, so that a run depends only on its seed.
 *
 * @example
 * ```ts
 * const clock = new VirtualClock();
 * clock.schedule(clock.nowMs() + 10, () => console.log('due'));
 * await clock.advance(10);
 * ```
 */
export class VirtualClock extends Clock {
  #nowMs: number;
  #sequence = 0;
  readonly #heap: Timer[] = [];

  /** @param startMs - initial time in epoch milliseconds. */
  constructor(startMs = 1_000_000) {
    super();
    this.#nowMs = startMs;
  }

  override nowMs(): number {
    return this.#nowMs;
  }

  /** Number of scheduled timers that have neither run nor been cancelled. */
  get pendingTimerCount(): number {
    return this.#heap.reduce((count, timer) => count + (timer.cancelled ? 0 : 1), 0);
  }

  override schedule(atMs: number, action: () => void): () => void {
    const timer: Timer = {
      atMs: Math.max(atMs, this.#nowMs),
      sequence: this.#sequence++,
      action,
      cancelled: false,
    };
    this.#push(timer);
    return () => {
      timer.cancelled = true;
    };
  }

  /**
   * Advances the time by `durationMs`. Runs every timer that becomes due and lets promise
   * continuations settle after each.
   */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.#nowMs + durationMs;
    await settlePromises();
    for (let next = this.#peek(); next && next.atMs <= untilMs; next = this.#peek()) {
      this.#runNext();
      await settlePromises();
    }
    this.#nowMs = untilMs;
  }

  /**
   * Advances the time to `untilMs` and runs timers in order without waiting for promises. Meant for
   * synchronous simulations, where settling promises after each of millions of events would dominate
   * the run time.
   */
  runUntil(untilMs: number): void {
    for (let next = this.#peek(); next && next.atMs <= untilMs; next = this.#peek()) {
      this.#runNext();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }

  #runNext(): void {
    const timer = this.#pop();
    if (!timer) return;
    this.#nowMs = timer.atMs;
    timer.action();
  }

  #peek(): Timer | undefined {
    while (this.#heap[0]?.cancelled) this.#pop();
    return this.#heap[0];
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentTimer = heap[parent];
      if (!parentTimer || !isBefore(timer, parentTimer)) break;
      heap[index] = parentTimer;
      index = parent;
    }
    heap[index] = timer;
  }

  #pop(): Timer | undefined {
    const heap = this.#heap;
    const top = heap[0];
    const last = heap.pop();
    if (!last || heap.length === 0) return top;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const left = heap[child];
      if (!left) break;
      const right = heap[child + 1];
      if (right && isBefore(right, left)) child += 1;
      const smallest = heap[child];
      if (!smallest || !isBefore(smallest, last)) break;
      heap[index] = smallest;
      index = child;
    }
    heap[index] = last;
    return top;
  }
}

function isBefore(left: Timer, right: Timer): boolean {
  return left.atMs === right.atMs ? left.sequence < right.sequence : left.atMs < right.atMs;
}

/** Lets all promise continuations run that are ready, including chained ones. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
