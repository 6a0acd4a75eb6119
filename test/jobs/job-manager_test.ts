import { describe, expect, it } from 'vitest';
import { FakeChooser } from '../../bench/histories/fake-chooser.js';
import { FakeEndpoint, FakeEndpointState } from '../../bench/histories/fake-engine.js';
import { ProcessLogService, SimulatedProcess } from '../../bench/histories/process.js';
import { ReplicaWriter } from '../../bench/histories/replica-writer.js';
import { Outcome, Random, VirtualClock, WorkClass, countingIds } from '../../src/core/index.js';
import { EngineError, EngineFailure } from '../../src/engine/index.js';
import { AnswerAssembler, HandoverPlanner, JobManager, KvMigrator } from '../../src/jobs/index.js';
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

class SlowKvMigrator extends KvMigrator {
  constructor(readonly clock: VirtualClock) {
    super();
  }

  override async migrate(): Promise<string> {
    await this.clock.sleepUntil(this.clock.nowMs() + 12_000);
    return 'kv';
  }
}

class JobManagerFixture {
  readonly clock = new VirtualClock();
  readonly log = new MemoryLogService({ clock: this.clock });
  /** Called when an endpoint begins a generation; throws when the endpoint ends under it. */
  onStart: () => void = () => undefined;
  readonly endpoints = ['a', 'b', 'c'].map(
    (id) =>
      new FakeEndpoint({
        clock: this.clock,
        silenceReportMs: 500,
        id,
        failureDomain: `domain-${id}`,
        tokenGapMs: 50,
        onStart: () => {
          this.onStart();
        },
      }),
  );

  startDaemon(
    name: string,
    kvMigrator?: KvMigrator,
  ): {
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
      planner: new HandoverPlanner({ kvBytesPerToken: 1, kvBytesPerS: 1_000, kvImportMs: 1 }),
      ...(kvMigrator && { kvMigrator }),
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

  findBusyEndpoint(): FakeEndpoint | undefined {
    return this.endpoints.find(({ streams }) => streams.size > 0);
  }
}

function expectedText(tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => `q:${index} `).join('');
}

