import type { Clock } from '../core/index.js';
import type { EntryPriority } from './entry-writer.js';

/** Options of {@link AppendBudget}. */
export interface AppendBudgetOptions {
  readonly clock: Clock;
  /** Appends per second that the whole deployment may use. */
  readonly appendsPerS: number;
  /** Number of live daemons that share the rate; see {@link AppendBudget.updateShare}. */
  readonly liveDaemons?: number;
  /** Capacity of the token bucket, in milliseconds of the daemon's rate. */
  readonly burstMs?: number;
}

interface Waiter {
  readonly priority: () => EntryPriority;
  readonly grant: () => void;
}

/**
 * Limits a daemon's appends to its share of the deployment's append rate: a token bucket that
 * grants waiting appends by priority, then in order of arrival. The share never falls below one
 * append per second, so that a wrong count of live daemons cannot block a daemon.
 *
 * @example
 * ```ts
 * const budget = new AppendBudget({ clock, appendsPerS: 300, liveDaemons: 32 });
 * await budget.acquire(() => EntryPriority.High);
 * ```
 */
export class AppendBudget {
  readonly #clock: Clock;
  readonly #burstMs: number;
  readonly #waiters: Waiter[] = [];
  #appendsPerS: number;
  #ratePerS: number;
  #tokens: number;
  #refilledAtMs: number;
  #cancelTimer: (() => void) | undefined;

  constructor(options: AppendBudgetOptions) {
    this.#clock = options.clock;
    this.#burstMs = options.burstMs ?? 250;
    this.#appendsPerS = options.appendsPerS;
    this.#ratePerS = Math.max(1, options.appendsPerS / (options.liveDaemons ?? 1));
    this.#tokens = this.#capacity;
    this.#refilledAtMs = options.clock.nowMs();
  }

  /** The daemon's current share in appends per second. */
  get ratePerS(): number {
    return this.#ratePerS;
  }

  /** True when appends have to wait. Writers should then append less often. */
  get isThrottled(): boolean {
    this.#refill();
    return this.#waiters.length > 0 || this.#tokens < 1;
  }

  /** Recomputes the daemon's share from the number of live daemons and the deployment's rate. */
  updateShare(liveDaemons: number, appendsPerS: number = this.#appendsPerS): void {
    this.#refill();
    this.#appendsPerS = appendsPerS;
    this.#ratePerS = Math.max(1, appendsPerS / Math.max(1, liveDaemons));
    this.#grantWaiters();
  }

  /**
   * Resolves with true when one append may be sent; with false when `signal` was aborted first.
   *
   * @param priority - evaluated at each grant, since an entry of higher priority may have joined
   *   the batch.
   */
  acquire(priority: () => EntryPriority, signal?: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve(false);
        return;
      }
      const onAbort = (): void => {
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        resolve(false);
      };
      const waiter: Waiter = {
        priority,
        grant: () => {
          signal?.removeEventListener('abort', onAbort);
          resolve(true);
        },
      };
      this.#waiters.push(waiter);
      signal?.addEventListener('abort', onAbort, { once: true });
      this.#grantWaiters();
    });
  }

  get #capacity(): number {
    return Math.max(1, (this.#ratePerS * this.#burstMs) / 1_000);
  }

  #refill(): void {
    const nowMs = this.#clock.nowMs();
    const refilledTokens = ((nowMs - this.#refilledAtMs) * this.#ratePerS) / 1_000;
    this.#tokens = Math.min(this.#capacity, this.#tokens + refilledTokens);
    this.#refilledAtMs = nowMs;
  }

  #grantWaiters(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    this.#refill();
    // Rounding errors of repeated refills must not delay a grant until the next timer.
    const fullToken = 1 - 1e-9;
    while (this.#waiters.length > 0 && this.#tokens >= fullToken) {
      this.#tokens -= 1;
      this.#takeHighestPriority().grant();
    }
    if (this.#waiters.length === 0) return;
    const waitMs = ((1 - this.#tokens) * 1_000) / this.#ratePerS;
    this.#cancelTimer = this.#clock.schedule(this.#clock.nowMs() + waitMs, () =>
      this.#grantWaiters(),
    );
  }

  #takeHighestPriority(): Waiter {
    let best = 0;
    let bestPriority: EntryPriority | undefined;
    this.#waiters.forEach((waiter, index) => {
      const priority = waiter.priority();
      if (bestPriority !== undefined && priority >= bestPriority) return;
      best = index;
      bestPriority = priority;
    });
    const [waiter] = this.#waiters.splice(best, 1);
    if (!waiter) throw new RangeError('the append budget has no waiting append');
    return waiter;
  }
}
