import { sha256Hex, type Clock } from '../core/index.js';
import {
  EngineError,
  EngineFailure,
  GenerationEventKind,
  type GenerationEvent,
} from '../engine/index.js';
import {
  EntryKind,
  EntryPriority,
  JobStatus,
  type EntryWriter,
  type Fence,
  type Job,
  type JobFold,
  type RawEntry,
} from '../state/index.js';
import type { ChosenEndpoint, EndpointChooser, ReclaimNotice } from './endpoint-chooser.js';
import { HandoverKind, type HandoverPlanner } from './handover-planner.js';
import { startLeaseRenewal } from './lease-renewal.js';

/** How a generation on one endpoint ended. */
export enum AttemptEnd {
  /** The complete answer is recorded. */
  Finished = 'finished',
  /** The endpoint failed; the next generation continues from the recorded text. */
  Failed = 'failed',
  /** The endpoint is being reclaimed, and its KV cache can be migrated. */
  ExportKv = 'export_kv',
  /** The endpoint is being reclaimed; another one continues from the recorded text. */
  Resume = 'resume',
  /** The job has ended, or its lease has a newer fence. */
  Superseded = 'superseded',
  /** The daemon is stopping. */
  Stopped = 'stopped',
}

/** Checkpoint intervals of a job. */
export interface JobPolicy {
  /** Tokens between checkpoints, before `checkpointIntervalFactor` is applied. */
  readonly checkpointTokens: number;
  /** Milliseconds between checkpoints, before `checkpointIntervalFactor` is applied. */
  readonly checkpointMs: number;
}

/** Options of {@link GenerationAttempt}. */
export interface GenerationAttemptOptions {
  readonly clock: Clock;
  readonly fold: JobFold;
  readonly writer: EntryWriter;
  readonly planner: HandoverPlanner;
  readonly jobId: string;
  readonly fence: Fence;
  readonly endpoint: ChosenEndpoint;
  readonly chooser: EndpointChooser;
  /** Identities of the endpoints that cannot go on with the job. */
  readonly excludedIds: ReadonlySet<string>;
  readonly policy: JobPolicy;
  readonly leaseMs: number;
  /** Factor from 1 to 4 that lengthens the checkpoint intervals while appends are throttled. */
  readonly checkpointIntervalFactor: () => number;
  /** Time without an event after which the endpoint counts as failed. */
  readonly idleTimeoutMs: number;
  /** Number of unrecorded tokens at which reading from the engine pauses. */
  readonly maxBufferedTokens: number;
  readonly appendTimeoutMs: number;
  readonly canExportKv: boolean;
  readonly kvHandle: string | undefined;
}

/** Time reserved before a reclaim for the last checkpoint. */
const finalCheckpointReserveMs = 1_500;
const appendRetryDelayMs = 200;

/**
 * One generation of a job under one fence on one endpoint. Reads tokens, records them at
 * checkpoints and renews the lease until the answer is complete, the endpoint fails or is
 * reclaimed, or the job has a newer fence.
 *
 * @internal
 */
export class GenerationAttempt {
  readonly #options: GenerationAttemptOptions;
  readonly #abortController = new AbortController();
  readonly #requestId: string;
  /** Received tokens that are not yet known to be recorded. */
  #bufferedTokens: string[] = [];
  #recordedTokens = 0;
  #flushPromise: Promise<void> | undefined;
  #end: AttemptEnd | undefined;
  #failure: EngineFailure | undefined;
  #successor: ChosenEndpoint | undefined;
  #isChoosingSuccessor = false;
  #lastEventAtMs: number;
  #firstTokenAtMs: number | undefined;
  #receivedTokens = 0;

  constructor(options: GenerationAttemptOptions) {
    this.#options = options;
    this.#requestId = `${options.jobId}:${options.fence}`;
    this.#lastEventAtMs = options.clock.nowMs();
  }

  /**
   * Request id at the engine. It contains the fence, so that a late cancellation cannot abort a
   * newer generation.
   */
  get requestId(): string {
    return this.#requestId;
  }

  /** Set if the endpoint failed. */
  get failure(): EngineFailure | undefined {
    return this.#failure;
  }

  /** Chosen when the endpoint fell silent; the job goes on there. Undefined for any other end. */
  get successor(): ChosenEndpoint | undefined {
    return this.#successor;
  }

