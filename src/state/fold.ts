import type { Position } from '../log/position.js';

export { fenceOf, maxEntriesPerRecord, type Fence, type Position } from '../log/position.js';

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
