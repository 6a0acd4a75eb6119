import type { Clock, Random } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { RetryDelay } from './retry-delay.js';
import type { LogService, Offset, ReadPage } from './log-service.js';
import { withTimeout } from './with-timeout.js';

/** Options of {@link Tailer}. */
export interface TailerOptions {
  readonly log: LogService;
  readonly stream: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  /**
   * Receives each page in order. `records` starts at the offset asked for, or at `earliestOffset`
   * when older records have been trimmed. The next read starts after the returned promise has
   * resolved.
   */
  readonly onPage: (page: ReadPage, fromOffset: Offset) => Promise<void>;
  readonly fromOffset?: Offset;
  /** Records per read. */
  readonly limit?: number;
  /** Long-poll wait: how long the service may delay an empty response. */
  readonly waitMs?: number;
  /** Time beyond `waitMs` after which a read times out. */
  readonly graceMs?: number;
}

/**
 * Longest delay between failed reads. A change is still read within 20 s after an outage, as P7
 * requires, when one more read gets no response and times out (15 s); a limit of 5 s is too long.
 */
const maxRetryDelayMs = 2_500;

/** Minimum time between the starts of two reads that return no records. */
const minEmptyReadIntervalMs = 50;

/**
 * Follows one stream with long polls. The offset only moves forward. A read that fails or times out
 * is retried from the same offset after a jittered backoff.
 *
 * @example
 * ```ts
 * const tailer = new Tailer({ log, stream: 'prod.config', clock, random, events, onPage });
 * tailer.start();
 * ```
 */
export class Tailer {
  readonly #options: TailerOptions;
  readonly #retryDelay: RetryDelay;
  readonly #abort = new AbortController();
  #nextOffset: Offset;
  #lastReadAtMs: number | undefined;
  #running: Promise<void> | undefined;
  #isFailing = false;

  constructor(options: TailerOptions) {
    this.#options = options;
    this.#nextOffset = options.fromOffset ?? 0;
    this.#retryDelay = new RetryDelay({ random: options.random, maxMs: maxRetryDelayMs });
  }

  /** Offset of the next record to read. */
  get nextOffset(): Offset {
    return this.#nextOffset;
  }

  /** Epoch milliseconds of the last successful read; undefined before the first. */
  get lastReadAtMs(): number | undefined {
    return this.#lastReadAtMs;
  }

  start(): void {
    this.#running ??= this.#run();
  }

  /** Stops reading; no page is delivered afterwards. */
  async stop(): Promise<void> {
    this.#abort.abort();
    await this.#running;
  }

  async #run(): Promise<void> {
    const { clock, limit = 1_000, waitMs = 10_000, graceMs = 5_000 } = this.#options;
    while (!this.#abort.signal.aborted) {
      const readAtMs = clock.nowMs();
      try {
        const fromOffset = this.#nextOffset;
        // The first read does not wait, so that an empty stream is known to be caught up at once.
        const readWaitMs = this.#lastReadAtMs === undefined ? 0 : waitMs;
        const page = await withTimeout(clock, readWaitMs + graceMs, this.#abort.signal, (signal) =>
          this.#options.log.read(this.#options.stream, fromOffset, {
            limit,
            waitMs: readWaitMs,
            signal,
          }),
        );
        if (this.#isStopped()) return;
        await this.#processPage(page, fromOffset);
        // A service that returns empty pages at once, as a lagging one does, must not be polled in
        // a tight loop.
        if (
          readWaitMs > 0 &&
          page.records.length === 0 &&
          clock.nowMs() < readAtMs + minEmptyReadIntervalMs
        ) {
          await clock.sleepUntil(readAtMs + minEmptyReadIntervalMs, this.#abort.signal);
        }
      } catch (error) {
        if (this.#isStopped()) return;
        await this.#backOffAfter(error, readAtMs);
      }
    }
  }

  async #processPage(page: ReadPage, fromOffset: Offset): Promise<void> {
    const { events, stream, clock } = this.#options;
    const first = Math.max(fromOffset, page.earliestOffset);
    const isContiguous = page.records.every(({ offset }, index) => offset === first + index);
    if (page.nextOffset < fromOffset || !isContiguous) {
      throw new RangeError(
        `a read of stream "${stream}" returned offsets that do not continue at ${fromOffset} ` +
          `(next offset ${page.nextOffset}); retrying until the log service has caught up`,
      );
    }
    this.#lastReadAtMs = clock.nowMs();
    this.#retryDelay.reset();
    if (this.#isFailing) events.info(EventId.LogReadRecovered, 'log reads recovered', { stream });
    this.#isFailing = false;
    this.#nextOffset = first + page.records.length;
    await this.#options.onPage(page, fromOffset);
  }

  async #backOffAfter(error: unknown, readAtMs: number): Promise<void> {
    const { clock, events, stream } = this.#options;
    if (!this.#isFailing) {
      const reason = error instanceof Error ? error.message : String(error);
      events.warn(EventId.LogReadFailing, 'log reads fail; serving the last state read', {
        stream,
        reason,
      });
    }
    this.#isFailing = true;
    // The duration of the failed read counts towards the delay, so a read that timed out is retried
    // at once.
    const untilMs = Math.max(clock.nowMs(), readAtMs + this.#retryDelay.nextMs());
    await clock.sleepUntil(untilMs, this.#abort.signal);
  }

  #isStopped(): boolean {
    return this.#abort.signal.aborted;
  }
}
