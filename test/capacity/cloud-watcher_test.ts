import { describe, expect, it } from 'vitest';
import { CloudWatcher, SourceFreshness } from '../../src/capacity/index.js';
import { VirtualClock } from '../../src/core/index.js';
import { MemoryCloud, MemoryFleet } from '../../src/standins/index.js';

describe('CloudWatcher', () => {
  it('spreads a notice to every daemon within 3 s although only two per region poll', async () => {
    const clock = new VirtualClock();
    const fleet = new MemoryFleet({ clock, seed: 1, regions: 3 });
    const cloud = new MemoryCloud({ clock, offers: [] });
    fleet.bootMany(24);
    const watchers = [...fleet.daemons.values()].map(({ membership, leaving }) => {
      const region = membership.self.region;
      const freshness = new SourceFreshness(clock);
      const watcher = new CloudWatcher({ cloud, region, leaving, membership, clock, freshness });
      watcher.start();
      return watcher;
    });
    const vmId = await cloud.createVm({
      token: 't',
      serviceId: 's',
      region: 'r1',
      failureDomain: 'r1-1',
      vmClass: 'standard',
      reclaimable: true,
    });
    await clock.advance(30_000);
    expect(watchers.filter((watcher) => watcher.isPoller())).toHaveLength(6);
    cloud.reclaim(vmId, 30_000);
    await clock.advance(500);
    const late = fleet.boot(8);
    await clock.advance(2_500);
    for (const { leaving } of fleet.daemons.values()) {
      expect(leaving.findEntry(vmId, clock.nowMs())).toBeDefined();
    }
    expect(late.isReady).toBe(true);
    for (const watcher of watchers) watcher.stop();
  });
});
