import { z } from 'zod';
import { WorkClass } from '../core/index.js';
import {
  HandoverPlanner,
  JobFrameKind,
  JobManager,
  type EndpointChooser,
  type JobFrame,
  type JobPolicy,
  type KvMigrator,
  type KvTransferQueue,
  type ReclaimNotice,
} from '../jobs/index.js';
import type { PeerMethodRegistry } from '../rpc/index.js';
import { JobFold, JobStatus, type Job } from '../state/index.js';
import type { OpenStream } from './log-access.js';
import { runOnOwner } from './owner-fallback.js';
import { decodeResult, encodeResult, resultOrErrorSchema } from './request-error-codec.js';
import { ShardHost, shardOfId, LocalShard } from './shard-host.js';
import { waitUntilReady, type ShardedServiceOptions } from './sharded-service.js';

/** Transfer rate of KV caches within a region, on a 10 Gbit/s network. */
export const kvBytesPerS = 1_250_000_000;

const newJobSchema = z.object({
  /** Chosen by the daemon that received the request, so that a repeated accept records one job. */
  jobId: z.string().max(100),
  workspace: z.string(),
  service: z.string(),
  request: z.object({
    model: z.string(),
    messages: z.array(z.object({ role: z.string(), content: z.string() })),
    maxTokens: z.int().positive(),
    passThrough: z.record(z.string(), z.unknown()),
  }),
  workClass: z.enum(WorkClass),
  deadlineAtMs: z.number(),
  rememberMs: z.number(),
});

/** A new job, as it is sent to the owner of its shard. */
export type RoutedJob = z.output<typeof newJobSchema>;

const cancellationSchema = z.object({ operator: z.string(), note: z.string() });

const jobInfoSchema = z.object({
  jobId: z.string(),
  workspace: z.string(),
  service: z.string(),
  status: z.enum(JobStatus),
  fence: z.number(),
  daemon: z.string(),
  acceptedAtMs: z.number(),
  deadlineAtMs: z.number(),
  recordedTokens: z.number(),
  lengthChars: z.number(),
  finishReason: z.string().nullable(),
  cancellation: cancellationSchema.nullable(),
});

/** State of a job as shown to callers, without its text. */
export type JobInfo = z.output<typeof jobInfoSchema>;

const frameSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(JobFrameKind.Text),
    jobId: z.string(),
    generation: z.number(),
    offset: z.number(),
    text: z.string(),
  }),
  z.object({
    kind: z.literal(JobFrameKind.End),
    jobId: z.string(),
    generation: z.number(),
    lengthChars: z.number(),
    digest: z.string(),
    finishReason: z.string(),
  }),
]);

const acceptResultSchema = resultOrErrorSchema(z.object({ jobId: z.string() }));
const jobResultSchema = resultOrErrorSchema(jobInfoSchema.nullable());
const framesResultSchema = z.object({ frames: z.array(frameSchema), isOver: z.boolean() });
const framesParamsSchema = z.object({
  jobId: z.string(),
  offset: z.number(),
  waitUntilMs: z.number(),
});
const jobIdParamsSchema = z.object({ jobId: z.string() });
const cancelParamsSchema = jobIdParamsSchema.extend({ by: cancellationSchema.optional() });

/** Who cancels a job and why. */
export type JobCancellation = z.output<typeof cancellationSchema>;

/** Longest wait of one poll for the frames of a job on another daemon. */
const maxFramesWaitMs = 5_000;
const callTimeoutMs = 10_000;

/** Options of {@link JobsService}. */
export interface JobsServiceOptions extends ShardedServiceOptions {
  /** Start time of the daemon, which distinguishes this run from earlier ones. */
  readonly incarnation: number;
  readonly chooser: EndpointChooser;
  readonly kvMigrator: KvMigrator;
  /** Transfers within the region that all shards share. */
  readonly kvTransferQueue: KvTransferQueue;
  readonly policyFor: (job: Job) => JobPolicy;
  /** Called once for each job that this daemon completed. */
  readonly onDone: (job: Job) => void;
}

/**
 * Accepted jobs of all shards. The owner of a shard records and runs its jobs; every daemon can
 * accept a job, read its text and cancel it.
 *
 * @example
 * ```ts
 * const jobId = await jobs.accept(job);
 * for await (const frame of jobs.read(jobId, 0, signal)) send(frame);
 * ```
 */
export class JobsService {
  readonly #options: JobsServiceOptions;
  readonly #shards: ShardHost<JobShard>;

