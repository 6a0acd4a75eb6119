import { randomUUID } from 'node:crypto';

/** Generates unique ids. Tests pass a counter, so that a run can be replayed. */
export type IdSource = () => string;

/** Version 4 UUIDs, which have 122 random bits. */
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
