import { Random, type Clock } from '../core/index.js';
import { LeavingGossip, LeavingSet } from '../fleet/index.js';
import { RpcPeerTransport, SwimProtocol } from '../membership/index.js';
import { MemoryPeerNetwork } from './memory-peer-network.js';

/** Options of {@link MemoryFleet}. */
export interface MemoryFleetOptions {
  readonly clock: Clock;
  readonly seed: number;
  readonly regions: number;
  /** One-way delay between regions; within one it is 1 ms. */
  readonly regionDelayMs?: number;
}

/** The control parts of one daemon. */
export interface FleetDaemon {
  readonly url: string;
  readonly membership: SwimProtocol;
  readonly leaving: LeavingSet;
  readonly gossip: LeavingGossip;
  /** Set when the leaving set was pulled, after which a daemon may take requests. */
  isReady: boolean;
}

/**
 * Many daemons' membership and leaving sets in one process, for tests and benchmarks.
 *
 * @example
 * ```ts
 * const fleet = new MemoryFleet({ clock, seed: 1, regions: 3 });
 * fleet.bootMany(48);
 * await clock.advance(30_000);
 * ```
 */
export class MemoryFleet {
  readonly network: MemoryPeerNetwork;
  readonly daemons = new Map<number, FleetDaemon>();
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #regions: number;

  constructor(options: MemoryFleetOptions) {
    this.#clock = options.clock;
    this.#random = new Random(options.seed);
    this.#regions = options.regions;
    const regionDelayMs = options.regionDelayMs ?? 12;
    this.network = new MemoryPeerNetwork({
      clock: options.clock,
      delayMs: (from, to) => (regionOf(from) === regionOf(to) ? 1 : regionDelayMs),
    });
  }

  /** Starts a daemon, or restarts it with empty memory. */
  boot(index: number): FleetDaemon {
    this.kill(index);
    const region = `r${index % this.#regions}`;
    const url = `http://${region}.d${index}:7000`;
    const { caller, methods } = this.network.listen(url);
    const membership = new SwimProtocol({
      self: {
        id: `d${index}`,
        rpcUrl: url,
        adminUrl: url,
        region,
        failureDomain: `${region}-${index % 4}`,
      },
      transport: new RpcPeerTransport(caller, methods),
      clock: this.#clock,
      random: this.#random.fork(),
      seeds: () => this.#seeds(),
    });
    const leaving = new LeavingSet();
    const gossip = new LeavingGossip({
      leaving,
      membership,
      caller,
      methods,
      clock: this.#clock,
      random: this.#random.fork(),
    });
    const daemon: FleetDaemon = { url, membership, leaving, gossip, isReady: false };
    this.daemons.set(index, daemon);
    void this.#start(daemon);
    return daemon;
  }

  bootMany(count: number): void {
    for (let index = 0; index < count; index++) this.boot(index);
  }

  /** Ends a daemon without a farewell. */
  kill(index: number): void {
    const daemon = this.daemons.get(index);
    if (!daemon) return;
    daemon.membership.stop();
    this.network.close(daemon.url);
    this.daemons.delete(index);
  }

  async #start(daemon: FleetDaemon): Promise<void> {
    daemon.membership.start();
    await daemon.membership.join();
    await daemon.gossip.pullBeforeReady();
    daemon.isReady = true;
  }

  /** The first daemon of each region, as settings would name them. */
  #seeds(): string[] {
    return Array.from({ length: this.#regions }, (_, index) => `http://r${index}.d${index}:7000`);
  }
}

/** Region part of a daemon's URL. */
export function regionOf(url: string): string {
  return new URL(url).hostname.split('.', 1)[0] ?? '';
}
