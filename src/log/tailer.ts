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
   * when older records have been trimmed. The next read starts when it has resolved.
   */
  readonly onPage: (page: ReadPage, fromOffset: Offset) => Promise<void>;
  readonly fromOffset?: Offset;
  /** Records per read. */
  readonly limit?: number;
  /** How long the service may hold an empty answer. */
  readonly waitMs?: number;
  /** Extra time beyond `waitMs` after which a read counts as silent. */
  readonly graceMs?: number;
}

/**
 * Longest pause between failed reads. With one silent read after it (15 s), a change is still read
 * within the 20 s of P7 after an outage; with 5 s it was not.
 */
const maxRetryDelayMs = 2_500;

/** Least time between two reads that find nothing. */
const minEmptyReadIntervalMs = 50;

/**
 * Follows one stream with long polls. Only moves forward; a read that fails or stays silent is
 * repeated from the same offset after a jittered back-off.
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
        // A service that answers empty pages at once, as a lagging one, must not be polled in a loop.
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
        `stream "${stream}" answered offsets that do not continue at ${fromOffset} ` +
          `(next ${page.nextOffset}); waiting for the log service to catch up`,
      );
    }
    this.#lastReadAtMs = clock.nowMs();
    this.#retryDelay.reset();
    if (this.#isFailing) events.info(EventId.LogReadRecovered, 'log reads work again', { stream });
    this.#isFailing = false;
    this.#nextOffset = first + page.records.length;
    await this.#options.onPage(page, fromOffset);
  }

  async #backOffAfter(error: unknown, readAtMs: number): Promise<void> {
    const { clock, events, stream } = this.#options;
    if (!this.#isFailing) {
      const reason = error instanceof Error ? error.message : String(error);
      events.warn(EventId.LogReadFailing, 'log reads fail; serving what is in force', {
        stream,
        reason,
      });
    }
    this.#isFailing = true;
    // A read that was silent has waited long enough itself.
    const untilMs = Math.max(clock.nowMs(), readAtMs + this.#retryDelay.nextMs());
    await clock.sleepUntil(untilMs, this.#abort.signal);
  }

  #isStopped(): boolean {
    return this.#abort.signal.aborted;
  }
}