  /** Runs until the attempt has ended; rejects only on internal errors. */
  async run(): Promise<AttemptEnd> {
    const { clock, fold, jobId, policy, idleTimeoutMs } = this.#options;
    const job = this.#heldJob();
    if (!job) return AttemptEnd.Superseded;
    this.#recordedTokens = job.recordedTokens;
    const unsubscribe = fold.subscribe((changedId) => {
      if (changedId === jobId) this.#heldJob();
    });
    const timers = [
      clock.every(policy.checkpointMs, () => {
        const isDue = this.#bufferedTokens.length > 0 && this.#isCheckpointDue();
        if (isDue) void this.#flush();
      }),
      startLeaseRenewal(this.#options),
      clock.every(idleTimeoutMs / 4, () => {
        if (clock.nowMs() - this.#lastEventAtMs >= idleTimeoutMs)
          this.#fail(EngineFailure.TimedOut);
      }),
    ];
    try {
      // The previous holder may have crashed between recording the last token and the completion.
      const hasAllTokens = job.recordedTokens >= job.request.maxTokens;
      const finishReason = hasAllTokens ? 'length' : await this.#generate(job);
      if (finishReason !== undefined) await this.#complete(finishReason);
      else if (this.#end !== AttemptEnd.Superseded) await this.#flushRemaining();
      return this.#end ?? AttemptEnd.Failed;
    } finally {
      this.#stopReading();
      unsubscribe();
      for (const cancel of timers) cancel();
    }
  }

  /** Plans the handover if the notice names this attempt's endpoint. */
  reclaim(notice: ReclaimNotice): void {
    const { clock, planner, canExportKv } = this.#options;
    const job = this.#heldJob();
    if (!job || !notice.endpointIds.includes(this.#options.endpoint.id)) return;
    const nowMs = clock.nowMs();
    const outputTokens = this.#recordedTokens + this.#bufferedTokens.length;
    const hasTokenGap = this.#firstTokenAtMs !== undefined && this.#receivedTokens > 1;
    const plan = planner.plan({
      requestId: this.requestId,
      nowMs,
      deadlineAtMs: notice.deadlineAtMs,
      contextTokens: estimatePromptTokens(job) + outputTokens,
      maxRemainingTokens: job.request.maxTokens - outputTokens,
      tokenGapMs: hasTokenGap
        ? (nowMs - (this.#firstTokenAtMs ?? nowMs)) / (this.#receivedTokens - 1)
        : undefined,
      canExportKv,
    });
    if (plan === HandoverKind.ExportKv) this.#endAs(AttemptEnd.ExportKv);
    else if (plan === HandoverKind.Resume) this.#endAs(AttemptEnd.Resume);
    else {
      const resumeAtMs = notice.deadlineAtMs - finalCheckpointReserveMs;
      const cancel = clock.schedule(resumeAtMs, () => this.#endAs(AttemptEnd.Resume));
      this.#abortController.signal.addEventListener('abort', cancel, { once: true });
    }
  }

  /** Ends the attempt; `run` records the text received so far before it resolves. */
  stop(): void {
    this.#endAs(AttemptEnd.Stopped);
  }

  /**
   * Resolves with the finish reason, which is `error` if the engine rejects the request as invalid,
   * or with undefined if the attempt ended earlier.
   */
  async #generate(job: Job): Promise<string | undefined> {
    const { endpoint, kvHandle } = this.#options;
    let finishReason: string | undefined;
    const { signal } = this.#abortController;
    const abortPromise = new Promise<void>((resolve) => {
      if (signal.aborted) resolve();
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
    const generated = endpoint.engine.generate(
      {
        requestId: this.#requestId,
        model: job.request.model,
        messages: job.request.messages,
        resumeText: job.text,
        maxTokens: job.request.maxTokens - job.recordedTokens,
        workClass: job.workClass,
        passThrough:
          kvHandle === undefined
            ? job.request.passThrough
            : { ...job.request.passThrough, kv_import: kvHandle },
      },
      (event) => {
        if (signal.aborted) return;
        if (event.kind === GenerationEventKind.Silence) {
          void this.#moveIfPossible(job);
          return;
        }
        this.#lastEventAtMs = this.#options.clock.nowMs();
        if (event.kind === GenerationEventKind.End) finishReason = event.finishReason;
        return this.#onEvent(event);
      },
      signal,
    );
    try {
      // An unresponsive engine may never settle the promise, so the abort alone must end the wait.
      await Promise.race([generated, abortPromise]);
    } catch (error) {
      if (error instanceof EngineError && error.failure === EngineFailure.BadRequest)
        return 'error';
      this.#fail(error instanceof EngineError ? error.failure : EngineFailure.Broken);
    }
    if (signal.aborted) {
      generated.catch(() => undefined);
      endpoint.engine.cancel(this.#requestId).catch(() => undefined);
      return undefined;
    }
    if (finishReason === undefined) this.#fail(EngineFailure.Broken);
    return finishReason;
  }

  /** Ends the attempt if another endpoint can go on; else the silent one still may. */
  async #moveIfPossible(job: Job): Promise<void> {
    const { chooser, excludedIds, endpoint } = this.#options;
    if (this.#isChoosingSuccessor || this.#end !== undefined) return;
    this.#isChoosingSuccessor = true;
    const lastEventAtMs = this.#lastEventAtMs;
    const successor = await chooser.choose({
      job,
      excludedIds: new Set([...excludedIds, endpoint.id]),
    });
    this.#isChoosingSuccessor = false;
    if (!successor) return;
    if (this.#hasEnded() || this.#lastEventAtMs !== lastEventAtMs) {
      chooser.release(successor, undefined);
      return;
    }
    this.#successor = successor;
    this.#fail(EngineFailure.TimedOut);
  }

  #hasEnded(): boolean {
    return this.#end !== undefined;
  }

  #onEvent(event: GenerationEvent): void | Promise<void> {
    if (event.kind !== GenerationEventKind.Token || event.text === '') return;
    this.#receivedTokens += 1;
    this.#firstTokenAtMs ??= this.#options.clock.nowMs();
    this.#bufferedTokens.push(event.text);
    const { policy, checkpointIntervalFactor, maxBufferedTokens } = this.#options;
    if (this.#bufferedTokens.length >= policy.checkpointTokens * checkpointIntervalFactor())
      void this.#flush();
    if (this.#bufferedTokens.length >= maxBufferedTokens) return this.#flush();
  }

  #checkpointDueAtMs = 0;

  /**
   * Returns whether the checkpoint timer may flush now. If so, the timer is suppressed for the time
   * by which the factor lengthens the interval.
   */
  #isCheckpointDue(): boolean {
    const { clock, policy, checkpointIntervalFactor } = this.#options;
    if (clock.nowMs() < this.#checkpointDueAtMs) return false;
    this.#checkpointDueAtMs =
      clock.nowMs() + policy.checkpointMs * (checkpointIntervalFactor() - 1);
    return true;
  }

  /** Records the buffered tokens, retrying until none is left or the job has a newer fence. */
  #flush(): Promise<void> {
    this.#flushPromise ??= this.#flushAll().finally(() => {
      this.#flushPromise = undefined;
    });
    return this.#flushPromise;
  }

  async #flushAll(): Promise<void> {
    const { jobId, fence } = this.#options;
    while (this.#bufferedTokens.length > 0 && this.#heldJob()) {
      await this.#append({
        kind: EntryKind.JobProgress,
        jobId,
        fence,
        offsetTokens: this.#recordedTokens,
        tokens: this.#bufferedTokens.length,
        text: this.#bufferedTokens.join(''),
      });
      this.#dropRecordedTokens();
    }
  }

  /**
   * Drops the tokens that are recorded according to the fold. The result of the append does not
   * count, since a duplicate of an earlier append may have been stored instead of it.
   */
  #dropRecordedTokens(): void {
    const job = this.#heldJob();
    if (!job) return;
    this.#bufferedTokens.splice(0, job.recordedTokens - this.#recordedTokens);
    this.#recordedTokens = job.recordedTokens;
  }

  async #flushRemaining(): Promise<void> {
    // A flush in progress may have started before the last token arrived.
    await this.#flush();
    await this.#flush();
  }

  async #complete(finishReason: string): Promise<void> {
    const { clock, jobId, fence } = this.#options;
    await this.#flushRemaining();
    for (let job = this.#heldJob(); job; job = this.#heldJob()) {
      await this.#append({
        kind: EntryKind.JobDone,
        jobId,
        fence,
        lengthChars: job.text.length,
        digest: sha256Hex(job.text),
        finishReason,
        doneAtMs: clock.nowMs(),
      });
    }
    const job = this.#options.fold.job(jobId);
    if (job?.status === JobStatus.Done) this.#end = AttemptEnd.Finished;
  }

  /** Appends once. After a failure it waits, since the caller then reads the fold and retries. */
  async #append(entry: RawEntry): Promise<void> {
    const { clock, writer, appendTimeoutMs } = this.#options;
    const priority =
      entry.kind === EntryKind.JobProgress ? EntryPriority.Normal : EntryPriority.High;
    try {
      await writer.append(entry, { deadlineAtMs: clock.nowMs() + appendTimeoutMs, priority });
    } catch {
      await clock.sleepUntil(clock.nowMs() + appendRetryDelayMs);
    }
  }

  /** Returns the job while it has this attempt's fence; otherwise ends the attempt. */
  #heldJob(): Job | undefined {
    const job = this.#options.fold.job(this.#options.jobId);
    if (job?.status === JobStatus.Active && job.fence === this.#options.fence) return job;
    this.#endAs(AttemptEnd.Superseded);
    return undefined;
  }

  #fail(failure: EngineFailure): void {
    this.#failure ??= failure;
    this.#endAs(AttemptEnd.Failed);
  }

  #endAs(end: AttemptEnd): void {
    // `Superseded` overrides any other end, since nothing more may be recorded.
    if (this.#end === undefined || end === AttemptEnd.Superseded) this.#end = end;
    this.#stopReading();
  }

  #stopReading(): void {
    this.#abortController.abort();
  }
}

/** Assumes 4 characters per token; engines report the exact count only at the end. */
function estimatePromptTokens(job: Job): number {
  const chars = job.request.messages.reduce((sum, { content }) => sum + content.length, 0);
  return Math.ceil(chars / 4);
}
