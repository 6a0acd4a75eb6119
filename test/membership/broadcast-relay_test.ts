import { beforeEach, describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import {
  BroadcastKind,
  encodeBatch,
  grantMessage,
  leavingMessage,
  type BroadcastBatch,
} from '../../src/membership/broadcast-message.js';
import { BroadcastRelay, type BroadcastRoutes } from '../../src/membership/broadcast-relay.js';

/** Longest datagram that passes any link without fragments. */
const maxDatagramBytes = 1_472;

interface Daemon {
  readonly relay: BroadcastRelay;
  readonly received: Set<string>;
  sent: number;
  arrived: number;
  isDead: boolean;
}

/** Daemons in groups; the address of each is its name. */
class Fleet {
  readonly clock = new VirtualClock();
  readonly daemons = new Map<string, Daemon>();
  readonly groups: string[][];
  /** Distributor of each group, as its members know it. */
  readonly distributors: string[];
  longestBytes = 0;

  constructor(groupCount: number, groupSize: number) {
    this.groups = Array.from({ length: groupCount }, (_, group) =>
      Array.from({ length: groupSize }, (_member, number) => `g${group}-${number}`),
    );
    this.distributors = this.groups.map((group) => group[0]!);
    for (const [index, group] of this.groups.entries()) {
      for (const name of group) this.#add(name, index);
    }
  }

  /** Each daemon reports once, as in each reporting period. */
  async report(): Promise<void> {
    for (const [daemon, { relay, isDead }] of this.daemons) {
      const counts = { tenders: 12_345, quotes: 678 };
      const report = { daemon, incarnation: 1, granted: counts, asked: counts };
      if (!isDead) relay.publish(grantMessage(report));
    }
    await this.clock.advance(1_000);
  }

  /** Names of sound daemons that a sound daemon has not received from, over all of them. */
  get missing(): string[] {
    const sound = [...this.daemons].filter(([, { isDead }]) => !isDead);
    return sound.flatMap(([name, { received }]) =>
      sound
        .filter(([other]) => other !== name && !received.has(other))
        .map(([other]) => `${other} at ${name}`),
    );
  }

  #add(name: string, group: number): void {
    const daemon: Daemon = {
      relay: new BroadcastRelay({
        daemon: name,
        address: name,
        routes: () => this.#routes(name, group),
        send: (address, batch) => {
          this.#send(daemon, address, batch);
        },
        deliver: (message) => {
          if (message[0] === BroadcastKind.Grants) daemon.received.add(message[1]);
          if (message[0] === BroadcastKind.Leaving) daemon.received.add(message[1]);
        },
        clock: this.clock,
      }),
      received: new Set(),
      sent: 0,
      arrived: 0,
      isDead: false,
    };
    this.daemons.set(name, daemon);
  }

  #routes(name: string, group: number): BroadcastRoutes {
    const distributor = this.distributors[group];
    return {
      peers: undefined,
      distributor: distributor === name ? undefined : distributor,
      members: this.groups[group]!.filter((member) => member !== name),
      otherGroups: this.groups.filter((_, index) => index !== group),
    };
  }

  #send(sender: Daemon, address: string, batch: BroadcastBatch): void {
    sender.sent += 1;
    this.longestBytes = Math.max(this.longestBytes, encodeBatch(batch).length);
    const receiver = this.daemons.get(address)!;
    if (receiver.isDead) return;
    receiver.arrived += 1;
    this.clock.schedule(this.clock.nowMs() + 12, () => {
      receiver.relay.receive(batch);
    });
  }
}

describe('BroadcastRelay', () => {
  describe('many daemons', () => {
    let fleet: Fleet;

    beforeEach(() => {
      fleet = new Fleet(6, 32);
    });

    it('reach each other, those of other groups included', async () => {
      await fleet.report();
      expect(fleet.missing).toEqual([]);
    });

    it('pass a leaving endpoint on once, though many are told of it at once', async () => {
      const arrived = async (reporters: number): Promise<number> => {
        fleet = new Fleet(6, 32);
        const names = [...fleet.daemons.keys()].filter((name) => name.endsWith('-7'));
        for (const name of names.slice(0, reporters)) {
          fleet.daemons.get(name)!.relay.publish(leavingMessage(name, 'e#1', 0));
        }
        await fleet.clock.advance(1_000);
        const daemons = [...fleet.daemons.values()];
        expect(daemons.filter(({ received }) => received.has('e#1')).length).toBeGreaterThan(190);
        return daemons.reduce((sum, daemon) => sum + daemon.arrived, 0);
      };
      const byOne = await arrived(1);
      expect(await arrived(6)).toBeLessThan(2 * byOne);
    });

    it('send one datagram for a message each, whatever their number', async () => {
      await fleet.report();
      const members = [...fleet.daemons].filter(([name]) => !fleet.distributors.includes(name));
      for (const [, { sent }] of members) expect(sent).toBe(1);
    });

    it('receive far fewer datagrams than there are messages', async () => {
      await fleet.report();
      for (const { arrived } of fleet.daemons.values()) expect(arrived).toBeLessThan(192 / 2);
    });

    it('keep to datagrams that pass every link whole', async () => {
      await fleet.report();
      expect(fleet.longestBytes).toBeLessThanOrEqual(maxDatagramBytes);
    });
  });

  it('reaches the members of a group whose distributor has changed, once that one sends', async () => {
    const fleet = new Fleet(3, 8);
    await fleet.report();
    fleet.daemons.get('g1-0')!.isDead = true;
    fleet.distributors[1] = 'g1-3';
    await fleet.report();
    for (const { received } of fleet.daemons.values()) received.clear();
    await fleet.report();
    expect(fleet.missing).toEqual([]);
  });

  it('drops messages above its bound, so that a flood of datagrams does not fill the memory', async () => {
    const fleet = new Fleet(2, 4);
    const { relay } = fleet.daemons.get('g0-0')!;
    const report = { daemon: 'x', incarnation: 1, granted: {}, asked: {} };
    for (let number = 0; number < 20_000; number++) relay.publish(grantMessage(report));
    expect(relay.dropped).toBeGreaterThan(0);
    await fleet.clock.advance(1_000);
  });
});
