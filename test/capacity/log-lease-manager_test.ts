import { describe, expect, it } from 'vitest';
import { LogLeaseManager } from '../../src/capacity/index.js';
import { OrioleError, Step, VirtualClock } from '../../src/core/index.js';
import { EntryWriter, type Position, type RawEntry } from '../../src/log/index.js';
import { LeaseFold } from '../../src/state/index.js';

/** Applies entries to the folds of all daemons in the same order. */
class SharedWriter extends EntryWriter {
  readonly folds: LeaseFold[] = [];
  isDown = false;
  appends = 0;

  override async append(entry: RawEntry): Promise<Position> {
    if (this.isDown) throw new OrioleError('down', { step: Step.Log, peer: 'test' });
    const position = { offset: ++this.appends, index: 0 };
    for (const fold of this.folds) fold.apply(position, entry);
    return position;
  }
}

function setUp() {
  const clock = new VirtualClock();
  const writer = new SharedWriter();
  const boot = (holder: string, incarnation: number): LogLeaseManager => {
    const fold = new LeaseFold();
    writer.folds.push(fold);
    return new LogLeaseManager({ writer, fold, holder, incarnation, clock });
  };
  return { clock, writer, boot };
}

describe('LogLeaseManager', () => {
  it('grants a lease to one daemon and appends only when the lease may be free', async () => {
    const { writer, boot } = setUp();
    const [first, second] = [boot('d1', 1), boot('d2', 1)];
    const fences = await Promise.all([first.acquire('l'), second.acquire('l')]);
    expect(fences.filter((fence) => fence !== undefined)).toHaveLength(1);
    const { appends } = writer;
    expect(await second.acquire('l')).toBeUndefined();
    expect(writer.appends).toBe(appends);
    expect([first.isHeld('l'), second.isHeld('l')]).toEqual([true, false]);
  });

  it('ends a lease by the local clock when the log is down and grants it next with a higher fence', async () => {
    const { clock, writer, boot } = setUp();
    const [first, second] = [boot('d1', 1), boot('d2', 1)];
    const before = (await first.acquire('l')) ?? 0;
    writer.isDown = true;
    expect(await first.renew('l')).toBe(false);
    clock.runUntil(clock.nowMs() + 10_000);
    expect(first.isHeld('l')).toBe(false);
    writer.isDown = false;
    expect(await second.acquire('l')).toBeUndefined();
    clock.runUntil(clock.nowMs() + 1_000);
    expect(await second.acquire('l')).toBeGreaterThan(before);
    expect(await first.renew('l')).toBe(false);
  });

  it('keeps the fence across renewals and loses the lease on a restart', async () => {
    const { clock, boot } = setUp();
    const first = boot('d1', 1);
    const fence = await first.acquire('l');
    clock.runUntil(clock.nowMs() + 3_000);
    expect(await first.renew('l')).toBe(true);
    expect(first.fence('l')).toBe(fence);
    clock.runUntil(clock.nowMs() + 8_000);
    expect(first.isHeld('l')).toBe(true);
    const restarted = boot('d1', 2);
    expect(restarted.isHeld('l')).toBe(false);
    expect(await restarted.renew('l')).toBe(false);
  });
});
