import {
  Outcome,
  RequestError,
  Step,
  sha256Hex,
  type Clock,
  type IdSource,
} from '../core/index.js';
import {
  AppendFailedError,
  ClaimStatus,
  EntryKind,
  EntryPriority,
  type Claim,
  type ClaimEntry,
  type ClaimFold,
  type EntryWriter,
} from '../state/index.js';
import type { BackEndAnswer, BackEndCaller, BackEndRequest } from './back-end-caller.js';
import { ExecutionEnd, type ClaimExecutor } from './claim-executor.js';
import { keyTimeMs } from './key-time.js';
import type { OutcomeRecorder } from './outcome-recorder.js';

/** A caller's non-repeatable call. */
export interface NonRepeatableCall {
  readonly workspace: string;
  readonly service: string;
  /** Value of the `Idempotency-Key` header; undefined when absent. */
  readonly idempotencyKey: string | undefined;
  readonly request: BackEndRequest;
  /** Epoch milliseconds until which the caller waits. */
  readonly deadlineAtMs: number;
  /** Policy `remember_ms` of the service. */
  readonly rememberMs: number;
  /** Policy `fingerprint_ms` of the service. */
  readonly fingerprintMs: number;
  readonly caller: BackEndCaller;
  /**
   * Queries the service for the result of the call with this key. Resolves with undefined if the
   * service gives no definite answer, such as that it does not know the key: it may be about to run
   * the call.
   */
  readonly queryStatus?: () => Promise<BackEndAnswer | undefined>;
}

/** Answer to a caller of a non-repeatable call. */
export interface CallAnswer extends BackEndAnswer {
  /** Sent as `oriolestack-replayed: true`. */
  readonly isReplayed: boolean;
  /** False is sent as `oriolestack-recorded: false`. */
  readonly isRecorded: boolean;
}

/** Options of {@link ClaimCoordinator}. */
export interface ClaimCoordinatorOptions {
  readonly clock: Clock;
  readonly fold: ClaimFold;
  readonly writer: EntryWriter;
  readonly executor: ClaimExecutor;
  readonly recorder: OutcomeRecorder;
  readonly daemon: string;
  readonly newId: IdSource;
  /** A claim that is not read back within this time is not executed. */
  readonly startTimeoutMs?: number;
}

/**
 * Decides for each non-repeatable call whether it runs, waits for a running call with the same key,
 * receives the recorded answer, or is refused.
 *
 * @example
 * ```ts
 * const answer = await coordinator.handle(call);
 * ```
 */
export class ClaimCoordinator {
  readonly #options: Required<ClaimCoordinatorOptions>;

  constructor(options: ClaimCoordinatorOptions) {
    this.#options = { startTimeoutMs: 5_000, ...options };
  }

  /**
   * Resolves with the back end's answer to this call or to an earlier one with the same key.
   *
   * @throws RequestError whose `outcome` states whether the call may have run.
   */
  async handle(call: NonRepeatableCall): Promise<CallAnswer> {
    const { fold, clock } = this.#options;
    const { idempotencyKey, workspace, service } = call;
    if (!idempotencyKey) {
      throw createRequestError(400, 'idempotency_key_missing', Outcome.NotRun, {
        message: 'the call must not be repeated and has no Idempotency-Key',
        next: 'Send a fresh key, such as a UUIDv7, in the Idempotency-Key header.',
      });
    }
    const keyCreatedAtMs = keyTimeMs(idempotencyKey);
    if (keyCreatedAtMs !== undefined && keyCreatedAtMs < clock.nowMs() - call.rememberMs)
      throw keyExpiredError();
    const key = { workspace, service, keyHash: sha256Hex(idempotencyKey) };
    const { method, path, body } = call.request;
    const bodyDigest = sha256Hex(`${method} ${path}\n${sha256Hex(body)}`);
    for (;;) {
      const existingClaim = fold.holder(key);
      if (existingClaim) {
        const answer = await this.#answerRepeat(existingClaim, bodyDigest, call);
        if (answer) return answer;
        continue;
      }
      if (fold.isExpired(key)) throw keyExpiredError();
      const claimId = this.#options.newId();
      await this.#claim(call, { claimId, ...key, bodyDigest });
      const holder = fold.holder(key);
      if (holder?.claimId === claimId) return this.#execute(holder, call);
      if (!holder && !fold.isExpired(key)) throw notClaimedError('the claim was not accepted');
    }
  }

