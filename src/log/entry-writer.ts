import { OrioleError, Step } from '../core/index.js';
import type { RawEntry } from './envelope.js';
import type { Position } from './position.js';

/** Priority of an entry while appends are limited by the append budget; lower values go first. */
export enum EntryPriority {
  /** Claims, outcomes, acceptances and leases. */
  High = 0,
  /** Job progress and configuration. */
  Normal = 1,
  /** Snapshots and carried-forward records. */
  Low = 2,
}

/** Options of {@link EntryWriter.append}. */
export interface AppendOptions {
  /** Epoch milliseconds at which the append fails unless the entry has been read back. */
  readonly deadlineAtMs: number;
  readonly priority: EntryPriority;
}

/** An entry was refused, or was not read back by its deadline. */
export class AppendFailedError extends OrioleError {
  /** False when the entry is provably not stored; true when it is, or may still be, stored. */
  readonly mayBeStored: boolean;

  constructor(message: string, peer: string, mayBeStored: boolean, cause?: unknown) {
    super(message, { step: Step.Log, peer, cause });
    this.mayBeStored = mayBeStored;
  }
}

/**
 * Appends entries to one stream in batches.
 *
 * @example
 * ```ts
 * const position = await writer.append(entry, { deadlineAtMs, priority: EntryPriority.High });
 * ```
 */
export abstract class EntryWriter {
  /**
   * Resolves with the entry's position after it was read back from the log. The local fold has then
   * applied the entry and everything before it.
   *
   * @throws AppendFailedError when the entry was refused or was not read back by the deadline.
   */
  abstract append(entry: RawEntry, options: AppendOptions): Promise<Position>;
}
