import type { Clock, Random } from '../core/index.js';
import { EngineFailure } from '../engine/index.js';
import {
  AppendFailedError,
  EntryKind,
  EntryPriority,
  JobStatus,
  type EntryWriter,
  type Fence,
  type Job,
  type JobFold,
} from '../state/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { ChosenEndpoint, EndpointChooser, ReclaimNotice } from './endpoint-chooser.js';
import { AttemptEnd, GenerationAttempt, type JobPolicy } from './generation-attempt.js';
import type { HandoverPlanner } from './handover-planner.js';
import type { KvMigrator } from './kv-migrator.js';
import { startLeaseRenewal } from './lease-renewal.js';

/**
 * Growth of the delay before the next attempt with each endpoint that broke under a job without new
 * text, and its longest: the job may be what endpoints crash under, and still has to be finished.
 */
const brokenDelayFactor = 3;
const maxRetryDelayMs = 60_000;

/** Why a runner has ended. */
export enum RunnerEnd {
  /** The job is done or cancelled. */
  Finished = 'finished',
  /** Another daemon holds the job. */
  Superseded = 'superseded',
  Stopped = 'stopped',
}

/** Options of {@link JobRunner} that all runners of a daemon share. */
export interface JobRunnerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly fold: JobFold;
  readonly writer: EntryWriter;
  readonly chooser: EndpointChooser;
  readonly planner: HandoverPlanner;
  readonly log: EventLog;
  readonly daemon: string;
  readonly incarnation: number;
  readonly policyFor: (job: Job) => JobPolicy;
  readonly kvMigrator?: KvMigrator;
  /** Milliseconds after the last renewal from which other daemons may take over the job. */
  readonly leaseMs?: number;
  /** Factor from 1 to 4 that lengthens the checkpoint intervals while appends are throttled. */
  readonly checkpointIntervalFactor?: () => number;
  readonly idleTimeoutMs?: number;
  readonly maxBufferedTokens?: number;
  readonly appendTimeoutMs?: number;
  /** Mean delay before the runner tries again. */
  readonly retryDelayMs?: number;
}

/**
 * Runs one job to its end: chooses an endpoint, acquires the lease, generates from the last
 * recorded text, and starts again on another endpoint whenever the endpoint fails or is reclaimed.
 *
 * @example
 * ```ts
 * const end = await new JobRunner(jobId, options).run();
 * ```
 */
export class JobRunner {
  readonly #jobId: string;
  readonly #options: JobRunnerOptions;
  readonly #stopController = new AbortController();
  /** Identities of the endpoints that failed this job or are leaving. */
  readonly #excludedIds = new Set<string>();
  readonly #notices = new Map<string, ReclaimNotice>();
  #attempt: GenerationAttempt | undefined;
  /** Endpoints in a row that broke under the job without new text. */
  #brokenAttempts = 0;

  constructor(jobId: string, options: JobRunnerOptions) {
    this.#jobId = jobId;
    this.#options = options;
  }