  async #claim(
    call: NonRepeatableCall,
    identity: Pick<ClaimEntry, 'claimId' | 'workspace' | 'service' | 'keyHash' | 'bodyDigest'>,
  ): Promise<void> {
    const { clock, writer, recorder, daemon, startTimeoutMs } = this.#options;
    if (recorder.isFull) throw notClaimedError('too many outcomes wait to be recorded');
    const claimedAtMs = clock.nowMs();
    if (claimedAtMs >= call.deadlineAtMs) throw notClaimedError('the deadline has passed');
    const entry: ClaimEntry = {
      kind: EntryKind.Claim,
      ...identity,
      daemon,
      claimedAtMs,
      // Half of the caller's time is left for the call itself, and for refusing the call before its
      // deadline if the log does not accept the claim.
      startByMs: claimedAtMs + Math.min(startTimeoutMs, (call.deadlineAtMs - claimedAtMs) / 2),
      finishByMs: call.deadlineAtMs,
      rememberUntilMs: claimedAtMs + call.rememberMs,
      fingerprintUntilMs: claimedAtMs + call.rememberMs + call.fingerprintMs,
    };
    try {
      await writer.append(entry, { deadlineAtMs: entry.startByMs, priority: EntryPriority.High });
    } catch (error) {
      if (!(error instanceof AppendFailedError)) throw error;
      const { claimId, rememberUntilMs } = entry;
      // The claim may be stored after all, and this daemon does not execute it then.
      if (error.mayBeStored) {
        void recorder.record({ kind: EntryKind.Release, claimId, rememberUntilMs });
      }
      throw notClaimedError('the log did not take the claim in time', error);
    }
  }

  async #execute(claim: Claim, call: NonRepeatableCall): Promise<CallAnswer> {
    const result = await this.#options.executor.execute(claim, call.request, call.caller);
    switch (result.end) {
      case ExecutionEnd.Answered:
        return { ...result.answer, isReplayed: false, isRecorded: result.isRecorded };
      case ExecutionEnd.NotRun:
        throw notClaimedError('the back end was not reached in time', result.cause);
      case ExecutionEnd.Unknown:
        throw outcomeUnknownError(502, result.cause);
    }
  }

  /**
   * Answers a call whose key is claimed already. Undefined means that the claim has changed, such
   * as by a release, and that the key must be looked up again.
   */
  async #answerRepeat(
    existingClaim: Claim,
    bodyDigest: string,
    call: NonRepeatableCall,
  ): Promise<CallAnswer | undefined> {
    if (existingClaim.bodyDigest !== bodyDigest) {
      throw createRequestError(422, 'key_reused', Outcome.NotRun, {
        message: 'the key belongs to a call with another route or body',
        next: 'Send a fresh Idempotency-Key for a different call.',
      });
    }
    switch (existingClaim.status) {
      case ClaimStatus.Answered:
        return replay(existingClaim);
      case ClaimStatus.Unknown:
      case ClaimStatus.ResolvedRan:
        return this.#queryStatus(existingClaim, call);
      case ClaimStatus.Claimed:
        // After its deadline the claimant has timed out or crashed, so waiting is useless.
        if (this.#options.clock.nowMs() >= existingClaim.finishByMs)
          return this.#queryStatus(existingClaim, call);
        await this.#waitForChange(
          existingClaim,
          Math.min(call.deadlineAtMs, existingClaim.finishByMs),
        );
        if (this.#options.clock.nowMs() < call.deadlineAtMs) return undefined;
        if (this.#options.fold.claim(existingClaim.claimId)?.status === ClaimStatus.Answered) {
          return undefined;
        }
        throw createRequestError(409, 'in_progress', Outcome.Unknown, {
          message: 'the call with this key is still in progress',
          next: 'Repeat the call with the same key and body later.',
        });
    }
  }

  /** Returns the answer of the service's status query and records it for later repeats. */
  async #queryStatus(existingClaim: Claim, call: NonRepeatableCall): Promise<CallAnswer> {
    const answer = await call.queryStatus?.().catch(() => undefined);
    if (!answer) throw outcomeUnknownError(409);
    void this.#options.executor.recordAnswer(existingClaim.claimId, answer);
    return { ...answer, isReplayed: true, isRecorded: false };
  }

  async #waitForChange(existingClaim: Claim, untilMs: number): Promise<void> {
    const { fold, clock } = this.#options;
    const changed = new AbortController();
    const unsubscribe = fold.subscribe((claimId) => {
      if (claimId === existingClaim.claimId) changed.abort();
    });
    await clock.sleepUntil(untilMs, changed.signal);
    unsubscribe();
  }
}

function replay({ answer }: Claim): CallAnswer {
  if (typeof answer?.bodyBase64 !== 'string') {
    throw createRequestError(409, 'answer_not_kept', Outcome.Unknown, {
      message: 'the call ran, but its answer was too large to keep',
      next: 'Query the service for the result; do not send the call under another key.',
    });
  }
  return {
    status: answer.status,
    headers: answer.headers,
    body: Buffer.from(answer.bodyBase64, 'base64'),
    isReplayed: true,
    isRecorded: true,
  };
}

function notClaimedError(reason: string, cause?: unknown): RequestError {
  return createRequestError(503, 'not_claimed', Outcome.NotRun, {
    message: `the call did not run: ${reason}`,
    next: 'Repeat the call with the same key and body.',
    cause,
  });
}

function keyExpiredError(): RequestError {
  return createRequestError(409, 'key_expired', Outcome.Unknown, {
    message: 'the key is older than keys are remembered',
    next: 'Query the service for the result before sending the call under a fresh key.',
  });
}

function outcomeUnknownError(status: number, cause?: unknown): RequestError {
  return createRequestError(status, 'outcome_unknown', Outcome.Unknown, {
    message: 'the call may have run, and its answer is not known',
    next: 'Query the service, or ask an operator to run `oriolectl jobs resolve`.',
    cause,
  });
}

function createRequestError(
  status: number,
  code: string,
  outcome: Outcome,
  detail: { message: string; next: string; cause?: unknown },
): RequestError {
  const { message, next, cause } = detail;
  return new RequestError(message, {
    step: Step.Claim,
    peer: 'local',
    status,
    code,
    next,
    outcome,
    cause,
  });
}
