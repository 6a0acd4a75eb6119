import { describe, expect, it } from 'vitest';
import { ReplicaWriter } from '../../bench/histories/replica-writer.js';
import {
  BackEndCallError,
  BackEndCaller,
  ClaimCoordinator,
  ClaimExecutor,
  OutcomeRecorder,
  keyTimeMs,
  type BackEndAnswer,
  type BackEndCallOptions,
  type BackEndRequest,
  type NonRepeatableCall,
} from '../../src/calls/index.js';
import { Random, RequestError, VirtualClock, countingIds } from '../../src/core/index.js';
import { LogFault, LogFaultSource, MemoryLogService } from '../../src/standins/index.js';
import {
  ClaimFold,
  EntryKind,
  EntryPriority,
  ResolutionVerdict,
  type RawEntry,
} from '../../src/state/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';

class FakeCaller extends BackEndCaller {
  runs = 0;
  connectMs = 0;
  answerMs = 10;
  fault: 'none' | 'connect' | 'broken' | 'silent' = 'none';

  constructor(readonly clock: VirtualClock) {
    super();
  }

  override async call(
    request: BackEndRequest,
    { tryStart }: BackEndCallOptions,
  ): Promise<BackEndAnswer> {
    await this.clock.sleepUntil(this.clock.nowMs() + this.connectMs);
    if (this.fault === 'connect') throw new BackEndCallError('refused', 'fake');
    if (!tryStart()) throw new BackEndCallError('not started', 'fake');
    this.runs += 1;
    if (this.fault === 'silent') return new Promise(() => undefined);
    await this.clock.sleepUntil(this.clock.nowMs() + this.answerMs);
    if (this.fault === 'broken') throw new BackEndCallError('reset', 'fake');
    return { status: 201, headers: {}, body: request.body };
  }
}

class FixedFaults extends LogFaultSource {
  constructor(readonly fault: LogFault) {
    super();
  }

  override onAppend(): { fault: LogFault; delayMs: number } {
    return { fault: this.fault, delayMs: 5 };
  }

  override onRead(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.None, delayMs: 5 };
  }
}

interface CoordinatorFixture {
  readonly clock: VirtualClock;
  readonly log: MemoryLogService;
  readonly caller: FakeCaller;
  readonly writer: ReplicaWriter;
  handle(call?: Partial<NonRepeatableCall>): Promise<string>;
}

function createFixture(): CoordinatorFixture {
  const clock = new VirtualClock();
  const log = new MemoryLogService({ clock });
  const fold = new ClaimFold();
  const newId = countingIds('id');
  const writer = new ReplicaWriter({ clock, log, stream: 's', daemon: 'd', newId, folds: [fold] });
  void writer.start();
  const eventLog = new NullEventLog();
  const recorder = new OutcomeRecorder({ clock, random: new Random(1), writer, log: eventLog });
  const executor = new ClaimExecutor({ clock, fold, recorder, log: eventLog });
  const coordinator = new ClaimCoordinator({
    clock,
    fold,
    writer,
    executor,
    recorder,
    daemon: 'd',
    newId,
  });
  const caller = new FakeCaller(clock);
  const handle = (call: Partial<NonRepeatableCall> = {}): Promise<string> =>
    coordinator
      .handle({
        workspace: 'tejidos',
        service: 'orders',
        idempotencyKey: 'key',
        request: { method: 'POST', path: '/confirm', headers: {}, body: Buffer.from('order 1') },
        deadlineAtMs: clock.nowMs() + 3_000,
        rememberMs: 60_000,
        fingerprintMs: 120_000,
        caller,
        ...call,
      })
      .then(
        ({ status, isReplayed, isRecorded }) =>
          `${status}${isReplayed ? ' replayed' : ''}${isRecorded ? '' : ' unrecorded'}`,
        (error: unknown) =>
          error instanceof RequestError ? `${error.code} ${error.outcome}` : String(error),
      );
  return { clock, log, caller, writer, handle };
}

