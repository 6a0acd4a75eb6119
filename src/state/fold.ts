import type { Offset } from '../log/index.js';

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

/**
 * State computed from a stream alone: the same entries in the same order give the same state on
 * every daemon. A fold reads no clock and no random source, and skips entries that it cannot
 * decode, so that a bad entry never affects the ones after it.
 *
 * @example
 * ```ts
 * fold.apply({ offset: 7, index: 0 }, entry);
 * ```
 */
export abstract class Fold {
  /** Applies one entry. Entries arrive in order; one at or before the last position is ignored. */
  abstract apply(position: Position, entry: unknown): void;

  /** Complete state as JSON-compatible data, for a snapshot. */
  abstract snapshot(): unknown;

  /** Replaces the state by that of a snapshot. @throws OrioleError when it cannot be decoded. */
  abstract restore(snapshot: unknown): void;
}
