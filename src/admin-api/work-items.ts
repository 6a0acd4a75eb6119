import type { Gathered, WorkItem } from './answers.js';

/**
 * Merges the jobs and calls of all daemons into one entry per kind and id, ordered by id. Two
 * daemons may hold the same shard for a short time; the entry with the highest fence is the newest.
 *
 * @example
 * ```ts
 * const items = newestWorkItems(gathered);
 * ```
 */
export function newestWorkItems(gathered: Gathered<readonly WorkItem[]>): WorkItem[] {
  const newest = new Map<string, WorkItem>();
  for (const { answer } of gathered.answers) {
    for (const item of answer) {
      const key = `${item.kind} ${item.id}`;
      const existing = newest.get(key);
      if (!existing || item.fence > existing.fence) newest.set(key, item);
    }
  }
  return [...newest.values()].sort((a, b) => (a.id < b.id ? -1 : a.id > b.id ? 1 : 0));
}