  constructor(options: JobsServiceOptions) {
    this.#options = options;
    this.#shards = new ShardHost<JobShard>({
      name: 'jobs',
      shards: options.shards,
      membership: options.membership,
      clock: options.clock,
      create: (shard) => new JobShard(shard, options, () => this.#shards.isOwner(shard)),
    });
    this.#registerMethods(options.methods);
  }

  /** Starts the shards that this daemon owns. */
  start(): void {
    this.#shards.start();
  }

  /** Records a job and returns its id. @throws RequestError when it was not or may not be recorded. */
  async accept(newJob: Omit<RoutedJob, 'jobId'>): Promise<string> {
    const { newId, peers, clock } = this.#options;
    const uniqueId = newId();
    const shard = this.#shards.shardOf(uniqueId);
    const job: RoutedJob = { ...newJob, jobId: `${shard}-${uniqueId}` };
    const owner = this.#shards.remoteOwner(shard);
    if (!owner) return this.#acceptLocally(job);
    const deadlineAtMs = clock.nowMs() + callTimeoutMs;
    return runOnOwner(
      async () => {
        const answer = await peers.call(owner.rpcUrl, 'jobs.accept', job, { deadlineAtMs });
        return decodeResult(acceptResultSchema.parse(answer)).jobId;
      },
      () => this.#acceptLocally(job),
    );
  }

  /** A job by id; undefined when it is unknown or no longer retained. */
  async get(jobId: string): Promise<JobInfo | undefined> {
    return this.#find('jobs.get', jobId, (shard) => Promise.resolve(shard.manager.get(jobId)));
  }

  /** Cancels a job; a job that has ended does not change. */
  async cancel(jobId: string, by?: JobCancellation): Promise<JobInfo | undefined> {
    return this.#find('jobs.cancel', jobId, (shard) => shard.manager.cancel(jobId, by), { by });
  }

  /** Recorded text from `offset` on, followed by an end frame when the job is done. */
  async *read(jobId: string, offset: number, signal: AbortSignal): AsyncGenerator<JobFrame, void> {
    let nextOffset = offset;
    while (!signal.aborted) {
      const owner = this.#shards.remoteOwner(this.#shardOf(jobId));
      const page = owner
        ? await this.#remoteFrames(owner.rpcUrl, jobId, nextOffset)
        : await this.#localFrames(jobId, nextOffset, signal);
      for (const frame of page?.frames ?? []) {
        if (frame.kind === JobFrameKind.Text) nextOffset = frame.offset + frame.text.length;
        yield frame;
      }
      if (page?.isOver) return;
      // The owner may have changed; the next round looks it up again.
      if (!page) await this.#options.clock.sleepUntil(this.#options.clock.nowMs() + 250, signal);
    }
  }

  /** Notifies the runners that endpoints are leaving. */
  reclaim(notice: ReclaimNotice): void {
    for (const shard of this.#shards.hosted()) shard.manager.reclaim(notice);
  }

  /** Jobs of the shards on this daemon, for operators. */
  jobs(): readonly Job[] {
    return this.#shards.hosted().flatMap((shard) => shard.jobs());
  }

  /** Records the text of the running jobs and releases their leases. */
  async stop(deadlineAtMs: number): Promise<void> {
    await this.#shards.stop(deadlineAtMs);
  }

  #registerMethods(methods: PeerMethodRegistry): void {
    methods.register('jobs.accept', (params) => {
      const job = newJobSchema.parse(params);
      return encodeResult(async () => ({ jobId: await this.#acceptLocally(job) }));
    });
    methods.register('jobs.get', (params) => {
      const { jobId } = jobIdParamsSchema.parse(params);
      return encodeResult(async () => jobInfo((await this.#readyShard(jobId)).manager.get(jobId)));
    });
    methods.register('jobs.cancel', (params) => {
      const { jobId, by } = cancelParamsSchema.parse(params);
      return encodeResult(async () =>
        jobInfo(await (await this.#readyShard(jobId)).manager.cancel(jobId, by)),
      );
    });
    methods.register('jobs.frames', (params) => {
      const { jobId, offset, waitUntilMs } = framesParamsSchema.parse(params);
      return this.#localFrames(jobId, offset, undefined, waitUntilMs);
    });
  }

  async #find(
    method: string,
    jobId: string,
    runLocally: (shard: JobShard) => Promise<Job | undefined>,
    extraParams: object = {},
  ): Promise<JobInfo | undefined> {
    const answer = await this.#callOwner(this.#shardOf(jobId), method, { jobId, ...extraParams });
    if (answer !== undefined) return decodeResult(jobResultSchema.parse(answer)) ?? undefined;
    return jobInfo(await runLocally(await this.#readyShard(jobId))) ?? undefined;
  }

  /** Answer of the shard's owner; undefined when this daemon owns it or the call fails. */
  async #callOwner(shard: number, method: string, params: unknown): Promise<unknown> {
    const owner = this.#shards.remoteOwner(shard);
    if (!owner) return undefined;
    const deadlineAtMs = this.#options.clock.nowMs() + callTimeoutMs;
    try {
      return await this.#options.peers.call(owner.rpcUrl, method, params, { deadlineAtMs });
    } catch {
      return undefined;
    }
  }

  #shardOf(jobId: string): number {
    return shardOfId(jobId) % this.#options.shards;
  }

  async #readyShard(jobId: string): Promise<JobShard> {
    const { clock } = this.#options;
    const shard = this.#shards.localShard(this.#shardOf(jobId));
    await waitUntilReady(shard, clock.nowMs() + callTimeoutMs, clock);
    return shard;
  }

  async #acceptLocally(job: RoutedJob): Promise<string> {
    const shard = await this.#readyShard(job.jobId);
    return shard.manager.accept(job);
  }

  async #remoteFrames(
    rpcUrl: string,
    jobId: string,
    offset: number,
  ): Promise<z.output<typeof framesResultSchema> | undefined> {
    const nowMs = this.#options.clock.nowMs();
    const params = { jobId, offset, waitUntilMs: nowMs + maxFramesWaitMs };
    try {
      const answer = await this.#options.peers.call(rpcUrl, 'jobs.frames', params, {
        deadlineAtMs: nowMs + maxFramesWaitMs + 2_000,
      });
      return framesResultSchema.parse(answer);
    } catch {
      return undefined;
    }
  }

  /** The first frames from `offset` on; waits for them until `waitUntilMs`. */
  async #localFrames(
    jobId: string,
    offset: number,
    signal?: AbortSignal,
    waitUntilMs = this.#options.clock.nowMs() + maxFramesWaitMs,
  ): Promise<z.output<typeof framesResultSchema>> {
    const shard = await this.#readyShard(jobId);
    const waitAbort = new AbortController();
    const stop = (): void => {
      waitAbort.abort();
    };
    signal?.addEventListener('abort', stop, { once: true });
    const cancelTimer = this.#options.clock.schedule(waitUntilMs, stop);
    const frames: JobFrame[] = [];
    let isOver = shard.manager.get(jobId) === undefined;
    for await (const frame of shard.manager.read(jobId, offset, waitAbort.signal)) {
      frames.push(frame);
      if (frame.kind === JobFrameKind.End) isOver = true;
      if (frame.kind === JobFrameKind.Text && !hasEnded(shard.manager.get(jobId))) break;
    }
    if (shard.manager.get(jobId)?.status === JobStatus.Cancelled) isOver = true;
    cancelTimer();
    signal?.removeEventListener('abort', stop);
    return { frames, isOver };
  }
}

