import { beforeEach, describe, expect, it } from 'vitest';
import { Random, VirtualClock } from '../../src/core/index.js';
import type { KeyedLog, KeyedPage } from '../../src/log/keyed-log.js';
import { KeyedReplica } from '../../src/log/keyed-replica.js';
import { KeyedLogFault, MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { NullEventLog } from '../../src/telemetry/index.js';

describe('KeyedReplica', () => {
  let clock: VirtualClock;
  let log: MemoryKeyedLog;
  let replica: KeyedReplica;
  let seen: string[];

  beforeEach(() => {
    clock = new VirtualClock();
    log = new MemoryKeyedLog();
    replica = new KeyedReplica({
      log,
      topic: 't',
      clock,
      random: new Random(1),
      events: new NullEventLog(),
      waitMs: 2_500,
      minReadIntervalMs: () => 100,
      minOutageMs: 1_200,
    });
    seen = [];
    replica.onRecord(({ key, value }) => {
      seen.push(`${key}=${value ? Buffer.from(value).toString() : 'gone'}`);
    });
  });

  it('starts with the newest record of each key and follows later records', async () => {
    log.put('t', 'a', '1');
    log.put('t', 'a', '2');
    replica.start();
    await clock.advance(10);
    log.put('t', 'b', '3');
    log.put('t', 'a', undefined);
    await clock.advance(200);
    expect(seen).toEqual(['a=2', 'b=3', 'a=gone']);
    expect(replica.get('a')).toBeUndefined();
  });

  it('goes on after a record that a listener fails on, so that one bad record does not end a topic', async () => {
    replica.onRecord(({ key }) => {
      if (key === 'bad') throw new TypeError('cannot apply');
    });
    replica.start();
    await clock.advance(10);
    log.put('t', 'bad', 'x');
    log.put('t', 'good', 'y');
    await clock.advance(200);
    expect(seen).toEqual(['bad=x', 'good=y']);
    expect(replica.isFailing).toBe(false);
    expect(replica.endOffset).toBe(2);
  });

  describe('when the process stands still while an answer waits to be read', () => {
    class StallingClock extends VirtualClock {
      stalledMs = 0;

      override nowMs(): number {
        return super.nowMs() + this.stalledMs;
      }
    }

    it('counts the copy as old as the answer may be, so that its age is not hidden', async () => {
      const stallingClock = new StallingClock();
      const waitMs = 300;
      const readTimeoutMs = waitMs + 700;
      const readAtMs: number[] = [];
      const knownAsOfMs: (number | undefined)[] = [];
      class StallingLog extends MemoryKeyedLog {
        override async read(...args: Parameters<MemoryKeyedLog['read']>) {
          readAtMs.push(stallingClock.nowMs());
          knownAsOfMs.push(stalled.caughtUpAtMs);
          const page = await super.read(...args);
          stallingClock.stalledMs = 10_000;
          return page;
        }
      }
      const stalled = new KeyedReplica({
        log: new StallingLog(),
        topic: 't',
        clock: stallingClock,
        random: new Random(1),
        events: new NullEventLog(),
        waitMs,
        minReadIntervalMs: () => 100,
        minOutageMs: 1_200,
      });
      stalled.start();
      await stallingClock.advance(200);
      stalled.stop();
      // What the second read finds known was brought by the first, amid which the process stood still.
      expect(knownAsOfMs[1]).toBeLessThanOrEqual(readAtMs[0]! + readTimeoutMs);
    });
  });

  describe('when the store has trimmed its history', () => {
    it('reports keys that were removed in between once', async () => {
      log.put('t', 'a', '1');
      log.put('t', 'b', '1');
      replica.start();
      await clock.advance(10);
      log.put('t', 'a', undefined);
      log.put('t', 'b', '2');
      log.trim('t');
      await clock.advance(400);
      expect(seen.slice(2).sort()).toEqual(['a=gone', 'b=2']);
    });
  });

  describe('when the newest records come slowly, as many daemons read them over one link', () => {
    class SlowLog extends MemoryKeyedLog {
      override async newest(topic: string): ReturnType<MemoryKeyedLog['newest']> {
        await clock.sleepUntil(clock.nowMs() + 3_500);
        return super.newest(topic);
      }
    }

    it('gives them more time with each try, so that the daemons do not read in vain for ever', async () => {
      const slowLog = new SlowLog();
      slowLog.put('t', 'a', '1');
      const slow = new KeyedReplica({
        log: slowLog,
        topic: 't',
        clock,
        random: new Random(1),
        events: new NullEventLog(),
        waitMs: 2_500,
        minReadIntervalMs: () => 100,
        minOutageMs: 1_200,
      });
      slow.start();
      await clock.advance(12_000);
      expect(slow.get('a')).toBeDefined();
    });
  });

  describe('when a large value comes slowly, as many daemons read it over one link', () => {
    /** Sends the bytes of each answer for some time. */
    class NarrowLog extends MemoryKeyedLog {
      transferMs = 3_000;

      override async read(
        ...[topic, from, waitMs, signal, onBytes]: Parameters<KeyedLog['read']>
      ): Promise<KeyedPage> {
        const page = await super.read(topic, from, waitMs);
        if (page.records.length === 0) return page;
        const endsAtMs = clock.nowMs() + this.transferMs;
        while (clock.nowMs() < endsAtMs && signal?.aborted !== true) {
          onBytes?.();
          await clock.sleepUntil(clock.nowMs() + 100);
        }
        return page;
      }
    }

    let narrowLog: NarrowLog;
    let narrow: KeyedReplica;

    beforeEach(async () => {
      narrowLog = new NarrowLog();
      narrow = new KeyedReplica({
        log: narrowLog,
        topic: 't',
        clock,
        random: new Random(1),
        events: new NullEventLog(),
        waitMs: 1_000,
        minReadIntervalMs: () => 100,
        minOutageMs: 1_200,
      });
      narrow.start();
      await clock.advance(50);
      narrowLog.put('t', 'a', '1');
    });

    it('does not give up while its bytes keep coming', async () => {
      await clock.advance(4_000);
      expect(narrow.get('a')).toBeDefined();
    });

    it('counts the copy as old as the first bytes, so that the time of the others hides no change', async () => {
      const putAtMs = clock.nowMs();
      let asOfMs: number | undefined;
      narrow.onRecord(() => (asOfMs = narrow.caughtUpAtMs));
      await clock.advance(4_000);
      expect(asOfMs).toBeGreaterThanOrEqual(putAtMs);
      expect(asOfMs).toBeLessThanOrEqual(putAtMs + 200);
    });

    it('gives it more time with each try, up to a limit, so that the daemons do not read in vain for ever', async () => {
      narrowLog.transferMs = 20_000;
      await clock.advance(70_000);
      expect(narrow.get('a')).toBeDefined();
    });
  });

  describe('when the store is down', () => {
    it('reads without a wait until the store recovers, and then waits again', async () => {
      replica.start();
      await clock.advance(150);
      log.fault = KeyedLogFault.Down;
      await clock.advance(2_000);
      expect(log.waitsMs.at(-1)).toBe(0);
      log.fault = KeyedLogFault.None;
      await clock.advance(1_500);
      expect(log.waitsMs.at(-1)).toBe(2_500);
    });

    it('keeps its records and reports isFailing until a read succeeds', async () => {
      log.put('t', 'a', '1');
      replica.start();
      await clock.advance(10);
      log.fault = KeyedLogFault.Down;
      await clock.advance(3_000);
      expect(replica.isFailing).toBe(true);
      expect(replica.get('a')).toBeDefined();
      log.fault = KeyedLogFault.None;
      await clock.advance(1_000);
      expect(replica.isFailing).toBe(false);
      expect(replica.outageEndedAtMs).toBeGreaterThan(0);
    });

    it('counts one lost read as no outage, so that ended registrations are not kept for it', async () => {
      replica.start();
      await clock.advance(150);
      log.fault = KeyedLogFault.Down;
      await clock.advance(100);
      log.fault = KeyedLogFault.None;
      await clock.advance(1_000);
      expect(replica.isFailing).toBe(false);
      expect(replica.outageEndedAtMs).toBe(-Infinity);
    });

    it('tells the listeners of the first records after an outage that it has ended', async () => {
      log.put('t', 'a', '1');
      replica.start();
      await clock.advance(10);
      log.fault = KeyedLogFault.Down;
      await clock.advance(3_000);
      log.put('t', 'a', undefined);
      log.fault = KeyedLogFault.None;
      let outageEndedAtMs = -Infinity;
      replica.onRecord(() => (outageEndedAtMs = replica.outageEndedAtMs));
      await clock.advance(1_000);
      expect(outageEndedAtMs).toBeGreaterThan(0);
    });
  });
});
