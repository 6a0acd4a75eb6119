import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Random, countingIds } from '../../src/core/index.js';
import {
  LogFault,
  LogFaultSource,
  NoLogFaults,
  SeededLogFaults,
} from '../../src/standins/index.js';
import { RejectionReason, type ConfigFold, type ConfigVerdict } from '../../src/state/index.js';
import { SettingsPublisher } from '../../src/settings-publisher/index.js';
import { LogHarness } from '../log/log-harness.js';
import { configFold, rootKey } from '../state/config-harness.js';

const paths = ['prod/tejidos/limits/a', 'prod/tejidos/limits/b', 'prod/haneul/limits/c'];

function createPublisher(harness: LogHarness, name: string) {
  const fold = configFold();
  const replica = harness.replica(fold);
  const publisher = new SettingsPublisher({
    deployment: 'prod',
    keyId: 'root',
    key: rootKey,
    replica,
    fold,
    writer: harness.appender(name, replica),
    clock: harness.clock,
    newId: countingIds(`change-${name}`),
  });
  return { fold, replica, publisher };
}

class LostRequestFaults extends LogFaultSource {
  override onAppend(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.RequestLost, delayMs: 0 };
  }

  override onRead(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.RequestLost, delayMs: 0 };
  }
}

/** Checks that no path's revision decreases on a daemon, including across its restarts. */
class RevisionMonitor {
  readonly #seen = new Map<string, number>();

  check(fold: ConfigFold): void {
    for (const path of paths) {
      const revision = fold.revisionOf(path);
      expect(revision).toBeGreaterThanOrEqual(this.#seen.get(path) ?? 0);
      this.#seen.set(path, revision);
    }
  }
}

describe('SettingsPublisher', () => {
  it('returns the verdict, with the values in force and the proposed ones on a conflict', async () => {
    const harness = new LogHarness();
    const [a, b] = [createPublisher(harness, 'a'), createPublisher(harness, 'b')];
    await harness.clock.advance(10);
    const deadlineAtMs = harness.clock.nowMs() + 10_000;
    const path = paths[0]!;
    const edits = ['1', '2'].map((rate_per_s) => ({
      path,
      values: { rate_per_s },
      expectedRevision: 0,
    }));
    const first = a.publisher.publish([edits[0]!], deadlineAtMs);
    const second = b.publisher.publish([edits[1]!], deadlineAtMs);
    await harness.clock.advance(1_000);
    const verdicts = [await first, await second];
    expect(verdicts.map(({ isAccepted }) => isAccepted).sort()).toEqual([false, true]);
    const rejected = verdicts.find(({ isAccepted }) => !isAccepted)!;
    expect(rejected.reason).toBe(RejectionReason.Conflict);
    expect(rejected.conflicts[0]!.inForce).not.toEqual(rejected.conflicts[0]!.proposed);
  });

  it('sends nothing while it cannot read the stream, since it could overwrite unseen settings', async () => {
    const harness = new LogHarness(1, new LostRequestFaults());
    const { publisher } = createPublisher(harness, 'a');
    const deadlineAtMs = harness.clock.nowMs() + 5_000;
    const error = publisher
      .publish([{ path: paths[0]!, values: {} }], deadlineAtMs)
      .catch((reason: unknown) => reason);
    await harness.clock.advance(6_000);
    expect(String(await error)).toContain('nothing was sent');
    harness.log.faults = new NoLogFaults();
    expect(harness.log.recordsOf(harness.stream)).toHaveLength(0);
  });

  it('gives every daemon the same state and never reverts a revision, under concurrent changes, faults and restarts', async () => {
    await fc.assert(
      fc.asyncProperty(fc.integer(), async (seed) => {
        const harness = new LogHarness(seed);
        const random = new Random(seed);
        const startMs = harness.clock.nowMs();
        harness.log.faults = new SeededLogFaults({
          clock: harness.clock,
          random: random.fork(),
          appendRatios: {
            [LogFault.AnswerLost]: 0.2,
            [LogFault.Duplicated]: 0.15,
            [LogFault.RequestLost]: 0.1,
          },
          readLossRatio: 0.1,
          maxLagRecords: 3,
          maxDelayMs: 200,
          outages: [{ fromMs: startMs + 10_000, untilMs: startMs + 25_000 }],
        });
        const operators = ['a', 'b', 'c'].map((name) => createPublisher(harness, name));
        let daemon = harness.replica(configFold());
        const [revisionMonitor, accepted] = [
          new RevisionMonitor(),
          new Map<string, ConfigVerdict>(),
        ];
        for (let round = 0; round < 25; round++) {
          const path = random.pick(paths);
          const isRemoval = random.float() < 0.2;
          const values = isRemoval ? null : { rate_per_s: String(random.int(1, 99)) };
          const deadlineAtMs = harness.clock.nowMs() + random.int(500, 20_000);
          void random
            .pick(operators)
            .publisher.publish([{ path, values }], deadlineAtMs)
            .then(
              (verdict) => verdict.isAccepted && accepted.set(verdict.changeId, verdict),
              () => undefined,
            );
          await harness.clock.advance(random.int(0, 3_000));
          if (random.float() < 0.15) {
            // A restarted daemon is ready only after it has read up to the offset of a peer.
            const minOffset = daemon.knownOffset;
            await daemon.stop();
            daemon = harness.replica(configFold(), minOffset);
          }
          if (daemon.isReady) revisionMonitor.check(daemon.fold);
        }
        harness.log.faults = new NoLogFaults();
        await harness.clock.advance(60_000);
        revisionMonitor.check(daemon.fold);
        const state = JSON.stringify(daemon.fold.snapshot());
        for (const { fold } of operators) expect(JSON.stringify(fold.snapshot())).toBe(state);
        for (const [id, verdict] of accepted) expect(daemon.fold.verdict(id)).toEqual(verdict);
        await Promise.all(
          [daemon, ...operators.map(({ replica }) => replica)].map((r) => r.stop()),
        );
      }),
      { seed: 1, numRuns: 25 },
    );
  });
});
