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

/** Daemons that share a distributor, by their rank as distributor. */
export type DistributionGroup = readonly DistributorCandidate[];

/**
 * Largest region that shares one distributor. With more daemons, each failure domain has its own:
 * that costs more calls to the store, but less traffic between failure domains and less load on
 * each distributor.
 */
const maxRegionDaemons = 40;

/**
 * Divides daemons into the groups that each share a distributor, and ranks them: the VMs with most
 * capacity first, the others by rendezvous hashing. All daemons that know the same candidates get
 * the same groups without an exchange. While their lists differ, a daemon asks one that reads
 * elsewhere itself, is refused, and asks the next.
 *
 * @param candidates - all live daemons; those without an address are left out.
 */
export function distributionGroups(
  candidates: readonly DistributorCandidate[],
): DistributionGroup[] {
  const groups: DistributionGroup[] = [];
  for (const [region, daemons] of groupBy(candidates, (candidate) => candidate.region)) {
    if (daemons.length <= maxRegionDaemons) groups.push(ranked(region, daemons));
    else {
      const domains = groupBy(daemons, ({ failureDomain }) => failureDomain);
      for (const [domain, members] of domains) groups.push(ranked(domain, members));
    }
  }
  return groups;
}

function ranked(task: string, daemons: readonly DistributorCandidate[]): DistributionGroup {
  return daemons
    .filter(({ address }) => address !== '')
    .map((candidate) => ({ candidate, hash: hash64(`${task} ${candidate.daemon}`) }))
    .sort(
      (one, other) =>
        other.candidate.capacityCores - one.candidate.capacityCores ||
        (one.hash < other.hash ? 1 : -1),
    )
    .map(({ candidate }) => candidate);
}

function groupBy(
  candidates: readonly DistributorCandidate[],
  keyOf: (candidate: DistributorCandidate) => string,
): Map<string, DistributorCandidate[]> {
  const groups = new Map<string, DistributorCandidate[]>();
  for (const candidate of candidates) {
    const key = keyOf(candidate);
    const group = groups.get(key);
    if (group) group.push(candidate);
    else groups.set(key, [candidate]);
  }
  return groups;
}
