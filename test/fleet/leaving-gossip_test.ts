import { describe, expect, it } from 'vitest';
import { listenInProcess } from '../../bench/histories/process-peers.js';
import { SimulatedProcess } from '../../bench/histories/process.js';
import { Random, VirtualClock } from '../../src/core/index.js';
import { EngineFailure } from '../../src/engine/index.js';
import {
  EndpointRegistry,
  EndpointState,
  LeavingGossip,
  LeavingSet,
  LeavingSource,
  vmLeavingEntry,
} from '../../src/fleet/index.js';
import { Deployment } from '../../src/settings/index.js';
import { RpcPeerTransport, SwimProtocol } from '../../src/membership/index.js';
import {
  MemoryFleet,
  MemoryPeerNetwork,
  regionOf,
  type FleetDaemon,
} from '../../src/standins/index.js';

/** Guarantee P5: time from the first signal after which no new work may be sent. */
const boundMs = 3_000;

function boot(count: number, seed: number) {
  const clock = new VirtualClock();
  const fleet = new MemoryFleet({ clock, seed, regions: 4 });
  fleet.bootMany(count);
  return { clock, fleet };
}

function signal(daemon: FleetDaemon, vmIds: string[], nowMs: number): void {
  daemon.leaving.mergeLocal(
    vmIds.map((vmId) => vmLeavingEntry(vmId, nowMs + 30_000, LeavingSource.Notice, nowMs)),
  );
}

function countDaemonsWithEntry(fleet: MemoryFleet, vmId: string): number {
  return [...fleet.daemons.values()].filter(({ leaving }) => leaving.findEntry(vmId, 0)).length;
}

function registryOf(clock: VirtualClock, daemon: FleetDaemon): EndpointRegistry {
  const registry = new EndpointRegistry({ clock, leaving: daemon.leaving });
  const values = { service: 's', region: 'r', failure_domain: 'f', vm_id: 'vm' };
  registry.applyDeployment(
    Deployment.from(
      new Map([['prod/t/endpoints/a', { ...values, base_url: 'http://10.0.0.1:1' }]]),
    ),
  );
  return registry;
}

