import type { RetryPolicy } from '../admission/index.js';
import { Outcome, type Clock } from '../core/index.js';
import { RetryScheduler } from '../pipeline/index.js';
import type { Deployment } from '../settings/index.js';

/** Options of {@link PolicyRetryScheduler}. */
export interface PolicyRetrySchedulerOptions {
  readonly policy: RetryPolicy;
  readonly deployment: () => Deployment;
  readonly clock: Clock;
}

/** Retries of repeatable work under the workspace's budget and the service's routing settings. */
export class PolicyRetryScheduler extends RetryScheduler {
  readonly #options: PolicyRetrySchedulerOptions;

  constructor(options: PolicyRetrySchedulerOptions) {
    super();
    this.#options = options;
  }

  override nextAttemptAtMs(
    request: {
      readonly workspaceId: string;
      readonly serviceId: string;
      readonly deadlineAtMs: number;
    },
    attemptsMade: number,
  ): number | undefined {
    const { policy, deployment, clock } = this.#options;
    return policy.retryAtMs(
      {
        budgetKey: request.workspaceId,
        attempts: attemptsMade,
        outcome: Outcome.Unknown,
        repeatable: true,
        deadlineAtMs: request.deadlineAtMs,
      },
      deployment().routing(request.serviceId),
      clock.nowMs(),
    );
  }

  override refund({ workspaceId }: { readonly workspaceId: string }): void {
    this.#options.policy.refund(workspaceId);
  }
}
