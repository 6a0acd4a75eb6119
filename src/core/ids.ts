import { randomUUID } from 'node:crypto';

/** Source of unique ids; tests hand in a counter so that histories can be replayed. */
export type IdSource = () => string;

/** Random ids with 122 random bits. */
export const randomIds: IdSource = () => randomUUID();

/**
 * Deterministic ids for tests: `prefix-1`, `prefix-2`, and so on.
 *
 * @example
 * ```ts
 * const newId = countingIds('job');
 * ```
 */
export function countingIds(prefix: string): IdSource {
  let count = 0;
  return () => `${prefix}-${++count}`;
}