describe('LeavingGossip', () => {
  it('stops new work for a leaving endpoint within 3 s on every daemon, also on a starting one', async () => {
    const { clock, fleet } = boot(48, 1);
    await clock.advance(30_000);
    fleet.boot(7);
    await clock.advance(40);
    signal(fleet.daemons.get(20)!, ['vm'], clock.nowMs());
    await clock.advance(10);
    fleet.boot(9);
    // The starting daemon reads a list from before the notice, which still shows the VM as live.
    fleet.daemons.get(9)!.leaving.observeList(
      {
        asOfMs: clock.nowMs() - 20_000,
        vms: [{ vmId: 'vm', startedAtMs: 1, leavingAtMs: undefined }],
      },
      clock.nowMs(),
    );
    await clock.advance(500);
    const late = fleet.boot(11);
    await clock.advance(boundMs - 510);
    expect(countDaemonsWithEntry(fleet, 'vm')).toBe(48);
    expect(late.isReady).toBe(true);
    for (const daemon of fleet.daemons.values()) {
      const registry = registryOf(clock, daemon);
      const id = registry.views('t/s')[0]!.id;
      registry.restore(id);
      registry.recordFailure(id, EngineFailure.TimedOut);
      registry.restore(id);
      expect(registry.view(id)?.state).toBe(EndpointState.Leaving);
    }
  });

  it('reaches every daemon within 3 s while a tenth of the messages is lost', async () => {
    for (let seed = 1; seed <= 5; seed++) {
      const { clock, fleet } = boot(48, seed);
      await clock.advance(30_000);
      const random = new Random(seed);
      fleet.network.isCut = () => random.float() < 0.1;
      signal(fleet.daemons.get(seed)!, ['vm'], clock.nowMs());
      await clock.advance(boundMs);
      expect(countDaemonsWithEntry(fleet, 'vm')).toBe(48);
    }
  });

  it('reaches every daemon when the one with the signal stops after its push', async () => {
    const { clock, fleet } = boot(24, 3);
    await clock.advance(30_000);
    signal(fleet.daemons.get(5)!, ['vm'], clock.nowMs());
    await clock.advance(110);
    fleet.kill(5);
    await clock.advance(boundMs - 110);
    expect(countDaemonsWithEntry(fleet, 'vm')).toBe(23);
  });

  it('merges both sides of a partition of minutes after it heals', async () => {
    const { clock, fleet } = boot(24, 4);
    await clock.advance(30_000);
    fleet.network.isCut = (from, to) => (regionOf(from) === 'r0') !== (regionOf(to) === 'r0');
    await clock.advance(180_000);
    signal(fleet.daemons.get(0)!, ['inside'], clock.nowMs());
    signal(fleet.daemons.get(1)!, ['outside'], clock.nowMs());
    await clock.advance(boundMs);
    expect([
      countDaemonsWithEntry(fleet, 'inside'),
      countDaemonsWithEntry(fleet, 'outside'),
    ]).toEqual([6, 18]);
    fleet.network.isCut = () => false;
    await clock.advance(60_000);
    expect([
      countDaemonsWithEntry(fleet, 'inside'),
      countDaemonsWithEntry(fleet, 'outside'),
    ]).toEqual([24, 24]);
  });

  it('reaches a partitioned region within 3 s of the end of the partition', async () => {
    const { clock, fleet } = boot(16, 5);
    await clock.advance(30_000);
    fleet.network.isCut = (from, to) => (regionOf(from) === 'r0') !== (regionOf(to) === 'r0');
    // Long enough for membership to declare the region dead, so that only lost members are left.
    await clock.advance(25_000);
    signal(fleet.daemons.get(1)!, ['vm'], clock.nowMs());
    await clock.advance(5_000);
    fleet.network.isCut = () => false;
    await clock.advance(boundMs);
    expect(countDaemonsWithEntry(fleet, 'vm')).toBe(16);
  });

  it('is not current after a pause until the missed entries are pulled from a peer', async () => {
    const clock = new VirtualClock();
    const network = new MemoryPeerNetwork({ clock });
    const paused = new SimulatedProcess(clock);
    const start = (id: string, process: SimulatedProcess) => {
      const peers = listenInProcess(network, `http://${id}`, process);
      const membership = new SwimProtocol({
        self: { id, rpcUrl: peers.url, adminUrl: peers.url, region: 'r', failureDomain: 'f' },
        transport: new RpcPeerTransport(peers.caller, peers.methods),
        clock: process,
        random: new Random(1),
        seeds: () => ['http://a', 'http://b'],
      });
      const leaving = new LeavingSet();
      const options = { leaving, membership, clock: process, random: new Random(2) };
      const gossip = new LeavingGossip({ ...options, ...peers });
      membership.start();
      void membership.join().then(() => gossip.pullBeforeReady());
      return { leaving, gossip };
    };
    const a = start('a', paused);
    const b = start('b', new SimulatedProcess(clock));
    await clock.advance(10_000);
    expect(a.gossip.isCurrent).toBe(true);
    paused.pause();
    const nowMs = clock.nowMs();
    b.leaving.mergeLocal([vmLeavingEntry('vm', nowMs + 30_000, LeavingSource.Notice, nowMs)]);
    await clock.advance(10_000);
    expect(a.gossip.isCurrent).toBe(false);
    paused.resume();
    expect(a.gossip.isCurrent).toBe(false);
    await clock.advance(1_000);
    expect(a.gossip.isCurrent).toBe(true);
    expect(a.leaving.findEntry('vm', 0)).toBeDefined();
  });

  it('makes all daemons ready when all restart at once without a peer to pull from', async () => {
    const { clock, fleet } = boot(24, 5);
    await clock.advance(10_000);
    expect([...fleet.daemons.values()].every(({ isReady }) => isReady)).toBe(true);
    signal(fleet.daemons.get(2)!, ['vm'], clock.nowMs());
    await clock.advance(boundMs);
    expect(countDaemonsWithEntry(fleet, 'vm')).toBe(24);
  });

  it('spreads signals received by all daemons at once without a push from each to all others', async () => {
    const { clock, fleet } = boot(48, 6);
    await clock.advance(60_000);
    const messages = () =>
      [...fleet.daemons.values()].reduce(
        (sum, { url }) => sum + fleet.network.traffic(url).messages,
        0,
      );
    const before = messages();
    for (const daemon of fleet.daemons.values()) signal(daemon, ['a', 'b', 'c'], clock.nowMs());
    await clock.advance(1_000);
    // Pushes from each of 48 daemons to all others would take 2 x 48 x 47 = 4,512 messages.
    expect(messages() - before).toBeLessThan(1_500);
  });
});
