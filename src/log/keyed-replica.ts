import type { Clock, Random } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { RetryDelay } from './retry-delay.js';
import {
  HistoryTrimmedError,
  type KeyedLog,
  type KeyedPage,
  type KeyedRecord,
} from './keyed-log.js';
import type { Offset } from './log-service.js';
import { LogUnavailableError } from './log-errors.js';
import { OutageDetector } from './outage-detector.js';
import { StoreEra } from './store-era.js';
import { withTimeout, withTransferTimeout } from './with-timeout.js';

/** Options of {@link KeyedReplica}. */
export interface KeyedReplicaOptions {
  readonly log: KeyedLog;
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  /** Long-poll wait: how long the store may delay an empty response, in milliseconds. */
  readonly waitMs: number;
  /** Minimum time between the starts of two reads; limits the read rate of a busy topic. */
  readonly minReadIntervalMs: () => number;
  /** Shortest time without a successful read that counts as an outage, in milliseconds. */
  readonly minOutageMs: number;
  /** Era of the store as this daemon knows it; by default as this copy alone does. */
  readonly era?: StoreEra;
  /**
   * Time in which the writers of the topic write their records again after the store has come back
   * from an older copy, in milliseconds.
   */
  readonly rewriteMs?: number;
}

/** Called with each newer record of a key; its `value` is undefined when the key was removed. */
export type KeyedRecordListener = (record: KeyedRecord) => void;

/** Time beyond the long-poll wait after which a read times out. */
const answerTimeoutMs = 700;

/**
 * Timeouts of a read of all newest records: short at first, to notice a connection that is dead, and
 * doubled with each failure, as hundreds of daemons may read over one link at the same time.
 */
const minNewestTimeoutMs = 1_500;
const maxNewestTimeoutMs = 6_000;

/**
 * Time without a further byte after which a read that had begun to arrive times out; covers a
 * distributor that stops in its middle and the first bytes of the next one.
 */
const stalledReadMs = 1_300;

/**
 * Time for the bytes of a read, doubled with each read that began to arrive and did not finish: many
 * daemons may read a large value over one narrow link at the same time.
 */
const minTransferMs = 6_000;

/** @internal */
export const maxTransferMs = 24_000;

/** Longest delay between failed reads; short, since a daemon must recover soon after an outage. */
const maxRetryDelayMs = 800;

/** Default of {@link KeyedReplicaOptions.rewriteMs}. */
const defaultRewriteMs = 2_000;

/** Removals kept for readers of this copy; a reader that is further behind reads the store. */
const maxKeptRemovals = 1_024;

/**
 * Local copy of the newest records of a keyed topic. Never replaces a record by an older one of the
 * same key, unless the store has come back from an older copy: in its new era all newest records are
 * read again and replace the known ones. Those that are missing then may be lost and not removed;
 * they stay known until their writers had time to write them again.
 *
 * @example
 * ```ts
 * const replica = new KeyedReplica({ log, topic: 'members', waitMs, minReadIntervalMs, ...rest });
 * replica.onRecord((record) => apply(record));
 * replica.start();
 * ```
 */
export class KeyedReplica {
  readonly #options: KeyedReplicaOptions;
  readonly #retryDelay: RetryDelay;
  readonly #abort = new AbortController();
  readonly #records = new Map<string, KeyedRecord>();
  readonly #listeners: KeyedRecordListener[] = [];
  /** Latest removal of each key that has no record, oldest first. */
  readonly #removals = new Map<string, KeyedRecord>();
  /** Records of an earlier era whose keys are not in the store, or not yet again. */
  readonly #carried = new Map<string, KeyedRecord>();
  readonly #storeEra: StoreEra;
  readonly #eraListeners: ((era: number, previousEra: number) => void)[] = [];
  /** Era of the records; undefined before the first read. */
  #era: number | undefined;
  #eraSeenAtMs = -Infinity;
  #eraChangedAtMs = -Infinity;
  #isEnteringEra = false;
  /** Readers below this offset may have missed a removal that is no longer kept. */
  #completeFromOffset = 0;
  readonly #changeListeners = new Set<() => void>();
  /** Ends the read that waits for a record. */
  #readAbort = new AbortController();
  #isDirect = false;
  #newestTimeoutMs = minNewestTimeoutMs;
  #transferMs = minTransferMs;
  #nextOffset: Offset | undefined;
  #caughtUpAtMs: number | undefined;
  #failingSinceMs: number | undefined;
  readonly #outages: OutageDetector;

