import { OrioleError, Step } from '../core/index.js';
import type { RawEntry } from './envelope.js';
import type { Position } from './position.js';

/** Order in which entries get a share of the append budget when it is short. */
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
  /** Epoch milliseconds after which the caller no longer waits. */
  readonly deadlineAtMs: number;
  readonly priority: EntryPriority;
}

/** An entry was not read back by its deadline. */
export class AppendFailedError extends OrioleError {
  /** False when the entry provably never left the daemon; true when it may still turn up. */
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
   * Resolves with the entry's position after it was read back from the log, so that the local fold
   * has already applied it and everything before it.
   *
   * @throws AppendFailedError when that has not happened by the deadline.
   */
  abstract append(entry: RawEntry, options: AppendOptions): Promise<Position>;
}
