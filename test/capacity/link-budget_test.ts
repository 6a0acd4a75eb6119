import { describe, expect, it } from 'vitest';
import { LinkBudget, LinkClass } from '../../src/capacity/index.js';
import { VirtualClock } from '../../src/core/index.js';

const rate = 1_000_000;

function setUp(allowsKv: boolean) {
  const clock = new VirtualClock();
  const link = new LinkBudget({
    clock,
    rateBytesPerS: rate,
    share: () => 1,
    allowsKvTransfers: () => allowsKv,
  });
  /** Sends as much as allowed in each class for 20 s, and counts it. */
  const flood = async (classes: LinkClass[], bytes = 1_000): Promise<Map<LinkClass, number>> => {
    const sent = new Map(classes.map((linkClass) => [linkClass, 0]));
    for (let step = 0; step < 20_000; step += 10) {
      for (const linkClass of classes) {
        for (let tries = 0; tries < 50 && link.take(linkClass, bytes); tries++) {
          sent.set(linkClass, (sent.get(linkClass) ?? 0) + bytes);
        }
      }
      clock.runUntil(clock.nowMs() + 10);
    }
    return sent;
  };
  return { link, flood };
}

describe('LinkBudget', () => {
  it('never exceeds the rate beyond its burst', async () => {
    const { flood } = setUp(true);
    const sent = await flood([LinkClass.Requests, LinkClass.StreamText, LinkClass.KvTransfers]);
    const total = [...sent.values()].reduce((sum, bytes) => sum + bytes, 0);
    expect(total).toBeLessThanOrEqual(rate * 21 + 3_000);
    expect(total).toBeGreaterThan(rate * 19);
  });

  it('gives KV transfers at most 30% of the rate and nothing when the rest is used', async () => {
    const alone = await setUp(true).flood([LinkClass.KvTransfers]);
    expect(alone.get(LinkClass.KvTransfers)).toBeLessThanOrEqual(0.3 * rate * 20 + 2_000);
    const contended = await setUp(true).flood([LinkClass.Requests, LinkClass.KvTransfers]);
    expect(contended.get(LinkClass.KvTransfers)).toBeLessThan(0.02 * rate * 20);
  });

  it('carries no KV transfer unless allowed', async () => {
    const { link, flood } = setUp(false);
    expect((await flood([LinkClass.KvTransfers])).get(LinkClass.KvTransfers)).toBe(0);
    expect(link.delayMs(LinkClass.KvTransfers)).toBe(Infinity);
  });

  it('lets control through when requests have used the link up', async () => {
    const { link, flood } = setUp(false);
    await flood([LinkClass.Requests]);
    expect(link.take(LinkClass.Requests, 200_000)).toBe(true);
    expect(link.take(LinkClass.Requests, 1_000)).toBe(false);
    expect(link.take(LinkClass.Control, 1_000)).toBe(true);
    expect(link.delayMs(LinkClass.Requests)).toBeGreaterThan(0);
  });
});
