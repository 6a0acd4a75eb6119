import type { Offset } from './log-service.js';

/** Position of an entry in a stream: the record's offset and the index within its batch. */
export interface Position {
  readonly offset: Offset;
  readonly index: number;
}

/** Fencing token: the position of the entry that granted ownership, as one comparable number. */
export type Fence = number;

/**
 * Maximum number of entries per record; bounds the index, so that a position fits a safe integer.
 */
export const maxEntriesPerRecord = 1_024;

/** Converts a position into a number that grows in log order. It is never 0, which means "none". */
export function fenceOf(position: Position): Fence {
  return position.offset * maxEntriesPerRecord + position.index + 1;
}