describe('JobManager', () => {
  it('streams only recorded text and ends with a digest of the complete answer', async () => {
    const fixture = new JobManagerFixture();
    const { manager, chooser } = fixture.startDaemon('d1');
    const jobId = await fixture.submit(manager, 50);
    const assembler = new AnswerAssembler(jobId);
    const reading = (async (): Promise<void> => {
      for await (const frame of manager.read(jobId, 0, new AbortController().signal)) {
        assembler.accept(frame);
      }
    })();
    await fixture.clock.advance(1_500);
    expect(assembler.text).not.toBe('');
    expect(assembler.isComplete).toBe(false);
    await fixture.clock.advance(5_000);
    await reading;
    expect(assembler.text).toBe(expectedText(50));
    expect(assembler.isComplete).toBe(true);
    expect(chooser.open).toBe(0);
  });

  it('does not end one endpoint after the other under a job that crashes them, and finishes it later', async () => {
    const fixture = new JobManagerFixture();
    let crashes = 0;
    fixture.onStart = () => {
      crashes += 1;
      throw new EngineError('the connection broke', {
        peer: 'engine',
        failure: EngineFailure.Broken,
        outcome: Outcome.Unknown,
      });
    };
    const { manager } = fixture.startDaemon('d1');
    const jobId = await fixture.submit(manager, 20);
    await fixture.clock.advance(60_000);
    // Five endpoints, and three more, are what users accept.
    expect(crashes).toBeLessThanOrEqual(8);
    fixture.onStart = () => undefined;
    await fixture.clock.advance(120_000);
    expect(manager.get(jobId)).toMatchObject({ status: JobStatus.Done, text: expectedText(20) });
  });

  it('continues on another endpoint when one is lost or stops responding', async () => {
    const fixture = new JobManagerFixture();
    const { manager } = fixture.startDaemon('d1');
    const jobId = await fixture.submit(manager, 200);
    await fixture.clock.advance(2_000);
    fixture.findBusyEndpoint()!.state = FakeEndpointState.Lost;
    await fixture.clock.advance(2_000);
    fixture.findBusyEndpoint()!.silence();
    await fixture.clock.advance(30_000);
    expect(manager.get(jobId)).toMatchObject({ status: JobStatus.Done, text: expectedText(200) });
  });

  // Each silence of the only endpoint ended the generation, and its prompt was computed anew.
  it('waits for a silent endpoint that no other one can replace', async () => {
    const fixture = new JobManagerFixture();
    const { manager, chooser } = fixture.startDaemon('d1');
    const jobId = await fixture.submit(manager, 200);
    await fixture.clock.advance(1_000);
    const busy = fixture.findBusyEndpoint()!;
    for (const endpoint of fixture.endpoints) endpoint.isChoosable = endpoint === busy;
    busy.silence();
    await fixture.clock.advance(5_000);
    for (const stream of busy.streams) stream.isSilent = false;
    await fixture.clock.advance(20_000);
    expect(manager.get(jobId)).toMatchObject({ status: JobStatus.Done, text: expectedText(200) });
    expect(busy).toMatchObject({ starts: 1, generatedTokens: 200 });
    expect(chooser.open).toBe(0);
  });

  it('moves a job off a silent endpoint as soon as its silence is reported', async () => {
    const fixture = new JobManagerFixture();
    const { manager, chooser } = fixture.startDaemon('d1');
    const jobId = await fixture.submit(manager, 200);
    await fixture.clock.advance(1_000);
    const silent = fixture.findBusyEndpoint()!;
    silent.silence();
    await fixture.clock.advance(4_000);
    expect(silent.streams.size).toBe(0);
    expect(fixture.findBusyEndpoint()).toBeDefined();
    await fixture.clock.advance(20_000);
    expect(manager.get(jobId)).toMatchObject({ status: JobStatus.Done, text: expectedText(200) });
    expect(chooser.open).toBe(0);
  });

  it('moves a job to another endpoint before a reclaim and recomputes no recorded token', async () => {
    const fixture = new JobManagerFixture();
    const { manager } = fixture.startDaemon('d1');
    const jobId = await fixture.submit(manager, 200);
    await fixture.clock.advance(1_000);
    const leaving = fixture.findBusyEndpoint()!;
    const deadlineAtMs = fixture.clock.nowMs() + 5_000;
    manager.reclaim({ endpointIds: [leaving.options.id], deadlineAtMs });
    await fixture.clock.advance(1_000);
    expect(leaving.streams.size).toBe(0);
    leaving.state = FakeEndpointState.Lost;
    await fixture.clock.advance(20_000);
    expect(manager.get(jobId)?.text).toBe(expectedText(200));
    const generated = fixture.endpoints.reduce(
      (sum, { generatedTokens }) => sum + generatedTokens,
      0,
    );
    expect(generated).toBe(200);
  });

  it('renews its lease during a KV migration (else another daemon recomputes the text)', async () => {
    const fixture = new JobManagerFixture();
    const migrator = new SlowKvMigrator(fixture.clock);
    const first = fixture.startDaemon('d1', migrator);
    fixture.startDaemon('d2', migrator);
    const jobId = await fixture.submit(first.manager, 1_000);
    await fixture.clock.advance(3_000);
    const leaving = fixture.findBusyEndpoint()!;
    const deadlineAtMs = fixture.clock.nowMs() + 20_000;
    first.manager.reclaim({ endpointIds: [leaving.options.id], deadlineAtMs });
    await fixture.clock.advance(14_000);
    expect(first.fold.job(jobId)?.daemon).toBe('d1');
    const prefilled = fixture.endpoints.reduce(
      (sum, endpoint) => sum + endpoint.prefilledTokens,
      0,
    );
    // The only prefilled token is the prompt `q` of the first generation.
    expect(prefilled).toBe(1);
  });

  it('continues a job from its last recorded text after its daemon has crashed', async () => {
    const fixture = new JobManagerFixture();
    const first = fixture.startDaemon('d1');
    const second = fixture.startDaemon('d2');
    const jobId = await fixture.submit(first.manager, 200);
    await fixture.clock.advance(3_000);
    first.process.crash();
    await fixture.clock.advance(30_000);
    expect(second.manager.get(jobId)).toMatchObject({ daemon: 'd2', text: expectedText(200) });
  });

  it('ignores a daemon that resumes after its lease has expired (else two texts are mixed)', async () => {
    const fixture = new JobManagerFixture();
    const first = fixture.startDaemon('d1');
    const second = fixture.startDaemon('d2');
    const jobId = await fixture.submit(first.manager, 400);
    await fixture.clock.advance(3_000);
    first.process.pause();
    await fixture.clock.advance(15_000);
    first.process.resume();
    await fixture.clock.advance(30_000);
    expect(second.manager.get(jobId)).toMatchObject({
      status: JobStatus.Done,
      text: expectedText(400),
    });
    expect(first.manager.runningCount).toBe(0);
  });

  it('ends a job with complete text after a crash (else it generates one token too many)', async () => {
    const fixture = new JobManagerFixture();
    const first = fixture.startDaemon('d1');
    const second = fixture.startDaemon('d2');
    const jobId = await fixture.submit(first.manager, 16);
    while (first.fold.job(jobId)!.recordedTokens < 16) await fixture.clock.advance(1);
    first.process.crash();
    await fixture.clock.advance(30_000);
    expect(second.manager.get(jobId)).toMatchObject({
      status: JobStatus.Done,
      text: expectedText(16),
    });
  });

  it('hands its jobs over when it stops, before their leases expire', async () => {
    const fixture = new JobManagerFixture();
    const first = fixture.startDaemon('d1');
    const second = fixture.startDaemon('d2');
    const jobId = await fixture.submit(first.manager, 200);
    await fixture.clock.advance(3_000);
    const stopped = first.manager.stop(fixture.clock.nowMs() + 5_000);
    await fixture.clock.advance(2_500);
    await stopped;
    expect(second.manager.get(jobId)?.daemon).toBe('d2');
    await fixture.clock.advance(20_000);
    expect(second.manager.get(jobId)?.text).toBe(expectedText(200));
  });

  it('cancels a job, and reports unknown when an acceptance may be recorded', async () => {
    const fixture = new JobManagerFixture();
    const { manager } = fixture.startDaemon('d1');
    const jobId = await fixture.submit(manager, 1_000);
    const cancelled = manager.cancel(jobId);
    await fixture.clock.advance(200);
    expect((await cancelled)?.status).toBe(JobStatus.Cancelled);
    expect(fixture.findBusyEndpoint()).toBeUndefined();
    fixture.log.faults = new LostRequests();
    const accepted = fixture.submit(manager, 10).catch((error: unknown) => error);
    await fixture.clock.advance(6_000);
    expect(await accepted).toMatchObject({ code: 'acceptance_unknown', outcome: 'unknown' });
  });
});