  /** Runs until the job has ended, another daemon holds it, or `stop` is called. */
  async run(): Promise<RunnerEnd> {
    const { fold, chooser } = this.#options;
    let reserved: { endpoint: ChosenEndpoint; kvHandle: string | undefined } | undefined;
    let heldFence: Fence | undefined;
    for (;;) {
      const job = fold.job(this.#jobId);
      const isActive = job?.status === JobStatus.Active;
      if (!isActive || (heldFence !== undefined && job.fence !== heldFence)) {
        if (reserved) chooser.release(reserved.endpoint, undefined);
        return isActive ? RunnerEnd.Superseded : RunnerEnd.Finished;
      }
      if (this.#stopController.signal.aborted) {
        if (reserved) chooser.release(reserved.endpoint, undefined);
        if (heldFence !== undefined) await this.#recordLease(job, 0);
        return RunnerEnd.Stopped;
      }
      const endpoint = reserved?.endpoint ?? (await this.#choose(job));
      if (!endpoint) {
        if (heldFence === undefined && this.#isHeldElsewhere()) return RunnerEnd.Superseded;
        await this.#pause();
        continue;
      }
      const kvHandle = reserved?.kvHandle;
      reserved = undefined;
      const fence = await this.#recordLease(job, this.#leaseMs);
      if (fence === undefined) {
        chooser.release(endpoint, undefined);
        // The entry was rejected or not read back; the fold shows who holds the job.
        if (fold.job(this.#jobId)?.fence !== job.fence) return RunnerEnd.Superseded;
        await this.#pause();
        continue;
      }
      heldFence = fence;
      const { end, failure, successor, requestId } = await this.#runAttempt(
        endpoint,
        fence,
        kvHandle,
      );
      this.#countBroken(failure, job.recordedTokens);
      chooser.release(endpoint, failure);
      if (successor && end === AttemptEnd.Failed) {
        reserved = { endpoint: successor, kvHandle: undefined };
      } else if (successor) {
        chooser.release(successor, undefined);
      }
      if (end === AttemptEnd.Finished) return RunnerEnd.Finished;
      if (end === AttemptEnd.Superseded) return RunnerEnd.Superseded;
      if (end === AttemptEnd.Stopped) continue;
      this.#excludedIds.add(endpoint.id);
      this.#options.log.info(EventId.JobMoved, 'job continues on another endpoint', {
        jobId: this.#jobId,
        endpoint: endpoint.id,
        reason: failure ?? end,
      });
      if (end === AttemptEnd.ExportKv) reserved = await this.#migrateKv(endpoint, requestId);
      if (end === AttemptEnd.Failed && !reserved) await this.#pause();
    }
  }

  /** Excludes the endpoints of the notice, and plans a handover if the job runs on one of them. */
  reclaim(notice: ReclaimNotice): void {
    for (const id of notice.endpointIds) {
      this.#excludedIds.add(id);
      this.#notices.set(id, notice);
    }
    this.#attempt?.reclaim(notice);
  }

  /** Records the text generated so far and gives up the lease, so that another daemon continues. */
  stop(): void {
    this.#stopController.abort();
    this.#attempt?.stop();
  }

  async #runAttempt(
    endpoint: ChosenEndpoint,
    fence: Fence,
    kvHandle: string | undefined,
  ): Promise<{
    end: AttemptEnd;
    failure: EngineFailure | undefined;
    successor: ChosenEndpoint | undefined;
    requestId: string;
  }> {
    const { clock, fold, writer, planner, chooser, policyFor, kvMigrator, ...rest } = this.#options;
    const job = fold.job(this.#jobId);
    const attempt = new GenerationAttempt({
      clock,
      fold,
      writer,
      planner,
      chooser,
      excludedIds: this.#excludedIds,
      jobId: this.#jobId,
      fence,
      endpoint,
      kvHandle,
      policy: job ? policyFor(job) : { checkpointTokens: 64, checkpointMs: 2_000 },
      leaseMs: this.#leaseMs,
      checkpointIntervalFactor: rest.checkpointIntervalFactor ?? (() => 1),
      idleTimeoutMs: rest.idleTimeoutMs ?? 10_000,
      maxBufferedTokens: rest.maxBufferedTokens ?? 4_096,
      appendTimeoutMs: rest.appendTimeoutMs ?? 5_000,
      canExportKv: kvMigrator !== undefined,
    });
    this.#attempt = attempt;
    const ended = attempt.run();
    // A notice or a stop may have arrived while the lease was being recorded.
    const notice = this.#notices.get(endpoint.id);
    if (notice) attempt.reclaim(notice);
    if (this.#stopController.signal.aborted) attempt.stop();
    try {
      const end = await ended;
      const { failure, successor, requestId } = attempt;
      return { end, failure, successor, requestId };
    } finally {
      this.#attempt = undefined;
    }
  }

  /** Falls back to endpoints that failed this job, but never to those that are leaving. */
  async #choose(job: Job): Promise<ChosenEndpoint | undefined> {
    const { chooser } = this.#options;
    const endpoint = await chooser.choose({ job, excludedIds: this.#excludedIds });
    if (endpoint || this.#excludedIds.size === this.#notices.size) return endpoint;
    this.#excludedIds.clear();
    for (const id of this.#notices.keys()) this.#excludedIds.add(id);
    return chooser.choose({ job, excludedIds: this.#excludedIds });
  }

  async #migrateKv(
    from: ChosenEndpoint,
    requestId: string,
  ): Promise<{ endpoint: ChosenEndpoint; kvHandle: string | undefined } | undefined> {
    const { fold, chooser, kvMigrator } = this.#options;
    const job = fold.job(this.#jobId);
    const deadlineAtMs = this.#notices.get(from.id)?.deadlineAtMs;
    if (!job || !kvMigrator || deadlineAtMs === undefined) return undefined;
    const to = await chooser.choose({ job, excludedIds: this.#excludedIds, region: from.region });
    if (!to) return undefined;
    // A migration may take longer than the lease lasts.
    const { clock, writer } = this.#options;
    const stopRenewing = startLeaseRenewal({
      clock,
      fold,
      writer,
      jobId: job.jobId,
      fence: job.fence,
      leaseMs: this.#leaseMs,
    });
    const kvHandle = await kvMigrator
      .migrate({ requestId, from, to, deadlineAtMs })
      .catch(() => undefined)
      .finally(stopRenewing);
    return { endpoint: to, kvHandle };
  }

  /**
   * Records a lease of `leaseMs`, where 0 gives the job up. Returns the new fence, or undefined if
   * the entry was not accepted or not read back.
   */
  async #recordLease(job: Job, leaseMs: number): Promise<Fence | undefined> {
    const { clock, writer, daemon, incarnation, fold, appendTimeoutMs = 5_000 } = this.#options;
    const nowMs = clock.nowMs();
    const entry = {
      kind: EntryKind.JobLease,
      jobId: job.jobId,
      daemon,
      incarnation,
      previousFence: job.fence,
      expiresAtMs: nowMs + leaseMs,
      isRenewal: false,
    };
    const options = { deadlineAtMs: nowMs + appendTimeoutMs, priority: EntryPriority.High };
    try {
      await writer.append(entry, options);
    } catch (error) {
      if (!(error instanceof AppendFailedError)) throw error;
    }
    // A late duplicate of an earlier lease entry of this daemon may have been accepted instead.
    const currentJob = fold.job(job.jobId);
    const isHeldHere = currentJob?.daemon === daemon && currentJob.incarnation === incarnation;
    return isHeldHere && currentJob.fence !== job.fence ? currentJob.fence : undefined;
  }

  #isHeldElsewhere(): boolean {
    const { fold, clock, daemon, incarnation } = this.#options;
    const job = fold.job(this.#jobId);
    if (!job || job.expiresAtMs <= clock.nowMs()) return false;
    return job.daemon !== daemon || job.incarnation !== incarnation;
  }

  get #leaseMs(): number {
    return this.#options.leaseMs ?? 10_000;
  }

  #countBroken(failure: EngineFailure | undefined, tokensBefore: number): void {
    const tokens = this.#options.fold.job(this.#jobId)?.recordedTokens ?? tokensBefore;
    if (tokens > tokensBefore) this.#brokenAttempts = 0;
    else if (failure === EngineFailure.Broken) this.#brokenAttempts += 1;
  }

  async #pause(): Promise<void> {
    const { clock, random, retryDelayMs = 250 } = this.#options;
    const factor = brokenDelayFactor ** Math.max(0, this.#brokenAttempts - 1);
    const delayMs = Math.min(maxRetryDelayMs, retryDelayMs * factor);
    const atMs = clock.nowMs() + delayMs * (0.5 + random.float());
    await clock.sleepUntil(atMs, this.#stopController.signal);
  }
}
