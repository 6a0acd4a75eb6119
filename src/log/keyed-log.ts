import { OrioleError, Step } from '../core/index.js';
import type { Offset } from './log-service.js';

/** A record of a keyed topic; `value` is undefined when the key was removed. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: Offset;
}

/** Records of a topic together with its end offset. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset that the next append will get. */
  readonly endOffset: Offset;
  /** Era of the store to which the offsets belong. */
  readonly era: number;
  /**
   * For pages of another daemon's copy: time since that daemon read the store, in milliseconds.
   * Undefined for pages of the store itself.
   */
  readonly copyAgeMs?: number;
}

/** A record to append. */
export type KeyedEntry = Pick<KeyedRecord, 'key' | 'value'>;

/** Where an append was stored. */
export interface AppendPosition {
  /** Offset of the first record. */
  readonly offset: Offset;
  /** Era of the store in which it was stored. */
  readonly era: number;
}

/** Options of {@link KeyedLog.append}. */
export interface KeyedAppendOptions {
  /** The append takes effect only if this is the topic's end offset. */
  readonly expectedEndOffset?: Offset;
  readonly signal?: AbortSignal;
}

/** The records asked for have been trimmed; read the newest records of the topic instead. */
export class HistoryTrimmedError extends OrioleError {
  /** Era of the store; 0 if it is not known. */
  readonly era: number;

  constructor(topic: string, era = 0) {
    super(`records of topic "${topic}" were trimmed; read its newest records`, {
      step: Step.Log,
      peer: 'store',
    });
    this.era = era;
  }
}

/** A conditional append did not take effect, since the topic has another end offset. */
export class AppendConflictError extends OrioleError {
  readonly endOffset: Offset;
  /** Era of the store to which the offset belongs. */
  readonly era: number;

  constructor(topic: string, endOffset: Offset, era = 0) {
    super(`topic "${topic}" ends at ${endOffset}; read it before the next append`, {
      step: Step.Log,
      peer: 'store',
    });
    this.endOffset = endOffset;
    this.era = era;
  }
}

/**
 * A compacted log: the newest record of each key is never trimmed. The store is linearizable, so
 * that a conditional append is an atomic compare-and-set of the whole topic.
 *
 * @example
 * ```ts
 * const { records, endOffset } = await log.newest('duties');
 * await log.append('duties', 'lease', value, { expectedEndOffset: endOffset });
 * ```
 */
export abstract class KeyedLog {
  /** Reads the newest record of each key. @throws LogUnavailableError when the read failed. */
  abstract newest(topic: string, signal?: AbortSignal): Promise<KeyedPage>;

  /**
   * Reads the newest record of each key after the store has come back from an older copy. All daemons
   * do so at the same time, so that a log may spread the calls or answer from another daemon's copy.
   *
   * @param _era - lowest era of the page.
   * @throws LogUnavailableError when the read failed.
   */
  newestOfEra(topic: string, _era: number, signal?: AbortSignal): Promise<KeyedPage> {
    return this.newest(topic, signal);
  }

  /**
   * Reads records from an offset on; waits up to `waitMs` for the first one.
   *
   * @param onBytes - called whenever bytes of the answer have arrived.
   * @throws HistoryTrimmedError when records from this offset on have been trimmed.
   * @throws LogUnavailableError when the read failed.
   */
  abstract read(
    topic: string,
    fromOffset: Offset,
    waitMs: number,
    signal?: AbortSignal,
    onBytes?: () => void,
  ): Promise<KeyedPage>;

  /**
   * Appends one record.
   *
   * @returns where the record is stored.
   * @throws AppendConflictError when the topic does not end at the expected offset.
   * @throws LogRefusedError when the record is provably not stored.
   * @throws LogUnavailableError when the record may be stored, now or some seconds later.
   */
  append(
    topic: string,
    key: string,
    value: Uint8Array,
    options?: KeyedAppendOptions,
  ): Promise<AppendPosition> {
    return this.appendAll(topic, [{ key, value }], options);
  }

  /**
   * Stores an entry that need not be stored at once: it may wait to be combined with others, and
   * may be stored twice.
   *
   * @throws LogUnavailableError, LogRefusedError as {@link append} does.
   */
  async publish(topic: string, entry: KeyedEntry): Promise<void> {
    await this.appendAll(topic, [entry]);
  }

  /**
   * Appends records, all or none of them, in one call.
   *
   * @returns where the first record is stored.
   * @throws the errors of {@link append}.
   */
  abstract appendAll(
    topic: string,
    entries: readonly KeyedEntry[],
    options?: KeyedAppendOptions,
  ): Promise<AppendPosition>;
}
