/**
 * Time source passed to every component. Decision logic runs unchanged on real time in the daemon
 * and on virtual time in tests and benchmarks.
 *
 * @example
 * ```ts
 * const deadlineAtMs = clock.nowMs() + 5_000;
 * await clock.sleepUntil(deadlineAtMs);
 * ```
 */
export abstract class Clock {
  /** Current time in milliseconds since the Unix epoch. */
  abstract nowMs(): number;

  /**
   * Runs `action` once at or after `atMs` (epoch milliseconds).
   *
   * @returns a function that cancels the timer; further calls have no effect.
   */
  abstract schedule(atMs: number, action: () => void): () => void;

  /**
   * Resolves at or after `atMs` (epoch milliseconds). Resolves without delay when that time has
   * passed or when `signal` aborts.
   */
  sleepUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted || atMs <= this.nowMs()) {
        resolve();
        return;
      }
      const finish = (): void => {
        cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const cancel = this.schedule(atMs, finish);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  /**
   * Runs `action` every `intervalMs` milliseconds, first after one interval.
   *
   * @returns a function that stops the repetition.
   */
  every(intervalMs: number, action: () => void): () => void {
    let cancel: () => void;
    const tick = (): void => {
      cancel = this.schedule(this.nowMs() + intervalMs, tick);
      action();
    };
    cancel = this.schedule(this.nowMs() + intervalMs, tick);
    return () => {
      cancel();
    };
  }
}
