import { z } from 'zod';
import { WorkClass, sha256Hex } from '../core/index.js';
import { EntryKind } from './envelope.js';
import type { Fence } from './fold.js';
import { LogTime } from './log-time.js';
import { OrderedFold } from './ordered-fold.js';

/** State of an accepted job. */
export enum JobStatus {
  /** Accepted and not finished, whether or not a daemon works on it now. */
  Active = 'active',
  Done = 'done',
  Cancelled = 'cancelled',
}

const requestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  maxTokens: z.int().positive(),
  passThrough: z.record(z.string(), z.unknown()),
});

/** Generation request of a job. */
export type JobRequest = z.output<typeof requestSchema>;

/** Schema of a `job_accepted` entry. */
export const jobAcceptedEntrySchema = z.object({
  kind: z.literal(EntryKind.JobAccepted),
  jobId: z.string().min(1),
  workspace: z.string(),
  service: z.string(),
  request: requestSchema,
  workClass: z.enum(WorkClass),
  acceptedAtMs: z.number(),
  /**
   * Time by which the caller needs the answer. It orders the jobs; a job that misses it continues.
   */
  deadlineAtMs: z.number(),
  /** A finished job is kept until this time. */
  rememberUntilMs: z.number(),
});

/** Schema of a `job_lease` entry. */
export const jobLeaseEntrySchema = z.object({
  kind: z.literal(EntryKind.JobLease),
  jobId: z.string().min(1),
  daemon: z.string().min(1),
  incarnation: z.int(),
  previousFence: z.int().nonnegative(),
  expiresAtMs: z.number(),
  /** True extends the holder's lease and keeps its fence; false grants a lease with a new fence. */
  isRenewal: z.boolean(),
});

/** Schema of a `job_progress` entry. */
export const jobProgressEntrySchema = z.object({
  kind: z.literal(EntryKind.JobProgress),
  jobId: z.string().min(1),
  fence: z.int().positive(),
  /** Tokens recorded before this entry; with any other value it is a duplicate or out of order. */
  offsetTokens: z.int().nonnegative(),
  tokens: z.int().positive(),
  text: z.string(),
});

/** Schema of a `job_done` entry. */
export const jobDoneEntrySchema = z.object({
  kind: z.literal(EntryKind.JobDone),
  jobId: z.string().min(1),
  fence: z.int().positive(),
  lengthChars: z.int().nonnegative(),
  /** SHA-256 of the whole text. */
  digest: z.string(),
  finishReason: z.string(),
  doneAtMs: z.number(),
});

/** Schema of a `job_cancelled` entry. */
export const jobCancelledEntrySchema = z.object({
  kind: z.literal(EntryKind.JobCancelled),
  jobId: z.string().min(1),
  cancelledAtMs: z.number(),
  /** Id of the operator's key; empty when the caller cancelled. */
  operator: z.string().max(200).default(''),
  note: z.string().max(500).default(''),
});

const entrySchema = z.discriminatedUnion('kind', [
  jobAcceptedEntrySchema,
  jobLeaseEntrySchema,
  jobProgressEntrySchema,
  jobDoneEntrySchema,
  jobCancelledEntrySchema,
]);

export type JobAcceptedEntry = z.output<typeof jobAcceptedEntrySchema>;
export type JobLeaseEntry = z.output<typeof jobLeaseEntrySchema>;
export type JobProgressEntry = z.output<typeof jobProgressEntrySchema>;
export type JobDoneEntry = z.output<typeof jobDoneEntrySchema>;
export type JobCancelledEntry = z.output<typeof jobCancelledEntrySchema>;

const jobSchema = jobAcceptedEntrySchema.omit({ kind: true }).extend({
  status: z.enum(JobStatus),
  /** Fence of the current lease; 0 before the first. */
  fence: z.int().nonnegative(),
  daemon: z.string(),
  incarnation: z.int(),
  expiresAtMs: z.number(),
  recordedTokens: z.int().nonnegative(),
  /** Recorded text; callers receive no other text. */
  text: z.string(),
  finishReason: z.string().nullable(),
  digest: z.string().nullable(),
  /** Who cancelled the job and why; snapshots of earlier versions lack it. */
  cancellation: z.object({ operator: z.string(), note: z.string() }).nullable().default(null),
});

/** An accepted job. */
export type Job = z.output<typeof jobSchema>;

const snapshotSchema = z.object({ logTimeMs: z.number(), jobs: z.array(jobSchema) });

type JobSnapshot = z.output<typeof snapshotSchema>;
type JobEntry = z.output<typeof entrySchema>;

