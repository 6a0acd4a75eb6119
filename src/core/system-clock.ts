import { Clock } from './clock.js';
import { scheduleTimer } from './event-loop.js';

/** Longest delay that Node's timers accept; a longer one would fire immediately. */
const maxTimerDelayMs = 2_147_483_647;

/**
 * Real time in the daemon.
 *
 * Adds the wall-clock offset read at construction to the monotonic clock, so that a step of the wall
 * clock neither expires nor extends a deadline.
 *
 * @example
 * ```ts
 * const clock = new SystemClock();
 * ```
 */
export class SystemClock extends Clock {
  readonly #originMs = Date.now() - performance.now();

  override nowMs(): number {
    return this.#originMs + performance.now();
  }

  override schedule(atMs: number, action: () => void): () => void {
    const delayMs = Math.min(Math.max(0, Math.ceil(atMs - this.nowMs())), maxTimerDelayMs);
    return scheduleTimer(delayMs, action);
  }
}
