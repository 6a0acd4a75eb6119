import { beforeEach, describe, expect, it } from 'vitest';
import type { DutyLease } from '../../src/capacity/duty-lease.js';
import { VirtualClock } from '../../src/core/index.js';
import type { KeyedEntry } from '../../src/log/keyed-log.js';
import { KeyedLogFault, MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { DutyFixture, leaseMs } from './duty-fixture.js';

/** A daemon with its own connection to the common log. */
class TestDaemon {
  readonly lease: DutyLease;
  readonly fences: number[] = [];
  /** Time for which the VM was suspended; only the wall clock advances by it. */
  suspendedMs = 0;
  isRunning = true;
  isEligible = true;

  constructor(
    readonly name: string,
    log: MemoryKeyedLog,
    clock: VirtualClock,
    incarnation = 1,
    samplePeriodMs = 1_000,
    readonly connection = new DisconnectableLog(log),
  ) {
    const suspendedMs = (): number => this.suspendedMs;
    this.lease = new DutyFixture({
      daemon: name,
      incarnation,
      log: connection,
      clock,
      suspendedMs,
      samplePeriodMs,
      isEligible: () => this.isEligible,
    }).lease;
    clock.every(250, () => {
      if (!this.isRunning) return;
      void this.lease.tick();
      const { fence } = this.lease;
      if (fence !== undefined && this.fences.at(-1) !== fence) this.fences.push(fence);
    });
  }
}

/** Connection of one daemon to the common log that can be disconnected separately. */
class DisconnectableLog extends MemoryKeyedLog {
  isDisconnected = false;

  constructor(readonly log: MemoryKeyedLog) {
    super();
  }

  override newest(topic: string): ReturnType<MemoryKeyedLog['newest']> {
    return this.isDisconnected ? this.#fail() : this.log.newest(topic);
  }

  override read(topic: string, fromOffset: number): ReturnType<MemoryKeyedLog['read']> {
    return this.isDisconnected ? this.#fail() : this.log.read(topic, fromOffset);
  }

  override appendAll(
    ...args: Parameters<MemoryKeyedLog['appendAll']>
  ): ReturnType<MemoryKeyedLog['appendAll']> {
    return this.isDisconnected ? this.#fail() : this.log.appendAll(...args);
  }

  #fail(): Promise<never> {
    const down = new MemoryKeyedLog();
    down.fault = KeyedLogFault.Down;
    return down.newest('') as Promise<never>;
  }
}

