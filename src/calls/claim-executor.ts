import { sha256Hex, type Clock } from '../core/index.js';
import {
  ClaimStatus,
  EntryKind,
  type Claim,
  type ClaimFold,
  type RecordedAnswer,
} from '../state/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { BackEndAnswer, BackEndCaller, BackEndRequest } from './back-end-caller.js';
import type { OutcomeRecorder } from './outcome-recorder.js';

/** How an execution ended. */
export enum ExecutionEnd {
  Answered = 'answered',
  /** No byte was sent; the key is released. */
  NotRun = 'not_run',
  /** Bytes were sent, and no complete answer was received by the deadline. */
  Unknown = 'unknown',
}

/** Result of {@link ClaimExecutor.execute}. */
export type ExecutionResult =
  | {
      readonly end: ExecutionEnd.Answered;
      readonly answer: BackEndAnswer;
      /** False if the deadline passed before the outcome was stored. */
      readonly isRecorded: boolean;
    }
  | { readonly end: ExecutionEnd.NotRun | ExecutionEnd.Unknown; readonly cause: unknown };

/** Options of {@link ClaimExecutor}. */
export interface ClaimExecutorOptions {
  readonly clock: Clock;
  readonly fold: ClaimFold;
  readonly recorder: OutcomeRecorder;
  readonly log: EventLog;
  /** Larger bodies are not recorded for repeats. */
  readonly maxRecordedBodyBytes?: number;
}

/**
 * Executes the call of an accepted claim at most once and records its outcome.
 *
 * @example
 * ```ts
 * const result = await executor.execute(claim, request, caller);
 * ```
 */
export class ClaimExecutor {
  readonly #options: Required<ClaimExecutorOptions>;
  readonly #executedIds = new Set<string>();

  constructor(options: ClaimExecutorOptions) {
    // A body of 32 KiB, encoded as base64, fits into a log batch of 64 KiB.
    this.#options = { maxRecordedBodyBytes: 32_768, ...options };
  }

  /**
   * Executes the call unless this executor has executed the claim before.
   *
   * @param claim - a claim that was read back as the holder of its key.
   */
  async execute(
    claim: Claim,
    request: BackEndRequest,
    caller: BackEndCaller,
  ): Promise<ExecutionResult> {
    const { clock, fold, recorder, log } = this.#options;
    const { claimId, startByMs, finishByMs, rememberUntilMs } = claim;
    if (this.#executedIds.has(claimId)) {
      return {
        end: ExecutionEnd.Unknown,
        cause: new Error(`claim ${claimId} was already executed`),
      };
    }
    this.#executedIds.add(claimId);
    // From `startByMs` on, `tryStart` prevents a second execution by itself.
    clock.schedule(startByMs, () => this.#executedIds.delete(claimId));
    let hasStarted = false;
    let isClosed = false;
    const tryStart = (): boolean => {
      if (isClosed || hasStarted || clock.nowMs() >= startByMs) return false;
      // An operator may have resolved the claim while this process was paused.
      if (fold.claim(claimId)?.status !== ClaimStatus.Claimed) return false;
      hasStarted = true;
      return true;
    };
    const answered = caller.call(request, { deadlineAtMs: finishByMs, tryStart });
    const timeoutAbort = new AbortController();
    try {
      const answer = await Promise.race([
        answered,
        clock.sleepUntil(finishByMs, timeoutAbort.signal).then(() => undefined),
      ]);
      if (!answer) throw new Error('no answer from the back end by the deadline');
      const stored = this.recordAnswer(claimId, answer);
      const isRecorded = await Promise.race([
        stored.then(() => true),
        clock.sleepUntil(finishByMs, timeoutAbort.signal).then(() => false),
      ]);
      return { end: ExecutionEnd.Answered, answer, isRecorded };
    } catch (cause) {
      isClosed = true;
      if (!hasStartedNow()) {
        log.info(EventId.ClaimReleased, 'call did not run; releasing its key', { claimId });
        void recorder.record({ kind: EntryKind.Release, claimId, rememberUntilMs });
        return { end: ExecutionEnd.NotRun, cause };
      }
      log.warn(EventId.CallOutcomeUnknown, 'call may have run, outcome unknown; resolve its key', {
        claimId,
      });
      void recorder.record({ kind: EntryKind.Outcome, claimId, answer: null });
      // An answer after the deadline replaces `unknown`, so that no operator has to resolve it.
      answered.then(
        (answer) => this.recordAnswer(claimId, answer),
        () => undefined,
      );
      return { end: ExecutionEnd.Unknown, cause };
    } finally {
      timeoutAbort.abort();
    }

    // Control-flow analysis of the compiler does not see the assignment in `tryStart`.
    function hasStartedNow(): boolean {
      return hasStarted;
    }
  }

  /** Records the back end's answer to a claimed call; resolves when it is stored. */
  recordAnswer(claimId: string, answer: BackEndAnswer): Promise<void> {
    const { recorder, maxRecordedBodyBytes } = this.#options;
    const recorded: RecordedAnswer = {
      status: answer.status,
      headers: { ...answer.headers },
      bodyDigest: sha256Hex(answer.body),
      bodyBase64:
        answer.body.byteLength <= maxRecordedBodyBytes
          ? Buffer.from(answer.body).toString('base64')
          : null,
    };
    return recorder.record({ kind: EntryKind.Outcome, claimId, answer: recorded });
  }
}
