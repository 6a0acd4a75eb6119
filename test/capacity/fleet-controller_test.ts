import { describe, expect, it } from 'vitest';
import {
  CloudWatcher,
  FleetController,
  SourceFreshness,
  isTopRanked,
  type VmOffer,
} from '../../src/capacity/index.js';
import { Random, VirtualClock } from '../../src/core/index.js';
import { LeavingSet } from '../../src/fleet/index.js';
import { RpcPeerTransport, SwimProtocol } from '../../src/membership/index.js';
import { serviceSchema } from '../../src/settings/index.js';
import {
  MemoryCloud,
  MemoryControlStream,
  MemoryLeaseManager,
  MemoryPeerNetwork,
} from '../../src/standins/index.js';

const offers: VmOffer[] = ['seoul-a', 'seoul-b'].flatMap((failureDomain) => [
  { failureDomain, vmClass: 'standard', reclaimable: true, priceUsdPerHour: 1 },
  { failureDomain, vmClass: 'standard', reclaimable: false, priceUsdPerHour: 3 },
]);
const settings = serviceSchema.parse({ kind: 'engine', reclaimable_ratio_max: '1' });

class TestRegion {
  readonly clock = new VirtualClock();
  readonly cloud = new MemoryCloud({ clock: this.clock, offers });
  readonly stream = new MemoryControlStream(this.clock);
  readonly network = new MemoryPeerNetwork({ clock: this.clock });
  targetVms = 4;

  boot(name: string): { controller: FleetController; kill: () => void } {
    const url = `http://${name}`;
    const { caller, methods } = this.network.listen(url);
    const membership = new SwimProtocol({
      self: { id: name, rpcUrl: url, adminUrl: url, region: 'seoul', failureDomain: 'seoul-a' },
      transport: new RpcPeerTransport(caller, methods),
      clock: this.clock,
      random: new Random(1),
      seeds: () => [],
    });
    const leaving = new LeavingSet();
    const freshness = new SourceFreshness(this.clock);
    const { clock, cloud } = this;
    const watcher: CloudWatcher = new CloudWatcher({
      cloud,
      region: 'seoul',
      leaving,
      membership,
      clock,
      freshness,
      shouldAlwaysPoll: () => controller.isLeaseHolder,
    });
    const controller: FleetController = new FleetController({
      serviceId: 't/chat',
      region: 'seoul',
      clock,
      random: new Random(2),
      cloud,
      leases: new MemoryLeaseManager(this.stream),
      isCandidate: () => isTopRanked(membership, 'seoul', 't/chat', 3),
      intents: this.stream,
      leaving,
      freshness,
      list: () => watcher.latestList,
      settings: () => settings,
      targetVms: () => this.targetVms,
      weightLoadMs: () => 60_000,
    });
    watcher.start();
    const stopTicking = clock.every(1_000, () => void controller.tick());
    return {
      controller,
      kill: () => {
        watcher.stop();
        stopTicking();
      },
    };
  }

  serving(): number {
    return this.cloud.running().filter(({ leavingAtMs }) => leavingAtMs === undefined).length;
  }
}

