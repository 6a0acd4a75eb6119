import { describe, expect, it } from 'vitest';
import { FakeChooser } from '../../bench/histories/fake-chooser.js';
import { FakeEndpoint, FakeEndpointState } from '../../bench/histories/fake-engine.js';
import { ProcessLogService, SimulatedProcess } from '../../bench/histories/process.js';
import { ReplicaWriter } from '../../bench/histories/replica-writer.js';
import { Random, VirtualClock, WorkClass, countingIds } from '../../src/core/index.js';
import { AnswerAssembler, HandoverPlanner, JobManager } from '../../src/jobs/index.js';
import { LogFault, LogFaultSource, MemoryLogService } from '../../src/standins/index.js';
import { JobFold, JobStatus } from '../../src/state/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';

class LostRequests extends LogFaultSource {
  override onAppend(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.RequestLost, delayMs: 0 };
  }

  override onRead(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.None, delayMs: 5 };
  }
}

class World {
  readonly clock = new VirtualClock();
  readonly log = new MemoryLogService({ clock: this.clock });
  readonly endpoints = ['a', 'b', 'c'].map(
    (id) =>
      new FakeEndpoint({ clock: this.clock, id, failureDomain: `domain-${id}`, tokenGapMs: 50 }),
  );

  daemon(name: string): {
    manager: JobManager;
    process: SimulatedProcess;
    fold: JobFold;
    chooser: FakeChooser;
  } {
    const process = new SimulatedProcess(this.clock);
    const fold = new JobFold();
    const writer = new ReplicaWriter({
      clock: process,
      log: new ProcessLogService(this.log, process),
      stream: 'jobs',
      daemon: name,
      newId: countingIds(name),
      folds: [fold],
    });
    void writer.start();
    const random = new Random(1);
    const chooser = new FakeChooser(this.endpoints, process, random);
    const manager = new JobManager({
      clock: process,
      random,
      fold,
      writer,
      chooser,
      planner: new HandoverPlanner({ kvBytesPerToken: 1, kvBytesPerS: 1, kvImportMs: 1 }),
      log: new NullEventLog(),
      daemon: name,
      incarnation: 1,
      policyFor: () => ({ checkpointTokens: 16, checkpointMs: 500 }),
      newId: countingIds(`job-${name}`),
    });
    manager.start();
    return { manager, process, fold, chooser };
  }

  /** Submits a job of `maxTokens` and returns its id. */
  async submit(manager: JobManager, maxTokens: number): Promise<string> {
    const accepted = manager.accept({
      workspace: 'tejidos',
      service: 'tenders',
      request: {
        model: 'm',
        messages: [{ role: 'user', content: 'q' }],
        maxTokens,
        passThrough: {},
      },
      workClass: WorkClass.Long,
      deadlineAtMs: this.clock.nowMs() + 60_000,
      rememberMs: 60_000,
    });
    await this.clock.advance(200);
    return accepted;
  }

  busy(): FakeEndpoint | undefined {
    return this.endpoints.find(({ streams }) => streams.size > 0);
  }
}

function whole(tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => `q:${index} `).join('');
}

