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
  /** Bytes were sent and no whole answer came by the deadline. */
  Unknown = 'unknown',
}

/** Result of {@link ClaimExecutor.execute}. */
export type ExecutionResult =
  | {
      readonly end: ExecutionEnd.Answered;
      readonly answer: BackEndAnswer;
      /** False when the deadline passed before the outcome was stored. */
      readonly isRecorded: boolean;
    }
  | { readonly end: ExecutionEnd.NotRun | ExecutionEnd.Unknown; readonly cause: unknown };

/** Options of {@link ClaimExecutor}. */
export interface ClaimExecutorOptions {
  readonly clock: Clock;
  readonly fold: ClaimFold;
  readonly recorder: OutcomeRecorder;
  readonly log: EventLog;
  /** Larger bodies are not kept for repeats. */
  readonly maxRecordedBodyBytes?: number;
}

/**
 * Runs the call of a won claim at most once and records what happened.
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
    // base64 of 32 KiB stays below the 64 KiB of a batch.
    this.#options = { maxRecordedBodyBytes: 32_768, ...options };
  }

  /** @param claim - a claim that was read back as the holder of its key. */
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
        cause: new Error(`claim ${claimId} is executed already`),
      };
    }
    this.#executedIds.add(claimId);
    // From `startByMs` on, `mayStart` refuses a second execution by itself.
    clock.schedule(startByMs, () => this.#executedIds.delete(claimId));
    let hasStarted = false;
    let isClosed = false;
    const tryStart = (): boolean => {
      if (isClosed || hasStarted || clock.nowMs() >= startByMs) return false;
      // A pause may have outlasted an operator's resolution.
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
      if (!answer) throw new Error('no answer by the deadline');
      const stored = this.recordAnswer(claimId, answer);
      const isRecorded = await Promise.race([
        stored.then(() => true),
        clock.sleepUntil(finishByMs, timeoutAbort.signal).then(() => false),
      ]);
      return { end: ExecutionEnd.Answered, answer, isRecorded };
    } catch (cause) {
      isClosed = true;
      if (!hasStartedNow()) {
        log.info(EventId.ClaimReleased, 'call did not run; its key is released', { claimId });
        void recorder.record({ kind: EntryKind.Release, claimId, rememberUntilMs });
        return { end: ExecutionEnd.NotRun, cause };
      }
      log.warn(EventId.CallOutcomeUnknown, 'call may have run; resolve its key', { claimId });
      void recorder.record({ kind: EntryKind.Outcome, claimId, answer: null });
      // An answer after the deadline replaces `unknown`, which saves the operator's work.
      answered.then(
        (answer) => this.recordAnswer(claimId, answer),
        () => undefined,
      );
      return { end: ExecutionEnd.Unknown, cause };
    } finally {
      timeoutAbort.abort();
    }

    // A call hides the assignment in `mayStart` from flow analysis.
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