  constructor(options: KeyedReplicaOptions) {
    this.#options = options;
    this.#storeEra = options.era ?? new StoreEra();
    this.#storeEra.onChange(() => {
      this.#readAbort.abort();
    });
    this.#outages = new OutageDetector(options);
    this.#retryDelay = new RetryDelay({
      random: options.random,
      baseMs: 100,
      maxMs: maxRetryDelayMs,
    });
  }

  get topic(): string {
    return this.#options.topic;
  }

  /** Offset after the last record applied; undefined before the first read. */
  get endOffset(): Offset | undefined {
    return this.#nextOffset;
  }

  /** Era of the store to which the offsets of this copy belong; undefined before the first read. */
  get era(): number | undefined {
    return this.#era;
  }

  /** Whether the store is known to be in a later era than the one that was read last. */
  get isBehindEra(): boolean {
    return this.#era !== undefined && this.#storeEra.isOlder(this.#era);
  }

  /** Whether the records that listeners receive are those that the store came back with. */
  get isEnteringEra(): boolean {
    return this.#isEnteringEra;
  }

  /**
   * Epoch milliseconds at which this copy first reflected the store's era; -Infinity in era 0. The
   * store came back before.
   */
  get eraSeenAtMs(): number {
    return this.#eraSeenAtMs;
  }

  /**
   * Epoch milliseconds as of which this copy reflects the store: the last successful read, less the
   * age of what was read from another daemon. Undefined before the first read.
   */
  get caughtUpAtMs(): number | undefined {
    return this.#caughtUpAtMs;
  }

  /** Whether the last read was from the store itself and not from another daemon's copy. */
  get isDirect(): boolean {
    return this.#isDirect;
  }

  /** Age that this copy reaches between two successful reads of the store, in milliseconds. */
  get maxAgeMs(): number {
    const { waitMs, minReadIntervalMs } = this.#options;
    return waitMs + minReadIntervalMs() + answerTimeoutMs;
  }

  /** True when the last read failed. */
  get isFailing(): boolean {
    return this.#failingSinceMs !== undefined;
  }

  /**
   * Epoch milliseconds at which reads succeeded again after the last outage of the store;
   * -Infinity before the first. A single failed read is no outage; a new era of the store is one.
   */
  get outageEndedAtMs(): number {
    return Math.max(this.#outages.endedAtMs, this.#eraChangedAtMs);
  }

  /**
   * The newest record of a key, also one of an earlier era that may be lost; undefined when the key
   * has none or was removed.
   */
  get(key: string): KeyedRecord | undefined {
    return this.#records.get(key) ?? this.#carried.get(key);
  }

  /** The newest record of a key that the store holds in its present era. */
  stored(key: string): KeyedRecord | undefined {
    return this.#records.get(key);
  }

  /** The newest record of each key that the store holds in its present era. */
  newestRecords(): KeyedRecord[] {
    return [...this.#records.values()];
  }

  /**
   * Calls `listener` with each new era of the store, after the records that the store came back with
   * were applied. The era of the first read is not new.
   */
  onNewEra(listener: (era: number, previousEra: number) => void): void {
    this.#eraListeners.push(listener);
  }

  onRecord(listener: KeyedRecordListener): void {
    this.#listeners.push(listener);
  }

  /** Calls `listener` after each read that brought records or failed. @returns a cancel function. */
  onChange(listener: () => void): () => void {
    this.#changeListeners.add(listener);
    return () => this.#changeListeners.delete(listener);
  }

  /**
   * The newest record or removal of each key that changed at or after an offset, in the order of
   * their offsets; undefined when removals since then are no longer kept.
   */
  changesSince(fromOffset: Offset): readonly KeyedRecord[] | undefined {
    if (this.#nextOffset === undefined || fromOffset < this.#completeFromOffset) return undefined;
    if (fromOffset >= this.#nextOffset) return [];
    return [...this.#records.values(), ...this.#removals.values()]
      .filter(({ offset }) => offset >= fromOffset)
      .sort((one, other) => one.offset - other.offset);
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#abort.abort();
    this.#readAbort.abort();
  }

  /**
   * Reads the newest records once, outside the regular reads.
   *
   * @throws LogUnavailableError when the read failed.
   */
  async refresh(): Promise<void> {
    const { log, topic, clock } = this.#options;
    const timeoutMs = this.#newestTimeoutMs;
    const deadlineAtMs = clock.nowMs() + timeoutMs;
    this.#newestTimeoutMs = Math.min(maxNewestTimeoutMs, 2 * timeoutMs);
    const { isBehindEra } = this;
    const page = await withTimeout(clock, timeoutMs, this.#abort.signal, (signal) =>
      isBehindEra
        ? log.newestOfEra(topic, this.#storeEra.current, signal)
        : log.newest(topic, signal),
    );
    this.#newestTimeoutMs = minNewestTimeoutMs;
    this.#checkEra(page);
    if (this.#era !== undefined && page.era > this.#era) {
      this.#enterEra(page, deadlineAtMs);
      return;
    }
    if (page.endOffset < (this.#nextOffset ?? 0)) return;
    if (this.#era === undefined && page.era > 0) this.#eraSeenAtMs = clock.nowMs();
    this.#era = page.era;
    this.#recordSuccess(page, deadlineAtMs);
    this.#removeMissing(page.records);
    for (const record of page.records) this.#apply(record);
    // Removals between the last read and this one are not part of the page.
    if (this.#nextOffset !== page.endOffset) this.#completeFromOffset = page.endOffset;
    this.#nextOffset = page.endOffset;
    this.#removeLost();
    if (page.records.length > 0) this.#notifyChange();
  }

  async #run(): Promise<void> {
    const { clock, minReadIntervalMs } = this.#options;
    const { signal } = this.#abort;
    while (!signal.aborted) {
      const startedAtMs = clock.nowMs();
      const wasBehindEra = this.isBehindEra;
      try {
        if (this.#nextOffset === undefined || wasBehindEra) await this.refresh();
        else await this.#readNext(this.#nextOffset);
        await clock.sleepUntil(startedAtMs + minReadIntervalMs(), signal);
      } catch (error) {
        if (error instanceof HistoryTrimmedError) {
          this.#storeEra.observe(error.era);
          this.#nextOffset = undefined;
        }
        // The read was ended for the newest records of the new era.
        else if (this.isBehindEra && !wasBehindEra) continue;
        else await this.#backOffAfter(error, startedAtMs);
      }
    }
  }

  async #readNext(fromOffset: Offset): Promise<void> {
    const { log, topic, clock } = this.#options;
    // After a failure the read does not wait, so that a recovered store is detected sooner.
    const waitMs = this.isFailing ? 0 : this.#options.waitMs;
    const deadlineAtMs = clock.nowMs() + waitMs + answerTimeoutMs;
    const transferMs = this.#transferMs;
    const limits = { answerMs: waitMs + answerTimeoutMs, stalledMs: stalledReadMs, transferMs };
    let beganAtMs = Infinity;
    const era = this.#era;
    this.#readAbort = new AbortController();
    const { signal: readSignal } = this.#readAbort;
    const page = await withTransferTimeout(clock, limits, readSignal, (signal, onBytes) =>
      log.read(topic, fromOffset, waitMs, signal, () => {
        onBytes();
        beganAtMs = Math.min(beganAtMs, clock.nowMs());
        this.#transferMs = Math.min(maxTransferMs, 2 * transferMs);
      }),
    );
    this.#transferMs = minTransferMs;
    this.#checkEra(page);
    // The offset that was asked for means nothing in the new era; its newest records are read next.
    if (era !== undefined && page.era > era) return;
    // A concurrent refresh may have advanced the offset.
    if (this.#nextOffset !== fromOffset || this.#era !== era) return;
    // A page is as old as its first bytes, however long the others take.
    this.#recordSuccess(page, Math.min(deadlineAtMs, beganAtMs));
    for (const record of page.records) this.#apply(record);
    this.#nextOffset = Math.max(fromOffset, (page.records.at(-1)?.offset ?? fromOffset - 1) + 1);
    this.#removeLost();
    if (page.records.length > 0) this.#notifyChange();
  }

  /** @throws LogUnavailableError when a page is from before a recovery of the store. */
  #checkEra({ era }: KeyedPage): void {
    this.#storeEra.observe(era);
    if (!this.#storeEra.isOlder(era)) return;
    const message = 'the records are from an earlier era of the store';
    throw new LogUnavailableError(message, 'store', false);
  }

  /**
   * Replaces the records by those that the store came back with.
   *
   * @param latestAtMs - time by which the page had begun to arrive, in epoch milliseconds.
   */
  #enterEra(page: KeyedPage, latestAtMs: number): void {
    const { clock, events, topic } = this.#options;
    const nowMs = clock.nowMs();
    const previousEra = this.#era ?? 0;
    this.#recordSuccess(page, latestAtMs);
    this.#era = page.era;
    this.#eraSeenAtMs = nowMs;
    this.#eraChangedAtMs = nowMs;
    for (const record of this.#records.values()) this.#carried.set(record.key, record);
    this.#records.clear();
    this.#removals.clear();
    this.#isEnteringEra = true;
    for (const record of page.records) this.#apply(record);
    this.#isEnteringEra = false;
    this.#completeFromOffset = page.endOffset;
    this.#nextOffset = page.endOffset;
    events.info(EventId.StoreEraRead, 'newest records of a new era of the store were read', {
      stream: topic,
      era: page.era,
      previousEra,
      records: page.records.length,
      missing: this.#carried.size,
    });
    for (const listener of this.#eraListeners) listener(page.era, previousEra);
    this.#notifyChange();
  }

  /** Removes keys of an earlier era that their writers have not written again in time. */
  #removeLost(): void {
    if (this.#carried.size === 0) return;
    const { rewriteMs = defaultRewriteMs } = this.#options;
    if ((this.#caughtUpAtMs ?? -Infinity) < this.#eraChangedAtMs + rewriteMs) return;
    const offset = this.#nextOffset ?? 0;
    for (const key of [...this.#carried.keys()]) {
      this.#carried.delete(key);
      for (const listener of this.#listeners)
        this.#notify(listener, { key, value: undefined, offset });
    }
  }

  /**
   * Comes before the records are applied: their listeners ask how current the copy is. A page that
   * is read after the deadline of its call came before it, and waited for this process.
   *
   * @param latestAtMs - time by which the page had begun to arrive, in epoch milliseconds.
   */
  #recordSuccess({ copyAgeMs }: KeyedPage, latestAtMs: number): void {
    const nowMs = this.#options.clock.nowMs();
    this.#outages.recordSuccess(nowMs);
    this.#isDirect = copyAgeMs === undefined;
    const asOfMs = Math.min(nowMs, latestAtMs) - (copyAgeMs ?? 0);
    this.#caughtUpAtMs = Math.max(this.#caughtUpAtMs ?? -Infinity, asOfMs);
    this.#retryDelay.reset();
    if (this.#failingSinceMs === undefined) return;
    this.#options.events.info(EventId.LogReadRecovered, 'log reads recovered', {
      stream: this.#options.topic,
      failedForMs: Math.round(nowMs - this.#failingSinceMs),
    });
    this.#failingSinceMs = undefined;
  }

  async #backOffAfter(error: unknown, startedAtMs: number): Promise<void> {
    const { clock, events, topic } = this.#options;
    if (this.#abort.signal.aborted) return;
    this.#outages.recordFailure(startedAtMs);
    if (this.#failingSinceMs === undefined) {
      this.#failingSinceMs = clock.nowMs();
      this.#notifyChange();
      const reason = error instanceof Error ? error.message : String(error);
      events.warn(EventId.LogReadFailing, 'log reads fail; serving the last state read', {
        stream: topic,
        reason,
      });
    }
    await clock.sleepUntil(clock.nowMs() + this.#retryDelay.nextMs(), this.#abort.signal);
  }

  #apply(record: KeyedRecord): void {
    const known = this.#records.get(record.key);
    if (known && known.offset >= record.offset) return;
    this.#carried.delete(record.key);
    if (record.value) {
      this.#records.set(record.key, record);
      this.#removals.delete(record.key);
    } else {
      this.#records.delete(record.key);
      this.#keepRemoval(record);
    }
    for (const listener of this.#listeners) this.#notify(listener, record);
  }

  /** A record that one listener cannot apply must not keep the topic from being read further. */
  #notify(listener: KeyedRecordListener, record: KeyedRecord): void {
    try {
      listener(record);
    } catch (error) {
      const { events, topic } = this.#options;
      events.error(EventId.RecordNotApplied, 'record could not be applied and is left out', {
        stream: topic,
        key: record.key,
        offset: record.offset,
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }

  #keepRemoval(record: KeyedRecord): void {
    this.#removals.delete(record.key);
    this.#removals.set(record.key, record);
    if (this.#removals.size <= maxKeptRemovals) return;
    const oldest = this.#removals.values().next().value;
    if (!oldest) return;
    this.#removals.delete(oldest.key);
    this.#completeFromOffset = Math.max(this.#completeFromOffset, oldest.offset + 1);
  }

  #notifyChange(): void {
    for (const listener of [...this.#changeListeners]) listener();
  }

  /** Removes keys whose removal record was trimmed before it was read. */
  #removeMissing(newest: readonly KeyedRecord[]): void {
    const keys = new Set(newest.map(({ key }) => key));
    for (const { key, offset } of [...this.#records.values()]) {
      if (!keys.has(key)) this.#apply({ key, value: undefined, offset: offset + 1 });
    }
  }
}
