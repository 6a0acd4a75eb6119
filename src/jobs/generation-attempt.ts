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
import type { ChosenEndpoint, ReclaimNotice } from './endpoint-chooser.js';
import { HandoverKind, type HandoverPlanner } from './handover-planner.js';
import { startLeaseRenewal } from './lease-renewal.js';

/** How a generation on one endpoint ended. */
export enum AttemptEnd {
  /** The whole answer is recorded. */
  Finished = 'finished',
  /** The endpoint failed; the recorded text is the start of the next generation. */
  Failed = 'failed',
  /** The endpoint is reclaimed and its KV cache can be moved. */
  ExportKv = 'export_kv',
  /** The endpoint is reclaimed and the text continues elsewhere. */
  Resume = 'resume',
  /** Another daemon holds the job now, or it has ended. */
  Superseded = 'superseded',
  /** The daemon stops. */
  Stopped = 'stopped',
}

/** Settings of a job's checkpoints and leases. */
export interface JobPolicy {
  /** Tokens between checkpoints, before widening. */
  readonly checkpointTokens: number;
  /** Milliseconds between checkpoints, before widening. */
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
  readonly policy: JobPolicy;
  readonly leaseMs: number;
  /** Factor between 1 and 4 by which checkpoints widen when the append budget is short. */
  readonly checkpointIntervalFactor: () => number;
  /** Longest time without an event before the stream counts as silent. */
  readonly idleTimeoutMs: number;
  /** Tokens that may wait for the log before reading from the engine pauses. */
  readonly maxBufferedTokens: number;
  readonly appendTimeoutMs: number;
  readonly canExportKv: boolean;
  readonly kvHandle: string | undefined;
}

/** Time reserved before a reclaim for the last checkpoint. */
const finalCheckpointReserveMs = 1_500;
const appendRetryDelayMs = 200;

/**
 * One generation of a job under one fence on one endpoint: reads tokens, records them at
 * checkpoints and renews the lease until the answer is whole, the endpoint fails or leaves, or the
 * fence has moved.
 *
 * @internal
 */
export class GenerationAttempt {
  readonly #options: GenerationAttemptOptions;
  readonly #abortController = new AbortController();
  readonly #requestId: string;
  /** Tokens generated and not yet known to be recorded. */
  #bufferedTokens: string[] = [];
  #recordedTokens = 0;
  #flushPromise: Promise<void> | undefined;
  #end: AttemptEnd | undefined;
  #failure: EngineFailure | undefined;
  #lastEventAtMs: number;
  #firstTokenAtMs: number | undefined;
  #receivedTokens = 0;

  constructor(options: GenerationAttemptOptions) {
    this.#options = options;
    this.#requestId = `${options.jobId}:${options.fence}`;
    this.#lastEventAtMs = options.clock.nowMs();
  }

  /** Request id at the engine; names the fence, so that a late cancel cannot hit a newer one. */
  get requestId(): string {
    return this.#requestId;
  }

  /** Set when the endpoint failed. */
  get failure(): EngineFailure | undefined {
    return this.#failure;
  }

  /** Runs until the attempt has ended; rejects only on errors of the product itself. */
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
      // The previous holder may have died between the last text and the completion.
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

  /** Reacts to a reclaim of this attempt's endpoint. */
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

  /** Ends the attempt after its text so far is recorded. */
  stop(): void {
    this.#endAs(AttemptEnd.Stopped);
  }

  /** Resolves with the finish reason, or undefined when the attempt ended before. */
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
        this.#lastEventAtMs = this.#options.clock.nowMs();
        if (event.kind === GenerationEventKind.End) finishReason = event.finishReason;
        return this.#onEvent(event);
      },
      signal,
    );
    try {
      // A silent engine may never settle, so that the abort alone must be enough.
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

  #isCheckpointDue(): boolean {
    const { clock, policy, checkpointIntervalFactor } = this.#options;
    if (clock.nowMs() < this.#checkpointDueAtMs) return false;
    this.#checkpointDueAtMs =
      clock.nowMs() + policy.checkpointMs * (checkpointIntervalFactor() - 1);
    return true;
  }

  /** Records the buffer, retrying until it is empty or the fence has moved. */
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

  /** A copy of an earlier append may have been recorded instead, so the fold alone counts. */
  #dropRecordedTokens(): void {
    const job = this.#heldJob();
    if (!job) return;
    this.#bufferedTokens.splice(0, job.recordedTokens - this.#recordedTokens);
    this.#recordedTokens = job.recordedTokens;
  }

  async #flushRemaining(): Promise<void> {
    // A flush under way may have begun before the last token.
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

  /** Appends once; after any failure it waits before the caller looks at the fold again. */
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

  /** The job while this attempt may still record for it; ends the attempt otherwise. */
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
    // A lost fence overrides any other reason: nothing may be recorded any more.
    if (this.#end === undefined || end === AttemptEnd.Superseded) this.#end = end;
    this.#stopReading();
  }

  #stopReading(): void {
    this.#abortController.abort();
  }
}

/** Rough size of a prompt; engines report the exact figure only at the end. */
function estimatePromptTokens(job: Job): number {
  const chars = job.request.messages.reduce((sum, { content }) => sum + content.length, 0);
  return Math.ceil(chars / 4);
}
