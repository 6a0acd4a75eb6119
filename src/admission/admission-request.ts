import { Outcome, RequestError, Step, type WorkClass } from '../core/index.js';
import { LimitKind, type SharedLimitSettings } from './shared-limit.js';

/** Properties of a request that admission uses. */
export interface AdmissionRequest {
  readonly requestId: string;
  /** `team/workspace`. */
  readonly workspaceId: string;
  /** `team/service`. */
  readonly serviceId: string;
  readonly workClass: WorkClass;
  /** Prompt tokens plus expected output tokens, weighted by the daemon; at least 1. */
  readonly costTokens: number;
  /** Charged to the spend limit; corrected to the actual spend when the request ends. */
  readonly expectedUsd: number;
  /** Time by which the request must have been sent, in epoch milliseconds. */
  readonly startByMs: number;
  /** Weight in fair queueing: `fair_weight` of the workspace. */
  readonly fairWeight: number;
  readonly limits: SharedLimitSettings;
}

/** Why a request was refused. */
export enum RefusalCode {
  RateLimited = 'rate_limited',
  ConcurrencyLimited = 'concurrency_limited',
  SpendLimited = 'spend_limited',
  /** The expected wait exceeds the deadline, or the queue is full. */
  Overloaded = 'overloaded',
  /** The deadline passed in the queue. */
  QueueTimeout = 'queue_timeout',
  /** The daemon is stopping. */
  Stopping = 'stopping',
}

/** Refusal of a request, which was not sent to any endpoint. */
export interface Refusal {
  readonly code: RefusalCode;
  /** HTTP status: 429 for a limit of the workspace, 503 for a lack of capacity. */
  readonly status: 429 | 503;
  /** Recommended time of a retry, with jitter, in epoch milliseconds. */
  readonly retryAtMs: number;
}

/** Admission of a request. Call `end` when the request is done; repeated calls are ignored. */
export interface Ticket {
  readonly request: AdmissionRequest;
  /** Time spent in the queue. */
  readonly queuedMs: number;
  /** @param actualUsd - actual spend; defaults to the expected spend. */
  end(actualUsd?: number): void;
}

/** Receives the result of {@link AdmissionController.offer}, synchronously or later. */
export interface AdmissionListener {
  admitted(ticket: Ticket): void;
  refused(refusal: Refusal): void;
}

/** Converts a refusal into the error that the caller receives. */
export function refusalError(refusal: Refusal, request: AdmissionRequest): RequestError {
  const isLimit = refusal.status === 429;
  const reason = isLimit
    ? `workspace ${request.workspaceId} has reached its ${refusal.code.replace('_limited', '')} limit`
    : `service ${request.serviceId} cannot start the request before its deadline`;
  return new RequestError(reason, {
    step: Step.Admit,
    peer: request.workspaceId,
    status: refusal.status,
    code: refusal.code,
    next: isLimit
      ? 'Retry after the time in Retry-After, or ask an operator to raise the limit.'
      : 'Retry after the time in Retry-After.',
    outcome: Outcome.NotRun,
    retryAtMs: refusal.retryAtMs,
  });
}

/** Code of the refusal by a limit of the workspace. */
export function codeOfLimit(kind: LimitKind): RefusalCode {
  switch (kind) {
    case LimitKind.Rate:
      return RefusalCode.RateLimited;
    case LimitKind.Concurrency:
      return RefusalCode.ConcurrencyLimited;
    case LimitKind.Spend:
      return RefusalCode.SpendLimited;
  }
}
