import type { ChatMessage, EngineClient } from '../engine/index.js';
import type { WorkClass } from '../core/index.js';

/** What the choice of an endpoint depends on. */
export interface SelectionRequest {
  readonly requestId: string;
  /** `team/service`. */
  readonly serviceId: string;
  /** `team/workspace`. */
  readonly workspaceId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Text generated so far by earlier attempts. */
  readonly resumeText: string;
  readonly maxTokens: number;
  /** From the length predictor. */
  readonly expectedOutputTokens: number;
  readonly workClass: WorkClass;
  readonly deadlineAtMs: number;
  /** Endpoints that failed this request already. */
  readonly excludedIds: ReadonlySet<string>;
}

/** How an attempt at an endpoint ended; feeds speed estimates, circuits and limits. */
export enum AttemptEnd {
  Completed = 'completed',
  /** Moved away because the endpoint leaves or lags. */
  Moved = 'moved',
  /** The caller went away. */
  Cancelled = 'cancelled',
  ConnectionFailed = 'refused',
  Rejected = 'rejected',
  Broken = 'broken',
  TimedOut = 'silent',
}

/** Reservation of an endpoint for one attempt; told what happens, ended exactly once. */
export abstract class EndpointLease {
  abstract readonly endpointId: string;
  abstract readonly endpointName: string;
  abstract readonly client: EngineClient;
  /** Aborted when the attempt should move to another endpoint, as before a reclaim. */
  abstract readonly moveSignal: AbortSignal;
  /** Class to name to the engine, such as for long work promoted to meet its deadline. */
  get engineClass(): WorkClass | undefined {
    return undefined;
  }

  /** Whether the attempt only finds out if a slow endpoint has recovered. */
  readonly isProbe: boolean = false;

  abstract recordToken(): void;
  abstract end(
    attemptEnd: AttemptEnd,
    usage?: { promptTokens: number; cachedTokens: number },
  ): void;
}

/**
 * Chooses the endpoint of an attempt and reserves room at it.
 *
 * @example
 * ```ts
 * const lease = await selector.select(request);
 * ```
 */
export abstract class EndpointSelector {
  /** @throws RequestError (`not_run`) when no endpoint may take the request. */
  abstract select(request: SelectionRequest, signal: AbortSignal): Promise<EndpointLease>;
}

/** Permission to try once more, under the workspace's retry budget. */
export abstract class RetryScheduler {
  /**
   * @returns epoch milliseconds at which the next attempt may start, or undefined when the budget,
   * the number of attempts or the deadline forbids one.
   */
  abstract nextAttemptAtMs(
    request: {
      readonly workspaceId: string;
      readonly serviceId: string;
      readonly deadlineAtMs: number;
    },
    attemptsMade: number,
  ): number | undefined;
}
