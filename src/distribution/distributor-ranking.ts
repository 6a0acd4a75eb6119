import { hash64 } from '../core/index.js';

/** A daemon that can distribute the store's topics to others near it. */
export interface DistributorCandidate {
  readonly daemon: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Processor capacity of its VM, in cores. */
  readonly capacityCores: number;
  /** Address of its replica server, as host:port. */
  readonly address: string;
}

/**
 * Largest region that shares one distributor. With more daemons, each failure domain has its own:
 * that costs more calls to the store, but less traffic between failure domains and less load on
 * each distributor.
 */
const maxRegionDaemons = 40;

/**
 * Orders the daemons that share a distributor with `own` by their rank as distributor: the VMs with
 * most capacity first, the others by rendezvous hashing. All daemons that know the same candidates
 * get the same order without an exchange. While their lists differ, a daemon asks one that reads
 * elsewhere itself, is refused, and asks the next.
 *
 * @param own - this daemon.
 * @param peers - the other live daemons.
 */
export function rankDistributors(
  own: DistributorCandidate,
  peers: readonly DistributorCandidate[],
): DistributorCandidate[] {
  const sameRegion = [own, ...peers].filter(({ region }) => region === own.region);
  const isShared = sameRegion.length <= maxRegionDaemons;
  const group = isShared
    ? sameRegion
    : sameRegion.filter(({ failureDomain }) => failureDomain === own.failureDomain);
  const task = isShared ? own.region : own.failureDomain;
  return group
    .filter(({ address }) => address !== '')
    .map((candidate) => ({ candidate, hash: hash64(`${task} ${candidate.daemon}`) }))
    .sort(
      (one, other) =>
        other.candidate.capacityCores - one.candidate.capacityCores ||
        (one.hash < other.hash ? 1 : -1),
    )
    .map(({ candidate }) => candidate);
}
