import { describe, expect, it } from 'vitest';
import { WeightLoadScheduler } from '../../src/capacity/index.js';
import { VirtualClock } from '../../src/core/index.js';
import { MemoryWeightStore } from '../../src/standins/index.js';

const modelBytes = 1_000;

function setUp(storeRate: number, assumedRate: number) {
  const clock = new VirtualClock();
  const store = new MemoryWeightStore({ clock, rateBytesPerS: storeRate, modelBytes });
  const scheduler = new WeightLoadScheduler({ clock, store, rateBytesPerS: assumedRate });
  const load = (failureDomain: string, index: number): void => {
    const endpointId = `${failureDomain}-${index}`;
    const request = { token: endpointId, endpointId, failureDomain, model: 'm', version: '1' };
    void scheduler.load(request);
  };
  return { clock, store, scheduler, load };
}

describe('WeightLoadScheduler', () => {
  it('serves two failure domains that return at the same time at the same pace, within the rate', async () => {
    const { clock, store, scheduler, load } = setUp(1_000, 1_000);
    for (let index = 0; index < 10; index++) load('a', index);
    for (let index = 0; index < 10; index++) load('b', index);
    await clock.advance(10_000);
    const served = store.loads.map(({ request }) => request.failureDomain);
    for (let count = 2; count <= served.length; count += 2) {
      expect(served.slice(0, count).filter((domain) => domain === 'a')).toHaveLength(count / 2);
    }
    await clock.advance(12_000);
    expect(store.loads).toHaveLength(20);
    expect(store.refusals).toBe(0);
    expect(scheduler.waitingCount).toBe(0);
  });

  it('does not serve a domain that was idle for long exclusively', async () => {
    const { clock, store, load } = setUp(1_000, 1_000);
    for (let index = 0; index < 20; index++) load('a', index);
    await clock.advance(9_500);
    for (let index = 0; index < 5; index++) load('b', index);
    await clock.advance(6_000);
    const served = store.loads.slice(10).map(({ request }) => request.failureDomain);
    expect(served.filter((domain) => domain === 'a').length).toBeGreaterThanOrEqual(2);
    expect(served.filter((domain) => domain === 'b').length).toBeGreaterThanOrEqual(2);
  });

  it('slows down at the rate limit of the store instead of retrying, and still finishes', async () => {
    const { clock, store, load } = setUp(500, 2_000);
    for (let index = 0; index < 20; index++) load('a', index);
    await clock.advance(90_000);
    expect(store.loads).toHaveLength(20);
    expect(store.refusals).toBeLessThan(40);
  });

  it('starts each load once when the responses of the store are lost', async () => {
    const { clock, store, load } = setUp(1_000, 1_000);
    store.losesAnswers = true;
    for (let index = 0; index < 3; index++) load('a', index);
    await clock.advance(10_000);
    expect(store.loads).toHaveLength(1);
    store.losesAnswers = false;
    await clock.advance(10_000);
    expect(store.loads.map(({ request }) => request.token)).toEqual(['a-0', 'a-1', 'a-2']);
  });
});
