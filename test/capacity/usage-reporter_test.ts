import { beforeEach, describe, expect, it } from 'vitest';
import { DutyClient, DutyCallError, type UsageReport } from '../../src/capacity/duty-client.js';
import type { UsageCounter } from '../../src/capacity/usage-counter.js';
import { UsageReporter } from '../../src/capacity/usage-reporter.js';
import { VirtualClock } from '../../src/core/index.js';
import { MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import { DutyFixture, windowMs } from './duty-fixture.js';

/** Records reports as the platform does; with `losesAnswers` the response to each one is lost. */
class RecordingDutyClient extends DutyClient {
  readonly reports: UsageReport[] = [];
  losesAnswers = false;

  override async reportUsage(report: UsageReport): Promise<void> {
    this.reports.push(report);
    if (this.losesAnswers) throw new DutyCallError('no response', 'test');
  }

  override async orderEndpoints(): Promise<void> {
    // Intentionally empty.
  }
}

interface TestReporter {
  readonly counter: UsageCounter;
  stop(): void;
}

describe('UsageReporter', () => {
  let clock: VirtualClock;
  let log: MemoryKeyedLog;
  let duties: RecordingDutyClient;

  function start(daemon: string, incarnation = 1): TestReporter {
    const parts = new DutyFixture({ daemon, incarnation, log, clock });
    const { counter, lease, samples, replica } = parts;
    const reporter = new UsageReporter({
      counter,
      lease,
      samples,
      replica,
      duties,
      daemon,
      clock,
      events: new NullEventLog(),
      dueMs: 10_000,
    });
    const stopTicking = clock.every(500, () => {
      void lease.tick().then(() => reporter.tick());
    });
    return {
      counter,
      stop: () => {
        stopTicking();
        parts.stop();
      },
    };
  }

  beforeEach(() => {
    clock = new VirtualClock(1_000_000);
    log = new MemoryKeyedLog();
    duties = new RecordingDutyClient();
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

  it('keeps the counts of a daemon from before a crash and restart', async () => {
    const a = start('a');
    const b = start('b');
    await clock.advance(2_000);
    const window = a.counter.windowOf(clock.nowMs());
    b.counter.count('tenders', clock.nowMs());
    await clock.advance(1_500);
    b.stop();
    const restarted = start('b', 2);
    await clock.advance(100);
    restarted.counter.count('tenders', clock.nowMs());
    await clock.advance(15_000);
    expect(countsOf(window)).toEqual([{ tenders: 2 }]);
    a.stop();
  });

  it('never sends different counts for a window after a lost response, also after a change of holder', async () => {
    const a = start('a');
    await clock.advance(2_000);
    const window = a.counter.windowOf(clock.nowMs());
    a.counter.count('tenders', clock.nowMs());
    const b = start('b');
    await clock.advance(3_500);
    duties.losesAnswers = true;
    await clock.advance(3_000);
    a.counter.count('tenders', window * windowMs);
    a.stop();
    duties.losesAnswers = false;
    await clock.advance(15_000);
    const sent = countsOf(window);
    expect(sent.length).toBeGreaterThan(1);
    for (const counts of sent) expect(counts).toEqual(sent[0]);
    b.stop();
  });
});
