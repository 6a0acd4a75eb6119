import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Random, countingIds } from '../../src/core/index.js';
import {
  EntryWriter,
  SnapshotAssembler,
  Snapshotter,
  decodeEnvelope,
  encodeSnapshot,
  type AppendOptions,
  type Position,
  type RawEntry,
} from '../../src/log/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import type { StreamReplica } from '../../src/state/index.js';
import { FirstWinsFold, LogHarness, claimEntry } from './log-harness.js';

const retentionMs = 3_600_000;

/** Blocks before one part until `release` is called, like a paused process. */
class PausingWriter extends EntryWriter {
  release: () => void = () => undefined;
  #count = 0;

  constructor(
    readonly inner: EntryWriter,
    readonly pauseAt: number,
  ) {
    super();
  }

  override async append(entry: RawEntry, options: AppendOptions): Promise<Position> {
    if (this.#count++ === this.pauseAt) {
      await new Promise<void>((resolve) => (this.release = resolve));
    }
    const deadlineAtMs = options.deadlineAtMs + 100 * retentionMs;
    return this.inner.append(entry, { ...options, deadlineAtMs });
  }
}

function snapshotter(harness: LogHarness, source: StreamReplica, writer: EntryWriter): Snapshotter {
  return new Snapshotter({
    source,
    writer,
    clock: harness.clock,
    random: harness.random.fork(),
    newId: countingIds(`snapshot-${harness.random.int(0, 1e9)}`),
    events: new NullEventLog(),
    retentionMs,
    partLength: 200,
  });
}

describe('snapshot codec', () => {
  it('decodes a state only from all parts of a snapshot', () => {
    fc.assert(
      fc.property(fc.jsonValue(), fc.integer({ min: 1, max: 9 }), fc.nat(), (state, size, drop) => {
        const value = JSON.parse(JSON.stringify(state)) as unknown;
        const entries = encodeSnapshot({ snapshotId: 's', throughOffset: 4, state: value }, size);
        const whole = new SnapshotAssembler();
        const results = entries.map((entry) => whole.add(entry, 7));
        expect(results.at(-1)).toEqual({
          snapshotId: 's',
          throughOffset: 4,
          beganAtMs: 7,
          state: value,
        });
        const partial = new SnapshotAssembler();
        const rest = entries.filter((_, index) => index !== drop % entries.length);
        expect(rest.map((entry) => partial.add(entry, 7)).some((result) => result)).toBe(false);
      }),
      { seed: 1 },
    );
  });

  it('ignores values that are not snapshot entries', () => {
    fc.assert(
      fc.property(fc.anything(), fc.string(), (value, data) => {
        expect(new SnapshotAssembler().add(value, 0)).toBeUndefined();
        expect(() => decodeEnvelope(data)).not.toThrow();
      }),
      { seed: 1 },
    );
  });
});

describe('Snapshotter', () => {
  it('preserves the state of an idle stream beyond its retention (else a team without changes loses settings)', async () => {
    const harness = new LogHarness();
    await harness.store(claimEntry('a'));
    const replica = harness.replica(new FirstWinsFold());
    const task = snapshotter(harness, replica, harness.appender('a', replica));
    task.start();
    for (let hour = 0; hour < 10; hour++) {
      await harness.clock.advance(retentionMs);
      const keptFromMs = harness.clock.nowMs() - retentionMs;
      const old = harness.log.recordsOf(harness.stream).filter((r) => r.appendedAtMs < keptFromMs);
      if (old.length > 0) harness.log.trim(harness.stream, old.at(-1)!.offset + 1);
    }
    const reader = harness.replica(new FirstWinsFold());
    await harness.clock.advance(1_000);
    expect(reader.isReady).toBe(true);
    expect(reader.fold.winners).toEqual(replica.fold.winners);
    expect(harness.log.recordsOf(harness.stream).length).toBeLessThan(20);
    task.stop();
    await Promise.all([replica.stop(), reader.stop()]);
  });

  it('neither loses nor reverts state with two snapshotters, one paused midway, and a trim', async () => {
    await fc.assert(
      fc.asyncProperty(fc.integer(), fc.integer({ min: 0, max: 6 }), async (seed, pauseAt) => {
        const harness = new LogHarness(seed);
        const random = new Random(seed);
        const replicas = [0, 1].map(() => harness.replica(new FirstWinsFold()));
        const store = async (count: number): Promise<void> => {
          for (let n = 0; n < count; n++) await harness.store(claimEntry(`c${random.int(0, 99)}`));
          await harness.clock.advance(100);
        };
        await store(20);
        const slow = new PausingWriter(harness.appender('slow', replicas[0]!), pauseAt);
        const first = snapshotter(harness, replicas[0]!, slow).write();
        await store(random.int(0, 20));
        const quick = harness.appender('quick', replicas[1]!);
        const second = snapshotter(harness, replicas[1]!, quick).write();
        await harness.clock.advance(5_000);
        expect(await second).toBe(true);
        const throughOffset = replicas[1]!.lastSnapshot!.throughOffset;
        await store(random.int(0, 20));
        slow.release();
        await harness.clock.advance(5_000);
        await first;
        harness.log.trim(harness.stream, throughOffset + 1);
        const reader = harness.replica(new FirstWinsFold());
        await harness.clock.advance(5_000);
        expect(reader.isReady).toBe(true);
        expect(reader.fold.winners).toEqual(replicas[0]!.fold.winners);
        await Promise.all([...replicas, reader].map((replica) => replica.stop()));
      }),
      { seed: 1, numRuns: 40 },
    );
  });
});