describe('ClaimCoordinator', () => {
  it('runs two concurrent calls with the same key once (else an order is confirmed twice)', async () => {
    const fixture = createFixture();
    const answers = Promise.all([fixture.handle(), fixture.handle()]);
    await fixture.clock.advance(5_000);
    expect((await answers).sort()).toEqual(['201', '201 replayed']);
    expect(fixture.caller.runs).toBe(1);
  });

  it('releases the key when the connection is refused, so that the repeat runs', async () => {
    const fixture = createFixture();
    fixture.caller.fault = 'connect';
    const first = fixture.handle();
    await fixture.clock.advance(500);
    expect(await first).toBe('not_claimed not_run');
    fixture.caller.fault = 'none';
    const second = fixture.handle();
    await fixture.clock.advance(500);
    expect(await second).toBe('201');
  });

  it('returns the answer of the status route for an unknown call, and never runs it again', async () => {
    const fixture = createFixture();
    fixture.caller.fault = 'broken';
    const first = fixture.handle();
    await fixture.clock.advance(6_000);
    expect(await first).toBe('outcome_unknown unknown');
    const undecided = fixture.handle({ queryStatus: () => Promise.resolve(undefined) });
    await fixture.clock.advance(500);
    expect(await undecided).toBe('outcome_unknown unknown');
    const statusAnswer = { status: 200, headers: {}, body: Buffer.from('confirmed') };
    const asked = fixture.handle({ queryStatus: () => Promise.resolve(statusAnswer) });
    await fixture.clock.advance(500);
    expect(await asked).toBe('200 replayed unrecorded');
    const later = fixture.handle();
    await fixture.clock.advance(500);
    expect(await later).toBe('200 replayed');
    expect(fixture.caller.runs).toBe(1);
  });

  it('reports a call as unknown until an operator resolves it', async () => {
    const fixture = createFixture();
    fixture.caller.fault = 'broken';
    const first = fixture.handle();
    await fixture.clock.advance(6_000);
    expect(await first).toBe('outcome_unknown unknown');
    expect(await fixture.handle()).toBe('outcome_unknown unknown');
    expect(fixture.caller.runs).toBe(1);
    const resolution: RawEntry = {
      kind: EntryKind.Resolution,
      claimId: 'id-1',
      verdict: ResolutionVerdict.NotRun,
      note: 'no truck',
      operator: 'ana',
      resolvedAtMs: fixture.clock.nowMs(),
    };
    const options = { deadlineAtMs: fixture.clock.nowMs() + 1_000, priority: EntryPriority.High };
    const resolved = fixture.writer.append(resolution, options);
    await fixture.clock.advance(100);
    await resolved;
    fixture.caller.fault = 'none';
    const second = fixture.handle();
    await fixture.clock.advance(500);
    expect(await second).toBe('201');
  });

  it('reports a call as unknown at the deadline when the back end does not answer', async () => {
    const fixture = createFixture();
    fixture.caller.fault = 'silent';
    const answer = fixture.handle();
    await fixture.clock.advance(3_100);
    expect(await answer).toBe('outcome_unknown unknown');
  });

  it('does not start a call after startByMs (else a paused daemon runs it late)', async () => {
    const fixture = createFixture();
    fixture.caller.connectMs = 6_000;
    const answer = fixture.handle({ deadlineAtMs: fixture.clock.nowMs() + 20_000 });
    await fixture.clock.advance(21_000);
    expect(await answer).toBe('not_claimed not_run');
    expect(fixture.caller.runs).toBe(0);
  });

  it('refuses with not_run while the log is unavailable, and releases the key afterwards', async () => {
    const fixture = createFixture();
    fixture.log.faults = new FixedFaults(LogFault.RequestLost);
    const first = fixture.handle();
    await fixture.clock.advance(6_000);
    expect(await first).toBe('not_claimed not_run');
    fixture.log.faults = new FixedFaults(LogFault.Duplicated);
    await fixture.clock.advance(10_000);
    const second = fixture.handle();
    await fixture.clock.advance(500);
    expect(await second).toBe('201');
    expect(fixture.caller.runs).toBe(1);
  });

  it('refuses a key with another body, a missing key and an expired key', async () => {
    const fixture = createFixture();
    void fixture.handle();
    await fixture.clock.advance(500);
    const request = { method: 'POST', path: '/confirm', headers: {}, body: Buffer.from('2') };
    expect(await fixture.handle({ request })).toBe('key_reused not_run');
    expect(await fixture.handle({ idempotencyKey: '' })).toBe('idempotency_key_missing not_run');
    const old = '00000000-0001-7000-8000-000000000000';
    expect(keyTimeMs(old)).toBe(1);
    expect(await fixture.handle({ idempotencyKey: old })).toBe('key_expired unknown');
    expect(keyTimeMs('01ARZ3NDEKTSV4RRFFQ69G5FAV')).toBe(1_469_922_850_259);
  });
});
