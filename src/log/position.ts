import type { Offset } from './log-service.js';

/** Place of an entry in a stream: the record's offset and the index within its batch. */
export interface Position {
  readonly offset: Offset;
  readonly index: number;
}

/** Fencing token: the position of the entry that granted ownership, as one comparable number. */
export type Fence = number;

/** Entries per record are below this, so that a position fits one safe integer. */
export const maxEntriesPerRecord = 1_024;

/** Turns a position into a number that grows in the order of the log; 0 means "none". */
export function fenceOf(position: Position): Fence {
  return position.offset * maxEntriesPerRecord + position.index + 1;
}