describe('FleetController', () => {
  it('spreads VMs so that the target is met after the loss of a failure domain', async () => {
    const testRegion = new TestRegion();
    testRegion.boot('d1');
    await testRegion.clock.advance(60_000);
    const domains = testRegion.cloud.running().map(({ failureDomain }) => failureDomain);
    expect(domains.filter((domain) => domain === 'seoul-a')).toHaveLength(4);
    expect(domains).toHaveLength(8);
  });

  it('starts no extra VMs when all create responses are lost', async () => {
    const testRegion = new TestRegion();
    testRegion.cloud.faults.losesCreateAnswers = true;
    testRegion.boot('d1');
    await testRegion.clock.advance(60_000);
    testRegion.cloud.faults.losesCreateAnswers = false;
    await testRegion.clock.advance(300_000);
    expect(testRegion.cloud.startedCount).toBe(8);
  });

  it('starts no extra VMs when the holder dies with unanswered creates', async () => {
    const testRegion = new TestRegion();
    testRegion.cloud.faults.losesCreateAnswers = true;
    const first = testRegion.boot('d1');
    await testRegion.clock.advance(2_500);
    first.kill();
    expect(testRegion.cloud.startedCount).toBeGreaterThan(0);
    testRegion.cloud.faults.losesCreateAnswers = false;
    testRegion.boot('d2');
    await testRegion.clock.advance(300_000);
    expect(testRegion.cloud.startedCount).toBe(8);
    expect(testRegion.serving()).toBe(8);
  });

  it('sends nothing after a pause longer than the lease; the next holder sends the creates', async () => {
    const testRegion = new TestRegion();
    testRegion.stream.recordDelayMs = 12_000;
    testRegion.boot('d1');
    await testRegion.clock.advance(5_000);
    expect(testRegion.stream.intentsOf('control/t/chat/seoul').length).toBe(1);
    testRegion.stream.recordDelayMs = 0;
    testRegion.boot('d2');
    await testRegion.clock.advance(6_000);
    expect(testRegion.cloud.startedCount).toBe(0);
    await testRegion.clock.advance(300_000);
    expect(testRegion.cloud.startedCount).toBe(8);
    expect(testRegion.serving()).toBe(8);
  });

  it('replaces a reclaimed failure domain whose starts are refused at first', async () => {
    const testRegion = new TestRegion();
    testRegion.boot('d1');
    await testRegion.clock.advance(60_000);
    let refusals = 0;
    testRegion.cloud.faults.refuses = ({ failureDomain }) => {
      if (failureDomain === 'seoul-a') refusals++;
      return failureDomain === 'seoul-a';
    };
    testRegion.cloud.reclaimDomain('seoul-a', 15_000);
    await testRegion.clock.advance(120_000);
    expect(testRegion.serving()).toBe(4);
    expect(refusals).toBeLessThan(60);
    testRegion.cloud.faults.refuses = () => false;
    await testRegion.clock.advance(310_000);
    expect(testRegion.serving()).toBe(8);
  });

  it('replaces only single lost VMs while the list is stale', async () => {
    const testRegion = new TestRegion();
    testRegion.boot('d1');
    await testRegion.clock.advance(60_000);
    const started = testRegion.cloud.startedCount;
    testRegion.cloud.faults.isListFrozen = true;
    await testRegion.clock.advance(40_000);
    testRegion.targetVms = 20;
    await testRegion.clock.advance(120_000);
    expect(testRegion.cloud.startedCount).toBe(started);
    testRegion.cloud.reclaimDomain('seoul-b', 5_000);
    await testRegion.clock.advance(150_000);
    expect(testRegion.cloud.startedCount - started).toBeGreaterThanOrEqual(2);
    expect(testRegion.cloud.startedCount - started).toBeLessThanOrEqual(3);
  });

  it('starts nothing while the log is down, regardless of how many VMs are missing', async () => {
    const testRegion = new TestRegion();
    testRegion.boot('d1');
    await testRegion.clock.advance(60_000);
    const started = testRegion.cloud.startedCount;
    testRegion.stream.isDown = true;
    testRegion.cloud.reclaimDomain('seoul-a', 5_000);
    await testRegion.clock.advance(120_000);
    expect(testRegion.cloud.startedCount).toBe(started);
    testRegion.stream.isDown = false;
    await testRegion.clock.advance(60_000);
    expect(testRegion.serving()).toBe(8);
  });

  it('deletes surplus VMs slowly', async () => {
    const testRegion = new TestRegion();
    testRegion.boot('d1');
    await testRegion.clock.advance(60_000);
    testRegion.targetVms = 2;
    await testRegion.clock.advance(590_000);
    expect(testRegion.serving()).toBe(8);
    await testRegion.clock.advance(60_000);
    expect(testRegion.serving()).toBeGreaterThanOrEqual(6);
    await testRegion.clock.advance(3_600_000);
    expect(testRegion.cloud.running()).toHaveLength(4);
  });
});
