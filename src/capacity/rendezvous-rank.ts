import { hash64 } from '../core/index.js';
import type { Membership } from '../membership/index.js';

/**
 * Whether this daemon is among the first `count` members of a region for a task, by rendezvous
 * hashing: tasks spread over the daemons, and one that is gone changes only its own tasks. A wrong
 * answer, while members are believed wrongly, costs duplicate work only.
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
