import { beforeEach, describe, expect, it } from 'vitest';
import {
  DutyClient,
  DutyUnansweredError,
  type UsageReport,
} from '../../src/capacity/duty-client.js';
import { DutyLease } from '../../src/capacity/duty-lease.js';
import { UsageCounter } from '../../src/capacity/usage-counter.js';
import { UsageReporter } from '../../src/capacity/usage-reporter.js';
import { Random, VirtualClock } from '../../src/core/index.js';
import { KeyedReplica } from '../../src/log/keyed-replica.js';
import { DaemonSamples } from '../../src/membership/daemon-samples.js';
import { MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { NullEventLog } from '../../src/telemetry/index.js';

const windowMs = 5_000;

/** Takes reports as the platform does; `isMute` takes them without an answer. */
class RecordedDuties extends DutyClient {
  readonly reports: UsageReport[] = [];
  isMute = false;

  override async reportUsage(report: UsageReport): Promise<void> {
    this.reports.push(report);
    if (this.isMute) throw new DutyUnansweredError('no answer', 'test');
  }

  override async orderEndpoints(): Promise<void> {
    // Intentionally empty.
  }
}

interface TestReporter {
  readonly counter: UsageCounter;
  readonly lease: DutyLease;
  stop(): void;
}

describe('UsageReporter', () => {
  let clock: VirtualClock;
  let log: MemoryKeyedLog;
  let duties: RecordedDuties;

  function start(daemon: string): TestReporter {
    const events = new NullEventLog();
    const replicas = ['daemons', 'duties'].map(
      (topic) =>
        new KeyedReplica({
          log,
          topic,
          clock,
          random: new Random(1),
          events,
          waitMs: 0,
          minGapMs: 100,
        }),
    );
    for (const replica of replicas) replica.start();
    const [daemonsReplica, dutiesReplica] = replicas as [KeyedReplica, KeyedReplica];
    const counter = new UsageCounter(windowMs);
    const samples = new DaemonSamples({
      log,
      topic: 'daemons',
      replica: daemonsReplica,
      daemon,
      incarnation: 1,
      clock,
      events,
      content: () => ({
        granted: {},
        inFlight: {},
        prefillTokensPerS: {},
        newsAddress: '',
        usage: counter.windows(),
      }),
    });
    samples.start();
    const shared = { log, topic: 'duties', samples, daemon, clock, events };
    const lease = new DutyLease({
      ...shared,
      replica: dutiesReplica,
      incarnation: 1,
      leaseMs: 3_000,
      wallNowMs: () => clock.nowMs(),
    });
    const reporter = new UsageReporter({
      ...shared,
      counter,
      lease,
      replica: dutiesReplica,
      duties,
      dueMs: 10_000,
    });
    const stopTicking = clock.every(500, () => {
      void lease.tick().then(() => reporter.tick());
    });
    return {
      counter,
      lease,
      stop: () => {
        stopTicking();
        void samples.leave();
        for (const replica of replicas) replica.stop();
      },
    };
  }

  beforeEach(() => {
    clock = new VirtualClock(1_000_000);
    log = new MemoryKeyedLog();
    duties = new RecordedDuties();
  });

  const countsOf = (window: number): unknown[] =>
    duties.reports.filter((report) => report.window === window).map(({ counts }) => counts);

  it('reports each window once with the counts of all daemons', async () => {
    const a = start('a');
    const b = start('b');
    await clock.advance(2_000);
    const window = a.counter.windowOf(clock.nowMs());
    a.counter.count('tenders', clock.nowMs());
    b.counter.count('tenders', clock.nowMs());
    b.counter.count('terms', clock.nowMs());
    await clock.advance(15_000);
    expect(countsOf(window)).toEqual([{ tenders: 2, terms: 1 }]);
  });

  it('never sends other counts for a window whose answer was lost, whoever holds the duties', async () => {
    const a = start('a');
    await clock.advance(2_000);
    const window = a.counter.windowOf(clock.nowMs());
    a.counter.count('tenders', clock.nowMs());
    const b = start('b');
    await clock.advance(3_500);
    duties.isMute = true;
    await clock.advance(3_000);
    a.counter.count('tenders', window * windowMs);
    a.stop();
    duties.isMute = false;
    await clock.advance(15_000);
    const sent = countsOf(window);
    expect(sent.length).toBeGreaterThan(1);
    for (const counts of sent) expect(counts).toEqual(sent[0]);
    b.stop();
  });
});