/**
 * Accepted jobs, their leases and their text. Progress is accepted only under the current fence and
 * at the recorded offset, and completion only when length and digest match the recorded text, so
 * that late, duplicated and reordered entries have no effect.
 *
 * @example
 * ```ts
 * const job = fold.job(jobId);
 * if (job?.status === JobStatus.Done) console.log(job.text);
 * ```
 */
export class JobFold extends OrderedFold<JobEntry, JobSnapshot> {
  readonly #jobs = new Map<string, Job>();
  readonly #activeIds = new Set<string>();
  readonly #listeners = new Set<(jobId: string) => void>();
  #time = new LogTime();

  constructor() {
    super(entrySchema, snapshotSchema);
  }

  /** A job by id, until it is finished and its `rememberUntilMs` has passed. */
  job(jobId: string): Job | undefined {
    return this.#jobs.get(jobId);
  }

  /** Unfinished jobs in the order of acceptance. */
  activeJobs(): readonly Job[] {
    return [...this.#activeIds].flatMap((jobId) => this.#jobs.get(jobId) ?? []);
  }

  /** All jobs that have not expired, for operators. */
  jobs(): readonly Job[] {
    return [...this.#jobs.values()];
  }

  /**
   * Calls `listener` after each entry about a job.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (jobId: string) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  protected override applyEntry(position: Fence, entry: JobEntry): void {
    if (entry.kind === EntryKind.JobAccepted) this.#applyAccepted(entry);
    else {
      const job = this.#jobs.get(entry.jobId);
      if (job?.status !== JobStatus.Active) return;
      const next = nextState(job, position, entry);
      if (!next) return;
      this.#jobs.set(job.jobId, next);
      if (next.status !== JobStatus.Active) this.#activeIds.delete(job.jobId);
      if (entry.kind === EntryKind.JobDone) this.#time.observe(entry.doneAtMs);
    }
    for (const listener of this.#listeners) listener(entry.jobId);
  }

  #applyAccepted(entry: JobAcceptedEntry): void {
    this.#time.observe(entry.acceptedAtMs);
    for (const [jobId, job] of this.#jobs) {
      if (job.rememberUntilMs > this.#time.nowMs) break;
      if (job.status !== JobStatus.Active) this.#jobs.delete(jobId);
    }
    if (this.#jobs.has(entry.jobId)) return;
    const job = jobSchema.parse({
      ...entry,
      status: JobStatus.Active,
      fence: 0,
      daemon: '',
      incarnation: 0,
      expiresAtMs: 0,
      recordedTokens: 0,
      text: '',
      finishReason: null,
      digest: null,
      cancellation: null,
    });
    this.#jobs.set(entry.jobId, job);
    this.#activeIds.add(entry.jobId);
  }

  protected override stateSnapshot(): JobSnapshot {
    return { logTimeMs: this.#time.nowMs, jobs: [...this.#jobs.values()] };
  }

  protected override restoreState(state: JobSnapshot): void {
    this.#time = new LogTime(state.logTimeMs);
    this.#jobs.clear();
    this.#activeIds.clear();
    for (const job of state.jobs) {
      this.#jobs.set(job.jobId, job);
      if (job.status === JobStatus.Active) this.#activeIds.add(job.jobId);
    }
  }
}

/** The active job after `entry`, or undefined when the entry is ignored. */
function nextState(
  job: Job,
  position: Fence,
  entry: Exclude<JobEntry, JobAcceptedEntry>,
): Job | undefined {
  switch (entry.kind) {
    case EntryKind.JobLease: {
      if (entry.previousFence !== job.fence) return undefined;
      const { daemon, incarnation, expiresAtMs } = entry;
      if (!entry.isRenewal) return { ...job, fence: position, daemon, incarnation, expiresAtMs };
      const isHolder = job.daemon === daemon && job.incarnation === incarnation;
      return isHolder ? { ...job, expiresAtMs: Math.max(job.expiresAtMs, expiresAtMs) } : undefined;
    }
    case EntryKind.JobProgress:
      if (entry.fence !== job.fence || entry.offsetTokens !== job.recordedTokens) return undefined;
      return {
        ...job,
        recordedTokens: job.recordedTokens + entry.tokens,
        text: job.text + entry.text,
      };
    case EntryKind.JobDone: {
      const { fence, lengthChars, digest, finishReason } = entry;
      if (fence !== job.fence || lengthChars !== job.text.length) return undefined;
      if (digest !== sha256Hex(job.text)) return undefined;
      return { ...job, status: JobStatus.Done, finishReason, digest };
    }
    case EntryKind.JobCancelled:
      return {
        ...job,
        status: JobStatus.Cancelled,
        cancellation: { operator: entry.operator, note: entry.note },
      };
  }
}
