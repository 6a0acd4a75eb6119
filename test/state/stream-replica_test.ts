import { describe, expect, it } from 'vitest';
import { countingIds } from '../../src/core/index.js';
import { encodeSnapshot } from '../../src/log/index.js';
import {
  LogFault,
  LogFaultSource,
  NoLogFaults,
  type LogReadFate,
} from '../../src/standins/index.js';
import { StreamReplica } from '../../src/state/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import { FirstWinsFold, LogHarness, claimEntry } from '../log/log-harness.js';

class LostReads extends LogFaultSource {
  override onAppend(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.None, delayMs: 0 };
  }

  override onRead(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.RequestLost, delayMs: 0 };
  }
}

class LaggingReads extends NoLogFaults {
  lagRecords = 2;

  override onRead(): LogReadFate {
    return { fault: LogFault.None, delayMs: 1, lagRecords: this.lagRecords };
  }
}

describe('StreamReplica', () => {
  it('is ready only at the end seen at start (else a new daemon serves old settings)', async () => {
    const harness = new LogHarness();
    for (let n = 0; n < 2_500; n++) await harness.store(claimEntry(`c${n}`));
    const replica = harness.replica(new FirstWinsFold());
    const appliedWhenReady = replica.ready.then(() => replica.fold.winners.size);
    await harness.clock.advance(10);
    expect(await appliedWhenReady).toBe(2_500);
  });

  it('is not ready below the offset that a peer reports (else a lagging read serves older state)', async () => {
    const harness = new LogHarness();
    await harness.store(claimEntry('a'));
    const replica = harness.replica(new FirstWinsFold(), 2);
    await harness.clock.advance(10);
    expect(replica.isReady).toBe(false);
    await harness.store(claimEntry('b'));
    await harness.clock.advance(10);
    expect(replica.isReady).toBe(true);
  });

  it('is not ready before its barrier is read back (else a lagging read serves older state unnoticed)', async () => {
    const harness = new LogHarness();
    for (const id of ['a', 'b', 'c']) await harness.store(claimEntry(id));
    const lagging = new LaggingReads();
    harness.log.faults = lagging;
    const { clock, log, stream, random } = harness;
    const replica = new StreamReplica({
      log,
      stream,
      fold: new FirstWinsFold(),
      clock,
      random,
      events: new NullEventLog(),
      barrier: { writer: 'entry-1', newId: countingIds('barrier') },
    });
    replica.start();
    await clock.advance(10_000);
    expect(replica.isReady).toBe(false);
    lagging.lagRecords = 0;
    await clock.advance(20_000);
    expect(replica.isReady).toBe(true);
    expect(log.recordsOf(stream)).toHaveLength(4);
  });

  it('reports minReadyOffset before its first read (else two restarts in a row return to older state)', () => {
    const harness = new LogHarness();
    expect(harness.replica(new FirstWinsFold(), 7).knownOffset).toBe(7);
  });

  it('reports the age of the last read during an outage and catches up after it', async () => {
    const harness = new LogHarness();
    const replica = harness.replica(new FirstWinsFold());
    await harness.clock.advance(10);
    harness.log.faults = new LostReads();
    await harness.clock.advance(60_000);
    expect(replica.ageMs).toBeGreaterThan(40_000);
    await harness.store(claimEntry('late'));
    harness.log.faults = new NoLogFaults();
    await harness.clock.advance(20_000);
    expect(replica.ageMs).toBeLessThan(20_000);
    expect(replica.fold.winners.has('late')).toBe(true);
  });

  describe('with trimmed records', () => {
    it('replays from a snapshot that reaches the oldest record (else history is lost)', async () => {
      const harness = new LogHarness();
      for (let n = 0; n < 10; n++) await harness.store(claimEntry(`c${n}`));
      const writer = harness.replica(new FirstWinsFold());
      await harness.clock.advance(10);
      const state = writer.fold.snapshot();
      await harness.store(claimEntry('between'));
      const snapshot = { snapshotId: 's', throughOffset: 9, state };
      for (const entry of encodeSnapshot(snapshot, 64)) await harness.store(entry);
      await harness.store(claimEntry('after'));
      harness.log.trim(harness.stream, 10);
      const reader = harness.replica(new FirstWinsFold());
      await harness.clock.advance(10);
      expect(reader.isReady).toBe(true);
      expect(reader.fold.winners).toEqual(writer.fold.winners);
      expect([...reader.fold.winners.keys()]).toContain('between');
    });

    it('ignores a snapshot older than the gap and does not become ready', async () => {
      const harness = new LogHarness();
      for (let n = 0; n < 10; n++) await harness.store(claimEntry(`c${n}`));
      const snapshot = { snapshotId: 's', throughOffset: 3, state: { winners: [], last: 0 } };
      for (const entry of encodeSnapshot(snapshot)) await harness.store(entry);
      harness.log.trim(harness.stream, 8);
      const reader = harness.replica(new FirstWinsFold());
      await harness.clock.advance(60_000);
      expect(reader.isReady).toBe(false);
      expect(reader.fold.winners.size).toBe(0);
    });
  });

  it('starts a long stream from its newest snapshot (else catching up takes minutes)', async () => {
    const harness = new LogHarness();
    for (let n = 0; n < 5_100; n++) await harness.store(claimEntry(`c${n}`));
    const state = { winners: [['from-snapshot', 1]], last: 5_000 * 1_024 };
    for (const entry of encodeSnapshot({ snapshotId: 's', throughOffset: 4_999, state })) {
      await harness.store(entry);
    }
    const older = { snapshotId: 'old', throughOffset: 10, state: { winners: [], last: 0 } };
    for (const entry of encodeSnapshot(older)) await harness.store(entry);
    await harness.store(claimEntry('after'));
    const replica = harness.replica(new FirstWinsFold());
    void harness.clock.advance(10);
    await replica.ready;
    expect(replica.fold.winners.size).toBe(1 + 100 + 1);
    expect(replica.appliedOffset).toBe(harness.log.recordsOf(harness.stream).length);
    expect(replica.lastSnapshot?.throughOffset).toBe(4_999);
    await harness.store(claimEntry('live'));
    await harness.clock.advance(10);
    expect(replica.fold.winners.has('live')).toBe(true);
  });

  it('keeps applying when a subscriber throws (else one subscriber stops the stream)', async () => {
    const harness = new LogHarness();
    const replica = harness.replica(new FirstWinsFold());
    replica.onApplied(() => {
      throw new Error('listener');
    });
    await harness.store(claimEntry('a'));
    await harness.store(claimEntry('b'));
    await harness.clock.advance(10);
    expect(replica.fold.winners.size).toBe(2);
  });
});
