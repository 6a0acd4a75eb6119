import { hash64 } from '../core/index.js';
import type { Membership } from '../membership/index.js';

/**
 * Whether this daemon ranks among the first `count` members of a region for a task, by rendezvous
 * hashing. Tasks spread over the daemons, and a daemon that leaves affects only its own tasks. A
 * wrong result, while the list of members is out of date, causes only duplicate work.
 *
 * @param region - region of the task; this daemon is expected to be in it.
 */
export function isTopRanked(
  membership: Membership,
  region: string,
  task: string,
  count: number,
): boolean {
  const rankOf = (id: string): bigint => hash64(`${task} ${id}`);
  const own = rankOf(membership.self.id);
  const higherRanked = membership
    .members()
    .filter((member) => member.region === region && rankOf(member.id) > own);
  return higherRanked.length < count;
}
