import { describe, expect, it } from 'vitest';
import { Random, VirtualClock } from '../../src/core/index.js';
import { MemberStatus, RpcPeerTransport, SwimProtocol } from '../../src/membership/index.js';
import { MemoryPeerNetwork } from '../../src/standins/index.js';

class Cluster {
  readonly clock = new VirtualClock();
  readonly network = new MemoryPeerNetwork({ clock: this.clock });
  readonly daemons = new Map<string, SwimProtocol>();

  url(index: number): string {
    return `http://${index % 2 === 0 ? 'east' : 'west'}-${index}:7000`;
  }

  boot(index: number, seed = index): SwimProtocol {
    const url = this.url(index);
    const { caller, methods } = this.network.listen(url);
    const daemon = new SwimProtocol({
      self: {
        id: `d${index}`,
        rpcUrl: url,
        adminUrl: url,
        region: index % 2 === 0 ? 'east' : 'west',
        failureDomain: `f${index % 4}`,
      },
      transport: new RpcPeerTransport(caller, methods),
      clock: this.clock,
      random: new Random(seed),
      seeds: () => [this.url(0), this.url(1)],
    });
    this.daemons.set(daemon.self.id, daemon);
    void daemon.join();
    daemon.start();
    return daemon;
  }

  bootMany(count: number): void {
    for (let index = 0; index < count; index++) this.boot(index);
  }

  kill(index: number): void {
    this.network.close(this.url(index));
    this.daemons.get(`d${index}`)?.stop();
    this.daemons.delete(`d${index}`);
  }

  counts(): number[] {
    return [...this.daemons.values()].map((daemon) => daemon.members().length);
  }
}

describe('SwimProtocol', () => {
  it('finds all daemons when all start at once and no seed answers at first', async () => {
    const cluster = new Cluster();
    cluster.network.isCut = () => true;
    cluster.bootMany(16);
    await cluster.clock.advance(3_000);
    cluster.network.isCut = () => false;
    await cluster.clock.advance(30_000);
    expect(cluster.counts()).toEqual(Array(16).fill(16));
  });

  it('removes a killed daemon everywhere and no live one', async () => {
    const cluster = new Cluster();
    cluster.bootMany(16);
    await cluster.clock.advance(20_000);
    cluster.kill(5);
    await cluster.clock.advance(40_000);
    expect(cluster.counts()).toEqual(Array(15).fill(15));
    expect(cluster.daemons.get('d0')?.member('d5')?.status).toBe(MemberStatus.Dead);
  });

  it('readmits a daemon that restarts under a new incarnation', async () => {
    const cluster = new Cluster();
    cluster.bootMany(8);
    await cluster.clock.advance(20_000);
    const before = cluster.daemons.get('d3')?.self.incarnation ?? 0;
    cluster.kill(3);
    await cluster.clock.advance(10_000);
    cluster.boot(3, 99);
    await cluster.clock.advance(20_000);
    expect(cluster.counts()).toEqual(Array(8).fill(8));
    expect(cluster.daemons.get('d0')?.member('d3')?.incarnation).toBeGreaterThan(before);
  });

  it('merges the sides of a partition of minutes and counts the lost members during it', async () => {
    const cluster = new Cluster();
    cluster.bootMany(12);
    await cluster.clock.advance(20_000);
    cluster.network.isCut = (from, to) => from.includes('east') !== to.includes('east');
    await cluster.clock.advance(300_000);
    expect(cluster.counts()).toEqual(Array(12).fill(6));
    expect(cluster.daemons.get('d0')?.recentMemberCount()).toBe(12);
    cluster.network.isCut = () => false;
    await cluster.clock.advance(60_000);
    expect(cluster.counts()).toEqual(Array(12).fill(12));
  });

  it('keeps a member that only one daemon cannot reach', async () => {
    const cluster = new Cluster();
    cluster.bootMany(8);
    await cluster.clock.advance(20_000);
    cluster.network.isCut = (from, to) => from === cluster.url(2) && to === cluster.url(6);
    await cluster.clock.advance(60_000);
    expect(cluster.counts()).toEqual(Array(8).fill(8));
  });

  it('distinguishes a planned stop from a loss', async () => {
    const cluster = new Cluster();
    cluster.bootMany(6);
    await cluster.clock.advance(20_000);
    void cluster.daemons.get('d4')?.leave();
    await cluster.clock.advance(1_000);
    cluster.kill(4);
    await cluster.clock.advance(20_000);
    expect(cluster.counts()).toEqual(Array(5).fill(5));
    expect(cluster.daemons.get('d1')?.member('d4')?.status).toBe(MemberStatus.Left);
    expect(cluster.daemons.get('d1')?.recentMemberCount()).toBe(5);
  });

  it('estimates the demand of all daemons and sends at most 32 workspaces', async () => {
    const cluster = new Cluster();
    cluster.bootMany(10);
    await cluster.clock.advance(10_000);
    const many = new Map(Array.from({ length: 100 }, (_, index) => [`t/w${index}`, 100 - index]));
    for (const daemon of cluster.daemons.values()) daemon.setDemand(many);
    await cluster.clock.advance(40_000);
    const daemon = cluster.daemons.get('d0');
    expect(daemon?.demandOf('t/w0').totalPerS).toBeCloseTo(1_000, 0);
    expect(daemon?.demandOf('t/w0').reportingDaemons).toBe(9);
    expect(daemon?.demandOf('t/w99').totalPerS).toBe(1);
  });
});
