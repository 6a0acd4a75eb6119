import { quantile } from 'simple-statistics';
import { Random, VirtualClock, WorkClass, countingIds } from '../src/core/index.js';
import {
  HandoverPlanner,
  JobManager,
  KvMigrator,
  type KvMigration,
  type ReclaimNotice,
} from '../src/jobs/index.js';
import { MemoryLogService } from '../src/standins/index.js';
import { JobFold, JobStatus } from '../src/state/index.js';
import { NullEventLog } from '../src/telemetry/index.js';
import { FakeChooser } from './histories/fake-chooser.js';
import { FakeEndpoint, FakeEndpointState } from './histories/fake-engine.js';
import { ProcessLogService, SimulatedProcess } from './histories/process.js';
import { ReplicaWriter } from './histories/replica-writer.js';
import { BenchSuite, type BenchRow } from './suite.js';

const jobCount = 24;
const jobTokens = 1_200;
const promptTokens = 2_000;
const tokenGapMs = 50;
/** The loss strikes when half of each answer is generated. */
const lossAtMs = (jobTokens * tokenGapMs) / 2;
/** Target of the design page for recomputed tokens under reclaims. */
const reclaimTarget = { limit: 0.3, isUpperBound: true };
const domains = ['a', 'b', 'c'];

/** KV moves that share one link, one after another; a move that ends after its deadline fails. */
class SharedLinkMigrator extends KvMigrator {
  readonly #clock: VirtualClock;
  readonly #moveMs: number;
  #freeAtMs = 0;

  constructor(clock: VirtualClock, moveMs: number) {
    super();
    this.#clock = clock;
    this.#moveMs = moveMs;
  }

  override async migrate({ deadlineAtMs }: KvMigration): Promise<string | undefined> {
    const endAtMs = Math.max(this.#freeAtMs, this.#clock.nowMs()) + this.#moveMs;
    if (endAtMs > deadlineAtMs) return undefined;
    this.#freeAtMs = endAtMs;
    await this.#clock.sleepUntil(endAtMs);
    return 'kv';
  }
}

interface Scenario {
  /** Milliseconds of notice; undefined for a loss without one. */
  readonly noticeMs: number | undefined;
  /** Whether the daemon that runs the jobs is lost with the failure domain. */
  readonly losesDaemon: boolean;
  /** Whether the engines of the region can export KV caches. */
  readonly hasKvExport: boolean;
}

interface Result {
  /** Milliseconds from the strike to the first text of the next generation, per affected job. */
  readonly recoveryMs: readonly number[];
  /** Tokens prefilled or decoded again, over those of restarting the affected jobs. */
  readonly recomputedShare: number;
  /** Tokens decoded again, over those of restarting the affected jobs. */
  readonly decodedAgainShare: number;
}

/** Recovery of jobs after a failure domain is lost, in virtual time. */
export class RecoverySuite extends BenchSuite {
  override readonly name = 'recovery';

