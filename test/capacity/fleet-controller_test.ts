import { describe, expect, it } from 'vitest';
import {
  CloudWatcher,
  FleetController,
  InformationAge,
  type VmOffer,
} from '../../src/capacity/index.js';
import { Random, VirtualClock } from '../../src/core/index.js';
import { LeavingMerge } from '../../src/fleet/index.js';
import { RpcPeerTransport, SwimProtocol } from '../../src/membership/index.js';
import { serviceSchema } from '../../src/settings/index.js';
import {
  MemoryCloud,
  MemoryControlStream,
  MemoryLeaseKeeper,
  MemoryPeerNetwork,
} from '../../src/standins/index.js';

const offers: VmOffer[] = ['seoul-a', 'seoul-b'].flatMap((failureDomain) => [
  { failureDomain, vmClass: 'standard', reclaimable: true, priceUsdPerHour: 1 },
  { failureDomain, vmClass: 'standard', reclaimable: false, priceUsdPerHour: 3 },
]);
const settings = serviceSchema.parse({ kind: 'engine', reclaimable_ratio_max: '1' });

class World {
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
    const leaving = new LeavingMerge();
    const age = new InformationAge(this.clock);
    const { clock, cloud } = this;
    const watcher = new CloudWatcher({ cloud, region: 'seoul', leaving, membership, clock, age });
    watcher.start();
    const controller = new FleetController({
      serviceId: 't/chat',
      region: 'seoul',
      clock,
      random: new Random(2),
      cloud,
      leases: new MemoryLeaseKeeper(this.stream),
      intents: this.stream,
      leaving,
      age,
      list: () => watcher.latest,
      settings: () => settings,
      targetVms: () => this.targetVms,
      weightLoadMs: () => 60_000,
    });
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
  it('spreads VMs so that the loss of a failure domain keeps the target', async () => {
    const world = new World();
    world.boot('d1');
    await world.clock.advance(60_000);
    const domains = world.cloud.running().map(({ failureDomain }) => failureDomain);
    expect(domains.filter((domain) => domain === 'seoul-a')).toHaveLength(4);
    expect(domains).toHaveLength(8);
  });

  it('does not buy twice when all create answers are lost', async () => {
    const world = new World();
    world.cloud.faults.losesCreateAnswers = true;
    world.boot('d1');
    await world.clock.advance(60_000);
    world.cloud.faults.losesCreateAnswers = false;
    await world.clock.advance(300_000);
    expect(world.cloud.startedCount).toBe(8);
  });

  it('does not buy twice when the holder dies with unanswered creates', async () => {
    const world = new World();
    world.cloud.faults.losesCreateAnswers = true;
    const first = world.boot('d1');
    await world.clock.advance(2_500);
    first.kill();
    expect(world.cloud.startedCount).toBeGreaterThan(0);
    world.cloud.faults.losesCreateAnswers = false;
    world.boot('d2');
    await world.clock.advance(300_000);
    expect(world.cloud.startedCount).toBe(8);
    expect(world.serving()).toBe(8);
  });

  it('replaces a reclaimed failure domain although its restarts are refused at first', async () => {
    const world = new World();
    world.boot('d1');
    await world.clock.advance(60_000);
    let refusals = 0;
    world.cloud.faults.refuses = ({ failureDomain }) => {
      if (failureDomain === 'seoul-a') refusals++;
      return failureDomain === 'seoul-a';
    };
    world.cloud.reclaimDomain('seoul-a', 15_000);
    await world.clock.advance(120_000);
    expect(world.serving()).toBe(4);
    expect(refusals).toBeLessThan(60);
    world.cloud.faults.refuses = () => false;
    await world.clock.advance(310_000);
    expect(world.serving()).toBe(8);
  });

  it('makes no large move on a list that stands still', async () => {
    const world = new World();
    world.boot('d1');
    await world.clock.advance(60_000);
    const started = world.cloud.startedCount;
    world.cloud.faults.isListFrozen = true;
    await world.clock.advance(40_000);
    world.targetVms = 20;
    await world.clock.advance(120_000);
    expect(world.cloud.startedCount).toBe(started);
    world.cloud.reclaimDomain('seoul-b', 5_000);
    await world.clock.advance(150_000);
    expect(world.cloud.startedCount - started).toBeGreaterThanOrEqual(2);
    expect(world.cloud.startedCount - started).toBeLessThanOrEqual(3);
  });

  it('starts nothing while the log is down, however many VMs are missing', async () => {
    const world = new World();
    world.boot('d1');
    await world.clock.advance(60_000);
    const started = world.cloud.startedCount;
    world.stream.isDown = true;
    world.cloud.reclaimDomain('seoul-a', 5_000);
    await world.clock.advance(120_000);
    expect(world.cloud.startedCount).toBe(started);
    world.stream.isDown = false;
    await world.clock.advance(60_000);
    expect(world.serving()).toBe(8);
  });

  it('gives surplus VMs back slowly', async () => {
    const world = new World();
    world.boot('d1');
    await world.clock.advance(60_000);
    world.targetVms = 2;
    await world.clock.advance(590_000);
    expect(world.serving()).toBe(8);
    await world.clock.advance(60_000);
    expect(world.serving()).toBeGreaterThanOrEqual(6);
    await world.clock.advance(3_600_000);
    expect(world.cloud.running()).toHaveLength(4);
  });
});
