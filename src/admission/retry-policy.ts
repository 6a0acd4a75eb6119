import { Outcome } from '../core/index.js';
import type { RoutingSettings } from '../settings/index.js';
import type { Backoff } from './backoff.js';
import type { RetryBudget } from './retry-budget.js';

/** A failed attempt. */
export interface FailedAttempt {
  /** Key of the retry budget: `team/workspace` and the hop. */
  readonly budgetKey: string;
  /** Attempts made so far, this one included. */
  readonly attempts: number;
  readonly outcome: Outcome;
  /** Whether the work may run twice. */
  readonly repeatable: boolean;
  /** Time by which the answer is due, in epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/**
 * Decides whether and when a failed attempt is retried. Work that may not run twice is retried only
 * when it provably did not run.
 *
 * @example
 * ```ts
 * const retryAtMs = policy.retryAtMs(failed, deployment.routing('tejidos/assistant'), nowMs);
 * ```
 */
export class RetryPolicy {
  readonly #budget: RetryBudget;
  readonly #backoff: Backoff;

  constructor(budget: RetryBudget, backoff: Backoff) {
    this.#budget = budget;
    this.#backoff = backoff;
  }

  /** Time of the next attempt, in epoch milliseconds; undefined when there is none. */
  retryAtMs(
    failed: FailedAttempt,
    settings: Pick<RoutingSettings, 'max_attempts'>,
    nowMs: number,
  ): number | undefined {
    if (failed.outcome !== Outcome.NotRun && !failed.repeatable) return undefined;
    if (failed.attempts >= settings.max_attempts) return undefined;
    const atMs = this.#backoff.retryAtMs(failed.attempts - 1, failed.deadlineAtMs, nowMs);
    if (atMs === undefined || !this.#budget.trySpend(failed.budgetKey)) return undefined;
    return atMs;
  }

  /** Returns an attempt that was allowed but not made. */
  refund(budgetKey: string): void {
    this.#budget.refund(budgetKey);
  }
}
