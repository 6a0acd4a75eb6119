/** Position of a record in a stream; offsets grow by one, starting at 0. */
export type Offset = number;

/** A record to append. */
export interface NewRecord {
  /** Unique id chosen by the writer; a retry of the same append repeats it. */
  readonly id: string;
  /** UTF-8 text, at most 1 MiB. */
  readonly data: string;
}

/** A record as stored by the log service. */
export interface LogRecord extends NewRecord {
  readonly offset: Offset;
  /** Time of the append by the log service's clock, in epoch milliseconds. */
  readonly appendedAtMs: number;
}

/** Options of {@link LogService.read}. */
export interface ReadOptions {
  /** At most this many records. */
  readonly limit: number;
  /** Long-poll wait: how long the service may delay an empty response, in milliseconds. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** A page of a stream. */
export interface ReadPage {
  /** Consecutive records, from the offset asked for or from `earliestOffset` if that is later. */
  readonly records: readonly LogRecord[];
  /** Oldest offset that the service still keeps. */
  readonly earliestOffset: Offset;
  /** Offset that the next append to the stream will get. */
  readonly nextOffset: Offset;
}

/**
 * The platform's append-only log service, which holds the only durable state. A stream exists from
 * its first append on; reading one that does not exist gives an empty page.
 *
 * @example
 * ```ts
 * const { offset } = await log.append('prod.config', { id: 'a1', data: '{}' });
 * const page = await log.read('prod.config', offset, { limit: 100, waitMs: 0 });
 * ```
 */
export abstract class LogService {
  /**
   * Appends one record.
   *
   * @throws LogRefusedError when the service refused the record, so that it is provably not stored.
   * @throws LogUnavailableError when the outcome is unknown, such as after a lost response.
   */
  abstract append(
    stream: string,
    record: NewRecord,
    signal?: AbortSignal,
  ): Promise<{ readonly offset: Offset }>;

  /** Reads records from `fromOffset` on. @throws LogUnavailableError when the read failed. */
  abstract read(stream: string, fromOffset: Offset, options: ReadOptions): Promise<ReadPage>;
}
