import { Random, VirtualClock } from '../../src/core/index.js';
import { PeerLeavings } from '../../src/fleet/peer-leavings.js';
import {
  BroadcastKind,
  encodeBatch,
  leavingMessage,
  type BroadcastBatch,
} from '../../src/membership/broadcast-message.js';
import { BroadcastRelay, type BroadcastRoutes } from '../../src/membership/broadcast-relay.js';
import { NullEventLog } from '../../src/telemetry/index.js';

const windowMs = 60_000;
const transitMs = 12;
const maxDirectPeers = 15;
const groupCount = 6;

/** A wave of endpoints that leave by their responses while their registrations are silent. */
export interface LeavingWave {
  readonly daemons: number;
  readonly endpoints: number;
  /** Endpoints that leave at once. */
  readonly leaving: number;
  readonly requestsPerS: number;
}

/** Datagram bytes of a daemon over a minute with the wave. */
export interface LeavingTraffic {
  /** Bytes a second sent and received, without those of UDP and IP. */
  readonly meanBytesPerS: number;
  readonly busiestBytesPerS: number;
  /** Requests that reached leaving endpoints. */
  readonly arrivals: number;
  /** The same without reports. */
  readonly arrivalsAlone: number;
}

interface Daemon {
  readonly relay: BroadcastRelay;
  readonly leavings: PeerLeavings;
  /** Endpoints that told this daemon themselves. */
  readonly told: Set<number>;
  bytes: number;
}

/** Plays the wave over the real relay of broadcasts, on virtual time. */
export async function measureLeavingTraffic(wave: LeavingWave): Promise<LeavingTraffic> {
  const shared = await play(wave, true);
  const alone = await play(wave, false);
  const perS = shared.daemons.map(({ bytes }) => bytes / (windowMs / 1_000));
  return {
    meanBytesPerS: perS.reduce((sum, bytes) => sum + bytes, 0) / perS.length,
    busiestBytesPerS: Math.max(...perS),
    arrivals: shared.arrivals,
    arrivalsAlone: alone.arrivals,
  };
}

async function play(
  { daemons: count, endpoints, leaving, requestsPerS }: LeavingWave,
  isShared: boolean,
): Promise<{ readonly daemons: readonly Daemon[]; readonly arrivals: number }> {
  const clock = new VirtualClock();
  const random = new Random(7);
  const daemons: Daemon[] = [];
  for (let index = 0; index < count; index++) daemons.push(newDaemon(clock, daemons, index, count));
  let arrivals = 0;
  // Leaving endpoints serve for the drain bound; later requests find nobody.
  const untilMs = clock.nowMs() + 2_500;
  for (let step = 0; clock.nowMs() < untilMs; step++) {
    const at = random.int(0, count - 1);
    const daemon = daemons[at]!;
    const endpoint = random.int(0, endpoints - 1);
    const isKnown =
      daemon.told.has(endpoint) || daemon.leavings.isLeaving(idOf(endpoint), clock.nowMs());
    if (endpoint < leaving && !isKnown) {
      arrivals += 1;
      daemon.told.add(endpoint);
      if (isShared) daemon.relay.publish(leavingMessage(nameOf(at), idOf(endpoint), 0));
    }
    await clock.advance(1_000 / requestsPerS);
  }
  await clock.advance(1_000);
  for (const { relay } of daemons) relay.stop();
  return { daemons, arrivals };
}

function newDaemon(
  clock: VirtualClock,
  daemons: readonly Daemon[],
  index: number,
  count: number,
): Daemon {
  const leavings = new PeerLeavings({ events: new NullEventLog() });
  const daemon: Daemon = {
    leavings,
    told: new Set(),
    bytes: 0,
    relay: new BroadcastRelay({
      daemon: nameOf(index),
      address: String(index),
      routes: () => routesOf(index, count),
      send: (address, batch) => {
        send(clock, daemon, daemons[Number(address)]!, batch);
      },
      deliver: (message) => {
        if (message[0] !== BroadcastKind.Leaving) return;
        const [, endpointId, ageMs, from] = message;
        if (from !== nameOf(index)) leavings.report(endpointId, from, ageMs, clock.nowMs());
      },
      clock,
    }),
  };
  return daemon;
}

function send(clock: VirtualClock, from: Daemon, to: Daemon, batch: BroadcastBatch): void {
  const { length } = encodeBatch(batch);
  from.bytes += length;
  to.bytes += length;
  clock.schedule(clock.nowMs() + transitMs, () => {
    to.relay.receive(batch);
  });
}

/** Few daemons send to each other; those of many to the first of their group. */
function routesOf(index: number, count: number): BroadcastRoutes {
  const all = Array.from({ length: count }, (_, at) => at);
  if (count <= maxDirectPeers) {
    const peers = all.filter((at) => at !== index).map(String);
    return { peers, distributor: undefined, members: [], otherGroups: [] };
  }
  const group = (at: number): number => at % groupCount;
  const own = group(index);
  const addressesOf = (number: number): string[] =>
    all.filter((at) => group(at) === number).map(String);
  return {
    peers: undefined,
    distributor: index === own ? undefined : String(own),
    members: addressesOf(own).filter((address) => address !== String(index)),
    otherGroups: Array.from({ length: groupCount }, (_, number) => number)
      .filter((number) => number !== own)
      .map(addressesOf),
  };
}

function nameOf(index: number): string {
  return `front-litoral-rosario-${index}`;
}

function idOf(endpoint: number): string {
  const instanceId = `i-0123456789abc${1_000 + endpoint}`;
  return `${instanceId}:registered/${instanceId}#1764900000000`;
}
