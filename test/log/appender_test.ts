import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Random } from '../../src/core/index.js';
import { AppendFailedError, EntryPriority, type Appender } from '../../src/log/index.js';
import { LogFault, LogFaultSource, SeededLogFaults } from '../../src/standins/index.js';
import { fenceOf } from '../../src/state/index.js';
import { FirstWinsFold, LogHarness, claimEntry } from './log-harness.js';

class FixedFault extends LogFaultSource {
  constructor(
    readonly append: LogFault,
    readonly read = LogFault.None,
  ) {
    super();
  }

  override onAppend(): { fault: LogFault; delayMs: number } {
    return { fault: this.append, delayMs: 0 };
  }

  override onRead(): { fault: LogFault; delayMs: number } {
    return { fault: this.read, delayMs: 0 };
  }
}

/** Returns the error of one append with a deadline of 3 s. */
async function errorOf(harness: LogHarness, appender: Appender): Promise<unknown> {
  const deadlineAtMs = harness.clock.nowMs() + 3_000;
  const error = appender
    .append(claimEntry('c'), { deadlineAtMs, priority: EntryPriority.High })
    .catch((reason: unknown) => reason);
  await harness.clock.advance(4_000);
  return error;
}

describe('Appender', () => {
  const high = EntryPriority.High;

  it('resolves after the local fold applied the entry (else a call runs before its claim has won)', async () => {
    const harness = new LogHarness();
    const replica = harness.replica(new FirstWinsFold());
    const appender = harness.appender('a', replica);
    const deadlineAtMs = harness.clock.nowMs() + 1_000;
    const done = appender
      .append(claimEntry('c'), { deadlineAtMs, priority: high })
      .then((position) => replica.fold.winners.get('c') === fenceOf(position));
    await harness.clock.advance(500);
    expect(await done).toBe(true);
  });

  it('puts entries that arrive together into one record (else each claim costs an append)', async () => {
    const harness = new LogHarness();
    const appender = harness.appender('a', harness.replica(new FirstWinsFold()));
    const deadlineAtMs = harness.clock.nowMs() + 1_000;
    const all = Array.from({ length: 50 }, (_, n) =>
      appender.append(claimEntry(`c${n}`), { deadlineAtMs, priority: high }),
    );
    await harness.clock.advance(500);
    const positions = await Promise.all(all);
    expect(harness.log.recordsOf(harness.stream)).toHaveLength(1);
    expect(positions.map(({ index }) => index)).toEqual(all.map((_, n) => n));
  });

  it.each([
    { fault: LogFault.Refused, mayBeStored: false },
    { fault: LogFault.RequestLost, mayBeStored: true },
  ])('reports mayBeStored=$mayBeStored after $fault (else not_run is wrong)', async (row) => {
    const harness = new LogHarness(1, new FixedFault(row.fault));
    const appender = harness.appender('a', harness.replica(new FirstWinsFold()));
    expect(await errorOf(harness, appender)).toMatchObject({
      name: 'AppendFailedError',
      mayBeStored: row.mayBeStored,
    });
    expect(appender.pendingBytes).toBe(0);
  });

  it('keeps mayBeStored when a refusal follows a lost answer (else not_run is wrong)', async () => {
    class LostThenRefused extends FixedFault {
      override onAppend(): { fault: LogFault; delayMs: number } {
        const fault = this.#count++ === 0 ? LogFault.AnswerLost : LogFault.Refused;
        return { fault, delayMs: 0 };
      }

      #count = 0;
    }
    const faults = new LostThenRefused(LogFault.None, LogFault.RequestLost);
    const harness = new LogHarness(1, faults);
    const appender = harness.appender('a', harness.replica(new FirstWinsFold()));
    expect(await errorOf(harness, appender)).toMatchObject({ mayBeStored: true });
    expect(harness.log.recordsOf(harness.stream)).toHaveLength(1);
  });

  it('refuses entries, as not stored, when its queue is full (else an outage fills the memory)', async () => {
    const harness = new LogHarness(1, new FixedFault(LogFault.RequestLost));
    const appender = harness.appender('a', harness.replica(new FirstWinsFold()), 200);
    const deadlineAtMs = harness.clock.nowMs() + 60_000;
    const errors = Array.from({ length: 20 }, (_, n) =>
      appender
        .append(claimEntry(`c${n}`), { deadlineAtMs, priority: high })
        .catch((reason: unknown) => reason),
    );
    expect(await errors.at(-1)).toMatchObject({ mayBeStored: false });
    appender.stop();
  });

  it('keeps replicas equal and reports true outcomes under lost answers, duplicates, refusals and outages', async () => {
    await fc.assert(
      fc.asyncProperty(fc.integer(), async (seed) => {
        const harness = new LogHarness(seed);
        const startMs = harness.clock.nowMs();
        harness.log.faults = new SeededLogFaults({
          clock: harness.clock,
          random: new Random(seed),
          appendRatios: {
            [LogFault.AnswerLost]: 0.15,
            [LogFault.Duplicated]: 0.1,
            [LogFault.RequestLost]: 0.1,
            [LogFault.Refused]: 0.1,
          },
          readLossRatio: 0.1,
          maxDelayMs: 60,
          outages: [{ fromMs: startMs + 1_000, untilMs: startMs + 4_000 }],
        });
        const replicas = [0, 1, 2].map(() => harness.replica(new FirstWinsFold()));
        const appenders = replicas.map((replica, n) => harness.appender(`w${n}`, replica));
        const results: { id: string; fence?: number; error?: AppendFailedError }[] = [];
        for (let n = 0; n < 60; n++) {
          const id = `c${harness.random.int(0, 40)}`;
          const deadlineAtMs = harness.clock.nowMs() + harness.random.int(50, 8_000);
          void appenders[n % 3]!.append(claimEntry(id), { deadlineAtMs, priority: high }).then(
            (position) => results.push({ id, fence: fenceOf(position) }),
            (error: unknown) => results.push({ id, error: error as AppendFailedError }),
          );
          await harness.clock.advance(harness.random.int(0, 150));
        }
        await harness.clock.advance(60_000);
        const { winners } = replicas[0]!.fold;
        expect(results).toHaveLength(60);
        for (const replica of replicas) expect(replica.fold.winners).toEqual(winners);
        for (const { id, fence } of results) {
          if (fence !== undefined) expect(winners.get(id)).toBeLessThanOrEqual(fence);
        }
        // For every id that won, at least one append succeeded or failed with `mayBeStored`.
        for (const id of winners.keys()) {
          expect(results.some((r) => r.id === id && (r.error?.mayBeStored ?? true))).toBe(true);
        }
        await Promise.all(replicas.map((replica) => replica.stop()));
        appenders.forEach((appender) => appender.stop());
      }),
      { seed: 1, numRuns: 25 },
    );
  });
});