describe('DutyLease', () => {
  let clock: VirtualClock;
  let log: MemoryKeyedLog;
  let daemons: TestDaemon[];

  const holders = (): TestDaemon[] => daemons.filter(({ lease }) => lease.fence !== undefined);

  beforeEach(async () => {
    clock = new VirtualClock();
    log = new MemoryKeyedLog();
    daemons = ['a', 'b', 'c'].map((name) => new TestDaemon(name, log, clock));
    await clock.advance(3_000);
  });

  it('has one holder', () => {
    expect(holders()).toHaveLength(1);
  });

  it('keeps its holder while the heartbeats are stored', async () => {
    const [holder] = holders();
    await clock.advance(20_000);
    expect(holders()).toEqual([holder]);
    expect(holder!.fences).toHaveLength(1);
  });

  describe('a deployment of many daemons with a long sample period', () => {
    it('keeps its holder, whose lease must not expire between two samples', async () => {
      const log = new MemoryKeyedLog();
      const clock = new VirtualClock();
      const names = ['d1', 'd2', 'd3'];
      const daemons = names.map((name) => new TestDaemon(name, log, clock, 1, 2_500));
      await clock.advance(10_000);
      const holders = daemons.filter(({ lease }) => lease.fence !== undefined);
      expect(holders).toHaveLength(1);
      for (let step = 0; step < 120; step++) {
        await clock.advance(250);
        expect(holders[0]!.lease.fence).toBeDefined();
      }
      expect(daemons.flatMap(({ fences }) => fences)).toHaveLength(1);
    });
  });

  describe('a daemon that is not eligible', () => {
    it('makes no attempt, so that hundreds of daemons do not call the store for one lease', async () => {
      const log = new MemoryKeyedLog();
      const clock = new VirtualClock();
      const daemons = ['d1', 'd2', 'd3'].map((name) => new TestDaemon(name, log, clock));
      for (const daemon of daemons.slice(1)) daemon.isEligible = false;
      await clock.advance(5_000);
      expect(daemons.map(({ lease }) => lease.fence !== undefined)).toEqual([true, false, false]);
      expect((await log.read('duties', 0)).records).toHaveLength(1);
    });

    it('takes over once it is, when the holder is gone', async () => {
      const log = new MemoryKeyedLog();
      const clock = new VirtualClock();
      const [holder, other] = ['d1', 'd2'].map((name) => new TestDaemon(name, log, clock));
      other!.isEligible = false;
      await clock.advance(5_000);
      holder!.isRunning = false;
      holder!.connection.isDisconnected = true;
      await clock.advance(10_000);
      expect(other!.lease.fence).toBeUndefined();
      other!.isEligible = true;
      await clock.advance(1_000);
      expect(other!.lease.fence).toBeDefined();
    });
  });

  describe('when records are not valid JSON', () => {
    it('ignores them, so that the duties do not fail with an error', async () => {
      const log = new MemoryKeyedLog();
      const clock = new VirtualClock();
      for (const key of ['lease', 'usage']) log.put('duties', key, Buffer.from('{ not JSON'));
      log.put('daemons', 'd9', Buffer.from('{ not JSON'));
      const daemon = new TestDaemon('d1', log, clock);
      await clock.advance(10_000);
      expect(daemon.lease.fence).toBeDefined();
    });
  });

  describe('a holder that the store refuses while other daemons still store its samples', () => {
    /** Appends of this daemon fail, but its samples reach the store by its distributor. */
    class RefusedLog extends DisconnectableLog {
      override read(topic: string, from: number): ReturnType<MemoryKeyedLog['read']> {
        return this.log.read(topic, from);
      }

      override async publish(topic: string, entry: KeyedEntry): Promise<void> {
        await this.log.publish(topic, entry);
      }
    }

    it('is replaced, so that the duties are not left undone', async () => {
      const log = new MemoryKeyedLog();
      const clock = new VirtualClock();
      const connection = new RefusedLog(log);
      const holder = new TestDaemon('d1', log, clock, 1, 1_000, connection);
      await clock.advance(3_000);
      expect(holder.lease.fence).toBeDefined();
      const other = new TestDaemon('d2', log, clock);
      await clock.advance(3_000);
      connection.isDisconnected = true;
      for (let elapsedMs = 0; elapsedMs < 2 * leaseMs + 2_000; elapsedMs += 100) {
        await clock.advance(100);
        expect([holder, other].filter(({ lease }) => lease.fence).length).toBeLessThanOrEqual(1);
      }
      expect(other.lease.fence).toBeDefined();
    });
  });

  describe('a holder that is disconnected from the log', () => {
    it('stops acting before another daemon takes over with a higher fence', async () => {
      const [holder] = holders();
      holder!.connection.isDisconnected = true;
      for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 100) {
        await clock.advance(100);
        expect(holders().length).toBeLessThanOrEqual(1);
      }
      const [next] = holders();
      expect(next).not.toBe(holder);
      expect(next!.fences[0]).toBeGreaterThan(holder!.fences[0]!);
    });

    it('does not take the lease back as soon as it reconnects', async () => {
      const [holder] = holders();
      holder!.connection.isDisconnected = true;
      await clock.advance(6_000);
      const [next] = holders();
      holder!.connection.isDisconnected = false;
      next!.connection.isDisconnected = true;
      await clock.advance(leaseMs - 500);
      expect(holder!.lease.fence).toBeUndefined();
    });
  });

  describe('a holder whose VM was suspended', () => {
    it('does not act on a lease that is still valid only by its steady clock', () => {
      const [holder] = holders();
      holder!.suspendedMs = 5_000;
      expect(holder!.lease.fence).toBeUndefined();
    });
  });

  describe('a holder that restarts after a crash', () => {
    it('lets the lease of its earlier run be taken over', async () => {
      const [holder] = holders();
      holder!.isRunning = false;
      holder!.connection.isDisconnected = true;
      const restarted = new TestDaemon(holder!.name, log, clock, 2);
      daemons = [...daemons.filter((daemon) => daemon !== holder), restarted];
      await clock.advance(6_000);
      expect(holders()).toHaveLength(1);
    });
  });

  describe('a holder that stops', () => {
    it('releases the lease to another daemon at once', async () => {
      const [holder] = holders();
      holder!.isRunning = false;
      await holder!.lease.release();
      await clock.advance(800);
      expect(holders()).toHaveLength(1);
      expect(holders()[0]).not.toBe(holder);
    });
  });

  describe('when the log is down for longer than the lease', () => {
    it('has a holder again after the log recovers', async () => {
      log.fault = KeyedLogFault.Down;
      await clock.advance(5_000);
      expect(holders()).toHaveLength(0);
      log.fault = KeyedLogFault.None;
      await clock.advance(8_000);
      expect(holders()).toHaveLength(1);
    });
  });

  describe('when the responses of the log are lost', () => {
    it('never has two holders', async () => {
      log.fault = KeyedLogFault.AnswersLost;
      for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 100) {
        await clock.advance(100);
        expect(holders().length).toBeLessThanOrEqual(1);
      }
    });
  });
});