describe('JobManager', () => {
  it('streams only recorded text and ends with a digest of the whole answer', async () => {
    const world = new World();
    const { manager, chooser } = world.daemon('d1');
    const jobId = await world.submit(manager, 50);
    const assembler = new AnswerAssembler(jobId);
    const reading = (async (): Promise<void> => {
      for await (const frame of manager.read(jobId, 0, new AbortController().signal)) {
        assembler.accept(frame);
      }
    })();
    await world.clock.advance(1_500);
    expect(assembler.text).not.toBe('');
    expect(assembler.isComplete).toBe(false);
    await world.clock.advance(5_000);
    await reading;
    expect(assembler.text).toBe(whole(50));
    expect(assembler.isComplete).toBe(true);
    expect(chooser.open).toBe(0);
  });

  it('continues on another endpoint when one is lost or goes silent', async () => {
    const world = new World();
    const { manager } = world.daemon('d1');
    const jobId = await world.submit(manager, 200);
    await world.clock.advance(2_000);
    world.busy()!.state = FakeEndpointState.Lost;
    await world.clock.advance(2_000);
    world.busy()!.silence();
    await world.clock.advance(30_000);
    expect(manager.get(jobId)).toMatchObject({ status: JobStatus.Done, text: whole(200) });
  });

  it('moves a job before a reclaim and recomputes no recorded token', async () => {
    const world = new World();
    const { manager } = world.daemon('d1');
    const jobId = await world.submit(manager, 200);
    await world.clock.advance(1_000);
    const leaving = world.busy()!;
    const deadlineAtMs = world.clock.nowMs() + 5_000;
    manager.reclaim({ endpointIds: [leaving.options.id], deadlineAtMs });
    await world.clock.advance(1_000);
    expect(leaving.streams.size).toBe(0);
    leaving.state = FakeEndpointState.Lost;
    await world.clock.advance(20_000);
    expect(manager.get(jobId)?.text).toBe(whole(200));
    const generated = world.endpoints.reduce(
      (sum, { generatedTokens }) => sum + generatedTokens,
      0,
    );
    expect(generated).toBe(200);
  });

  it('is taken over after a crash, from the last recorded text', async () => {
    const world = new World();
    const first = world.daemon('d1');
    const second = world.daemon('d2');
    const jobId = await world.submit(first.manager, 200);
    await world.clock.advance(3_000);
    first.process.crash();
    await world.clock.advance(30_000);
    expect(second.manager.get(jobId)).toMatchObject({ daemon: 'd2', text: whole(200) });
  });

  it('ignores a daemon that wakes up after its lease, against two texts mixed', async () => {
    const world = new World();
    const first = world.daemon('d1');
    const second = world.daemon('d2');
    const jobId = await world.submit(first.manager, 400);
    await world.clock.advance(3_000);
    first.process.pause();
    await world.clock.advance(15_000);
    first.process.resume();
    await world.clock.advance(30_000);
    expect(second.manager.get(jobId)).toMatchObject({ status: JobStatus.Done, text: whole(400) });
    expect(first.manager.runningCount).toBe(0);
  });

  it('ends a job whose text is whole, against one token too many after a crash', async () => {
    const world = new World();
    const first = world.daemon('d1');
    const second = world.daemon('d2');
    const jobId = await world.submit(first.manager, 16);
    while (first.fold.job(jobId)!.recordedTokens < 16) await world.clock.advance(1);
    first.process.crash();
    await world.clock.advance(30_000);
    expect(second.manager.get(jobId)).toMatchObject({ status: JobStatus.Done, text: whole(16) });
  });

  it('hands its jobs over on a stop, without waiting for the lease to expire', async () => {
    const world = new World();
    const first = world.daemon('d1');
    const second = world.daemon('d2');
    const jobId = await world.submit(first.manager, 200);
    await world.clock.advance(3_000);
    const stopped = first.manager.stop(world.clock.nowMs() + 5_000);
    await world.clock.advance(2_500);
    await stopped;
    expect(second.manager.get(jobId)?.daemon).toBe('d2');
    await world.clock.advance(20_000);
    expect(second.manager.get(jobId)?.text).toBe(whole(200));
  });

  it('cancels, and says unknown when an acceptance may be recorded', async () => {
    const world = new World();
    const { manager } = world.daemon('d1');
    const jobId = await world.submit(manager, 1_000);
    const cancelled = manager.cancel(jobId);
    await world.clock.advance(200);
    expect((await cancelled)?.status).toBe(JobStatus.Cancelled);
    expect(world.busy()).toBeUndefined();
    world.log.faults = new LostRequests();
    const accepted = world.submit(manager, 10).catch((error: unknown) => error);
    await world.clock.advance(6_000);
    expect(await accepted).toMatchObject({ code: 'acceptance_unknown', outcome: 'unknown' });
  });
});