  override async run(): Promise<BenchRow[]> {
    const rows: BenchRow[] = [];
    for (const losesDaemon of [false, true]) {
      const what = losesDaemon ? 'endpoints and daemon lost' : 'endpoints lost';
      const result = await measure({ noticeMs: undefined, losesDaemon, hasKvExport: false });
      for (const share of [0.5, 0.99]) {
        const value = quantile([...result.recoveryMs], share);
        rows.push({ name: `${what}, recovery p${share * 100}`, value, unit: 'ms (virtual)' });
      }
      rows.push(...shareRows(what, result));
    }
    for (const hasKvExport of [true, false]) {
      for (const noticeMs of [5_000, 15_000, 30_000]) {
        const what = `${noticeMs / 1_000} s notice, ${hasKvExport ? 'with' : 'no'} KV export`;
        const result = await measure({ noticeMs, losesDaemon: false, hasKvExport });
        rows.push(...shareRows(what, result, reclaimTarget));
      }
    }
    return rows;
  }
}

function shareRows(
  what: string,
  { recomputedShare, decodedAgainShare }: Result,
  target?: BenchRow['target'],
): BenchRow[] {
  const unit = 'ratio to restart';
  return [
    {
      name: `${what}, prefilled or decoded again`,
      value: recomputedShare,
      unit,
      ...(target && { target }),
    },
    { name: `${what}, decoded again`, value: decodedAgainShare, unit },
  ];
}

async function measure({ noticeMs, losesDaemon, hasKvExport }: Scenario): Promise<Result> {
  const clock = new VirtualClock();
  const log = new MemoryLogService({ clock });
  const endpoints = domains.flatMap((domain) =>
    [1, 2].map(
      (index) =>
        new FakeEndpoint({ clock, id: `${domain}${index}`, failureDomain: domain, tokenGapMs }),
    ),
  );
  const first = startDaemon(clock, log, endpoints, 'd1', hasKvExport);
  const second = startDaemon(clock, log, endpoints, 'd2', hasKvExport);
  const { fold } = second;
  const accepted = Array.from({ length: jobCount }, (_, index) =>
    accept(clock, first.manager, index),
  );
  await clock.advance(lossAtMs);
  const jobIds = await Promise.all(accepted);
  const lost = endpoints.filter(({ options }) => options.failureDomain === domains[0]);
  const lostTags = new Set(lost.flatMap(({ activeTags }) => activeTags));
  const fenceAtStrike = new Map(
    jobIds
      .map((jobId) => fold.job(jobId)!)
      .filter(({ request }) => losesDaemon || lostTags.has(request.messages[0]!.content))
      .map(({ jobId, fence }) => [jobId, fence]),
  );
  const restartTokens = [...fenceAtStrike.keys()].reduce(
    (sum, jobId) => sum + promptTokens + fold.job(jobId)!.recordedTokens,
    0,
  );
  const strikeAtMs = clock.nowMs();
  const prefilledBefore = total(endpoints, 'prefilledTokens');
  const recoveryMs = new Map<string, number>();
  const textAtFence = new Map<string, { fence: number; tokens: number }>();
  fold.subscribe((jobId) => {
    const { fence, recordedTokens: tokens } = fold.job(jobId)!;
    const seen = textAtFence.get(jobId);
    if (seen?.fence !== fence) textAtFence.set(jobId, { fence, tokens });
    const isNext = fenceAtStrike.has(jobId) && fence !== fenceAtStrike.get(jobId);
    if (!isNext || recoveryMs.has(jobId) || tokens <= (seen?.tokens ?? Infinity)) return;
    if (seen?.fence === fence) recoveryMs.set(jobId, clock.nowMs() - strikeAtMs);
  });
  const lossMs = strikeAtMs + (noticeMs ?? 0);
  if (noticeMs !== undefined) {
    const endpointIds = lost.map(({ options }) => options.id);
    const notice: ReclaimNotice = { endpointIds, deadlineAtMs: lossMs };
    for (const { manager } of [first, second]) manager.reclaim(notice);
  }
  clock.schedule(lossMs, () => {
    for (const endpoint of lost) endpoint.state = FakeEndpointState.Lost;
    if (losesDaemon) first.process.crash();
  });
  while (!jobIds.every((jobId) => fold.job(jobId)?.status === JobStatus.Done)) {
    await clock.advance(1_000);
  }
  const decodedAgain = total(endpoints, 'generatedTokens') - jobCount * jobTokens;
  const prefilledAgain = total(endpoints, 'prefilledTokens') - prefilledBefore;
  return {
    recoveryMs: [...recoveryMs.values()],
    recomputedShare: (decodedAgain + prefilledAgain) / restartTokens,
    decodedAgainShare: decodedAgain / restartTokens,
  };
}

function accept(clock: VirtualClock, manager: JobManager, index: number): Promise<string> {
  return manager.accept({
    workspace: 'bench',
    service: 'bench',
    request: {
      model: 'm',
      messages: [
        { role: 'user', content: `job-${index}` },
        { role: 'user', content: 'x'.repeat(4 * promptTokens) },
      ],
      maxTokens: jobTokens,
      passThrough: {},
    },
    workClass: WorkClass.Long,
    deadlineAtMs: clock.nowMs() + 600_000,
    rememberMs: 600_000,
  });
}

function startDaemon(
  clock: VirtualClock,
  log: MemoryLogService,
  endpoints: readonly FakeEndpoint[],
  name: string,
  hasKvExport: boolean,
): { manager: JobManager; process: SimulatedProcess; fold: JobFold } {
  const process = new SimulatedProcess(clock);
  const fold = new JobFold();
  const writer = new ReplicaWriter({
    clock: process,
    log: new ProcessLogService(log, process),
    stream: 'jobs',
    daemon: name,
    newId: countingIds(name),
    folds: [fold],
  });
  void writer.start();
  const random = new Random(1);
  // 128 KiB of KV cache per token and 200 MB/s within the region, as for a model of 7 to 8 billion
  // parameters on a shared 10 Gbit/s network.
  const planner = new HandoverPlanner({
    kvBytesPerToken: 131_072,
    kvBytesPerS: 2e8,
    kvImportMs: 500,
  });
  const manager = new JobManager({
    clock: process,
    random,
    fold,
    writer,
    chooser: new FakeChooser(endpoints, process, random),
    planner,
    ...(hasKvExport && {
      kvMigrator: new SharedLinkMigrator(
        clock,
        planner.estimateExportMs(promptTokens + jobTokens / 2),
      ),
    }),
    log: new NullEventLog(),
    daemon: name,
    incarnation: 1,
    policyFor: () => ({ checkpointTokens: 64, checkpointMs: 2_000 }),
    newId: countingIds(`job-${name}`),
  });
  manager.start();
  return { manager, process, fold };
}

function total(
  endpoints: readonly FakeEndpoint[],
  field: 'generatedTokens' | 'prefilledTokens',
): number {
  return endpoints.reduce((sum, endpoint) => sum + endpoint[field], 0);
}
