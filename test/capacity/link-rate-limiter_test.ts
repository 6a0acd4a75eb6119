import { describe, expect, it } from 'vitest';
import { LinkRateLimiter, TrafficClass } from '../../src/capacity/index.js';
import { VirtualClock } from '../../src/core/index.js';

const rate = 1_000_000;

function setUp(allowsKv: boolean) {
  const clock = new VirtualClock();
  const link = new LinkRateLimiter({
    clock,
    rateBytesPerS: rate,
    share: () => 1,
    allowsKvTransfers: () => allowsKv,
  });
  /** Sends as much as allowed in each class for 20 s and returns the bytes sent by class. */
  const flood = async (
    classes: TrafficClass[],
    bytes = 1_000,
  ): Promise<Map<TrafficClass, number>> => {
    const sent = new Map(classes.map((trafficClass) => [trafficClass, 0]));
    for (let step = 0; step < 20_000; step += 10) {
      for (const trafficClass of classes) {
        for (let tries = 0; tries < 50 && link.take(trafficClass, bytes); tries++) {
          sent.set(trafficClass, (sent.get(trafficClass) ?? 0) + bytes);
        }
      }
      clock.runUntil(clock.nowMs() + 10);
    }
    return sent;
  };
  return { link, flood };
}

describe('LinkRateLimiter', () => {
  it('never exceeds the rate by more than the burst', async () => {
    const { flood } = setUp(true);
    const sent = await flood([
      TrafficClass.Requests,
      TrafficClass.StreamText,
      TrafficClass.KvTransfers,
    ]);
    const total = [...sent.values()].reduce((sum, bytes) => sum + bytes, 0);
    expect(total).toBeLessThanOrEqual(rate * 21 + 3_000);
    expect(total).toBeGreaterThan(rate * 19);
  });

  it('gives KV transfers at most 30% of the rate and almost nothing when others use the link', async () => {
    const alone = await setUp(true).flood([TrafficClass.KvTransfers]);
    expect(alone.get(TrafficClass.KvTransfers)).toBeLessThanOrEqual(0.3 * rate * 20 + 2_000);
    const contended = await setUp(true).flood([TrafficClass.Requests, TrafficClass.KvTransfers]);
    expect(contended.get(TrafficClass.KvTransfers)).toBeLessThan(0.02 * rate * 20);
  });

  it('sends no KV transfer unless allowed', async () => {
    const { link, flood } = setUp(false);
    expect((await flood([TrafficClass.KvTransfers])).get(TrafficClass.KvTransfers)).toBe(0);
    expect(link.delayMs(TrafficClass.KvTransfers)).toBe(Infinity);
  });

  it('sends control traffic when requests have used up the link', async () => {
    const { link, flood } = setUp(false);
    await flood([TrafficClass.Requests]);
    expect(link.take(TrafficClass.Requests, 200_000)).toBe(true);
    expect(link.take(TrafficClass.Requests, 1_000)).toBe(false);
    expect(link.take(TrafficClass.Control, 1_000)).toBe(true);
    expect(link.delayMs(TrafficClass.Requests)).toBeGreaterThan(0);
  });
});