/** Jobs of one shard. @internal */
class JobShard extends LocalShard {
  readonly manager: JobManager;
  readonly #stream: OpenStream<JobFold>;

  constructor(shard: number, options: JobsServiceOptions, isOwner: () => boolean) {
    super();
    const { clock, random, events, daemon, incarnation, newId, chooser, policyFor } = options;
    this.#stream = options.log.open(`jobs.${shard}`, new JobFold());
    const { fold, writer } = this.#stream;
    this.manager = new JobManager({
      clock,
      random: random.fork(),
      fold,
      writer,
      chooser,
      kvMigrator: options.kvMigrator,
      // KV cache size of a mid-size model.
      planner: new HandoverPlanner({
        kvBytesPerToken: 131_072,
        kvBytesPerS,
        kvImportMs: 200,
        transferQueue: options.kvTransferQueue,
      }),
      log: events,
      daemon,
      incarnation,
      policyFor,
      checkpointIntervalFactor: () => (options.log.budget.isThrottled ? 4 : 1),
      newId,
      isOwner,
    });
    fold.subscribe((jobId) => {
      const job = fold.job(jobId);
      // A replay also contains jobs that other incarnations completed.
      if (job?.status !== JobStatus.Done) return;
      if (job.daemon === daemon && job.incarnation === incarnation) options.onDone(job);
    });
    void this.ready.then(() => {
      this.manager.start();
    });
  }

  override get ready(): Promise<void> {
    return this.#stream.replica.ready;
  }

  jobs(): readonly Job[] {
    return this.#stream.fold.jobs();
  }

  override async stop(deadlineAtMs: number): Promise<void> {
    await this.manager.stop(deadlineAtMs);
    await this.#stream.close();
  }
}

function hasEnded(job: Job | undefined): boolean {
  return job?.status !== JobStatus.Active;
}

function jobInfo(job: Job | undefined): JobInfo | null {
  if (!job) return null;
  const { jobId, workspace, service, status, fence, daemon, acceptedAtMs, deadlineAtMs } = job;
  return {
    jobId,
    workspace,
    service,
    status,
    fence,
    daemon,
    acceptedAtMs,
    deadlineAtMs,
    recordedTokens: job.recordedTokens,
    lengthChars: job.text.length,
    finishReason: job.finishReason,
    cancellation: job.cancellation,
  };
}
