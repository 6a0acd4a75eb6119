import type { Clock } from '../core/index.js';
import type { EntryPriority } from './entry-writer.js';

/** Options of {@link AppendBudget}. */
export interface AppendBudgetOptions {
  readonly clock: Clock;
  /** Appends per second that the whole deployment may use. */
  readonly appendsPerS: number;
  /** Daemons that share the rate; see {@link AppendBudget.updateShare}. */
  readonly liveDaemons?: number;
  /** Unused budget kept for a burst, in milliseconds of the daemon's rate. */
  readonly burstMs?: number;
}

interface Waiter {
  readonly priority: () => EntryPriority;
  readonly grant: () => void;
}

/**
 * A daemon's share of the deployment's append rate: a token bucket whose waiters are served by
 * priority, then in order of arrival. The share never falls below one append per second, so that a
 * wrong member count cannot stop a daemon.
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

  /** True when appends have to wait, so that writers should send less often. */
  get isThrottled(): boolean {
    this.#refill();
    return this.#waiters.length > 0 || this.#tokens < 1;
  }

  /** Divides the deployment's rate anew, as members come and go or its setting changes. */
  updateShare(liveDaemons: number, appendsPerS: number = this.#appendsPerS): void {
    this.#refill();
    this.#appendsPerS = appendsPerS;
    this.#ratePerS = Math.max(1, appendsPerS / Math.max(1, liveDaemons));
    this.#grantWaiters();
  }

  /**
   * Resolves when one append may be sent; false when `signal` was aborted first.
   *
   * @param priority - read again at each grant, since a more urgent entry may join the batch.
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
    // Repeated refills add up rounding errors, which must not delay a grant by a whole timer turn.
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
    if (!waiter) throw new RangeError('no waiter');
    return waiter;
  }
}
