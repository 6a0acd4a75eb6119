import { Outcome, RequestError, Step, type IdSource, type WorkClass } from '../core/index.js';
import {
  AppendFailedError,
  EntryKind,
  EntryPriority,
  JobStatus,
  type Job,
  type JobAcceptedEntry,
  type JobRequest,
} from '../state/index.js';
import { EventId } from '../telemetry/index.js';
import { JobFrameKind, type JobFrame } from './answer-assembler.js';
import type { ReclaimNotice } from './endpoint-chooser.js';
import { JobRunner, type JobRunnerOptions } from './job-runner.js';

/** A job as a caller submits it. */
export interface NewJob {
  /** Set if the same job may be submitted twice, such as after a lost answer. */
  readonly jobId?: string;
  readonly workspace: string;
  readonly service: string;
  readonly request: JobRequest;
  readonly workClass: WorkClass;
  /** Epoch milliseconds by which the caller needs the answer; a job that misses it continues. */
  readonly deadlineAtMs: number;
  /** Policy `remember_ms` of the service. */
  readonly rememberMs: number;
}

/** Options of {@link JobManager}. */
export interface JobManagerOptions extends JobRunnerOptions {
  readonly newId: IdSource;
  /** Whether this daemon owns the shard and therefore runs jobs that no daemon holds. */
  readonly isOwner?: () => boolean;
  /** Maximum number of jobs that run on this daemon at the same time. */
  readonly maxRunning?: number;
  /** Mean interval between scans for jobs that no daemon holds. */
  readonly scanIntervalMs?: number;
}

/**
 * Retention of a notice after its deadline. One hour covers endpoints that outlive the announced
 * deadline. Endpoint identities are not reused, so an old notice only costs memory.
 */
const noticeRetentionMs = 3_600_000;

/**
 * Accepts the jobs of one shard, runs those that no daemon holds, and streams their text.
 *
 * @example
 * ```ts
 * const manager = new JobManager(options);
 * manager.start();
 * const jobId = await manager.accept(newJob);
 * for await (const frame of manager.read(jobId, 0, signal)) send(frame);
 * ```
 */
export class JobManager {
  readonly #options: JobManagerOptions;
  readonly #runners = new Map<string, { runner: JobRunner; ended: Promise<void> }>();
  /** Reclaim notices by endpoint identity, for runners that start later. */
  readonly #notices = new Map<string, ReclaimNotice>();
  #isRunning = false;
  #cancelScan: (() => void) | undefined;

  constructor(options: JobManagerOptions) {
    this.#options = options;
  }

  /** Number of jobs that run on this daemon. */
  get runningCount(): number {
    return this.#runners.size;
  }

  /** Starts scanning for jobs. Call it once the fold has caught up with the log. */
  start(): void {
    this.#isRunning = true;
    this.#scheduleScan(0);
  }

  /**
   * Records the text of all jobs that run on this daemon and gives up their leases. Resolves when
   * that is recorded, or at `deadlineAtMs`, in which case the remaining leases expire.
   */
  async stop(deadlineAtMs: number): Promise<void> {
    this.#isRunning = false;
    this.#cancelScan?.();
    const ended = [...this.#runners.values()].map(async ({ runner, ended }) => {
      runner.stop();
      await ended;
    });
    const timeoutAbort = new AbortController();
    const allEnded = Promise.all(ended).then(() => {
      timeoutAbort.abort();
    });
    await Promise.race([
      allEnded,
      this.#options.clock.sleepUntil(deadlineAtMs, timeoutAbort.signal),
    ]);
  }

  /**
   * Records a job and returns its id.
   *
   * @throws RequestError with outcome `not_run` if the job is provably not recorded, and with
   * outcome `unknown` and the job's id if it may be recorded.
   */
  async accept(newJob: NewJob): Promise<string> {
    const { clock, writer, newId, log, appendTimeoutMs = 5_000 } = this.#options;
    const { rememberMs, jobId = newId(), ...rest } = newJob;
    const acceptedAtMs = clock.nowMs();
    const entry: JobAcceptedEntry = {
      kind: EntryKind.JobAccepted,
      jobId,
      ...rest,
      acceptedAtMs,
      rememberUntilMs: Math.max(acceptedAtMs, newJob.deadlineAtMs) + rememberMs,
    };
    try {
      const deadlineAtMs = acceptedAtMs + appendTimeoutMs;
      await writer.append(entry, { deadlineAtMs, priority: EntryPriority.High });
    } catch (error) {
      if (!(error instanceof AppendFailedError)) throw error;
      throw notRecordedError(jobId, error);
    }
    log.debug(EventId.JobAccepted, 'job accepted', { jobId, workspace: newJob.workspace });
    const job = this.#options.fold.job(jobId);
    if (job && this.#canRun(job)) this.#startRunner(job);
    return jobId;
  }

  /** Returns a job of this shard, or undefined if it is unknown or has expired. */
  get(jobId: string): Job | undefined {
    return this.#options.fold.job(jobId);
  }

  /**
   * Cancels a job; one that has ended is left unchanged. Returns the job, or undefined if unknown.
   *
   * @throws RequestError with outcome `unknown` if the cancellation was not read back in time.
   */
  async cancel(jobId: string, operatorDetails = noOperator): Promise<Job | undefined> {
    const { clock, writer, fold, appendTimeoutMs = 5_000 } = this.#options;
    if (fold.job(jobId)?.status !== JobStatus.Active) return fold.job(jobId);
    const cancelledAtMs = clock.nowMs();
    try {
      await writer.append(
        { kind: EntryKind.JobCancelled, jobId, cancelledAtMs, ...operatorDetails },
        { deadlineAtMs: cancelledAtMs + appendTimeoutMs, priority: EntryPriority.High },
      );
    } catch (error) {
      if (!(error instanceof AppendFailedError)) throw error;
      throw new RequestError('the cancellation may not be recorded', {
        step: Step.Job,
        peer: jobId,
        status: 503,
        code: 'log_unavailable',
        next: 'Cancel the job again; cancelling twice is harmless.',
        outcome: Outcome.Unknown,
        cause: error,
      });
    }
    return fold.job(jobId);
  }

  /**
   * Streams the recorded text from `offset` (in characters), then an end frame when the job is
   * done. The stream of a cancelled, expired or unknown job ends without an end frame.
   */
  async *read(jobId: string, offset: number, signal: AbortSignal): AsyncGenerator<JobFrame, void> {
    const { fold } = this.#options;
    let nextOffset = offset;
    while (!signal.aborted) {
      const changed = waitForChange(fold, jobId, signal);
      const job = fold.job(jobId);
      if (!job) return;
      if (job.text.length > nextOffset) {
        yield {
          kind: JobFrameKind.Text,
          jobId,
          generation: job.fence,
          offset: nextOffset,
          text: job.text.slice(nextOffset),
        };
        nextOffset = job.text.length;
      }
      if (job.status === JobStatus.Cancelled) return;
      if (job.status === JobStatus.Done) {
        yield {
          kind: JobFrameKind.End,
          jobId,
          generation: job.fence,
          lengthChars: job.text.length,
          digest: job.digest ?? '',
          finishReason: job.finishReason ?? '',
        };
        return;
      }
      await changed;
    }
  }

  /** Passes a reclaim notice to all runners, including those that start later. */
  reclaim(notice: ReclaimNotice): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [id, { deadlineAtMs }] of this.#notices) {
      if (deadlineAtMs + noticeRetentionMs <= nowMs) this.#notices.delete(id);
    }
    for (const id of notice.endpointIds) this.#notices.set(id, notice);
    for (const { runner } of this.#runners.values()) runner.reclaim(notice);
  }

  #scheduleScan(delayMs: number): void {
    const { clock, random, scanIntervalMs = 1_000 } = this.#options;
    this.#cancelScan = clock.schedule(clock.nowMs() + delayMs, () => {
      this.#scan();
      // Jitter keeps daemons from taking over the same jobs at the same moment.
      if (this.#isRunning) this.#scheduleScan(scanIntervalMs * (0.5 + random.float()));
    });
  }

  #scan(): void {
    const runnableJobs = this.#options.fold
      .activeJobs()
      .filter((job) => this.#canRun(job))
      .sort((a, b) => a.deadlineAtMs - b.deadlineAtMs);
    for (const job of runnableJobs) {
      if (this.#canRun(job)) this.#startRunner(job);
    }
  }

  #canRun(job: Job): boolean {
    const { clock, daemon, incarnation, isOwner = () => true, maxRunning = 256 } = this.#options;
    if (!this.#isRunning || !isOwner() || this.#runners.size >= maxRunning) return false;
    if (this.#runners.has(job.jobId)) return false;
    const isHeldHere = job.daemon === daemon && job.incarnation === incarnation;
    return isHeldHere || job.expiresAtMs <= clock.nowMs();
  }

  #startRunner(job: Job): void {
    const { log } = this.#options;
    const { jobId } = job;
    if (job.fence !== 0) {
      log.info(EventId.JobTakenOver, 'continuing the job from its recorded text', {
        jobId,
        previousDaemon: job.daemon,
        recordedTokens: job.recordedTokens,
      });
    }
    const runner = new JobRunner(jobId, this.#options);
    for (const notice of this.#notices.values()) runner.reclaim(notice);
    const ended = runner.run().then(
      (end) => {
        const state = this.#options.fold.job(jobId);
        const isDone = state?.status === JobStatus.Done;
        if (isDone) {
          log.info(EventId.JobFinished, 'job is done', { jobId, tokens: state.recordedTokens });
        } else log.info(EventId.JobLeaseLost, `job runner ended: ${end}`, { jobId });
      },
      (error: unknown) => {
        log.error(
          EventId.JobRunnerFailed,
          'job runner failed; the next scan starts the job again',
          { jobId, error: String(error) },
        );
      },
    );
    const entry = {
      runner,
      ended: ended.then(() => {
        this.#runners.delete(jobId);
      }),
    };
    this.#runners.set(jobId, entry);
  }
}

/** Operator details of a cancellation that the caller requested. */
const noOperator = { operator: '', note: '' };

/** Resolves at the next entry for the job, or when `signal` is aborted. */
function waitForChange(
  fold: JobManagerOptions['fold'],
  jobId: string,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      unsubscribe();
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const unsubscribe = fold.subscribe((changedId) => {
      if (changedId === jobId) finish();
    });
    signal.addEventListener('abort', finish, { once: true });
  });
}

function notRecordedError(jobId: string, cause: AppendFailedError): RequestError {
  return new RequestError('the log did not take the job in time', {
    step: Step.Job,
    peer: jobId,
    status: 503,
    code: cause.mayBeStored ? 'acceptance_unknown' : 'not_accepted',
    next: cause.mayBeStored
      ? `Look for the job at GET /v1/jobs/${jobId} before sending it again.`
      : 'Send the job again.',
    outcome: cause.mayBeStored ? Outcome.Unknown : Outcome.NotRun,
    cause,
  });
}
