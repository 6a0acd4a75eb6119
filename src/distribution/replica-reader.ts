import { OrioleError, Step, type Clock } from '../core/index.js';
import { HistoryTrimmedError, type KeyedPage, type KeyedRecord } from '../log/keyed-log.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { Offset } from '../log/log-service.js';

/** A copy is not passed on: it was read from another daemon, its reads fail or it is too old. */
export class ReadRefusedError extends OrioleError {
  constructor(topic: string) {
    super(`the copy of topic "${topic}" is not current; read it elsewhere`, {
      step: Step.Log,
      peer: 'distributor',
    });
  }
}

/** Reads that may wait at the same time; further ones are answered at once. */
const maxWaitingReads = 4_096;

/**
 * Reads of this daemon's copies on behalf of other daemons. Only copies that are read from the
 * store itself and are no older than one read of the store takes are passed on. A daemon is thus
 * never served from a copy of a copy.
 */
export class ReplicaReader {
  readonly #clock: Clock;
  #waitingReads = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether a copy may be passed on. */
  isCurrent(replica: KeyedReplica): boolean {
    const ageMs = this.#clock.nowMs() - (replica.caughtUpAtMs ?? -Infinity);
    const isSound = replica.isDirect && !replica.isFailing && !replica.isBehindEra;
    return isSound && ageMs <= replica.maxAgeMs;
  }

  /**
   * Reads records from an offset on; waits until `deadlineAtMs` for the first one.
   *
   * @param signal - aborted when the reader is gone.
   * @param era - era of the store to which the offset belongs. A reader of an earlier one than that of
   *   the copy gets a page without records.
   * @throws ReadRefusedError when the copy may not be passed on, also if that happens meanwhile.
   * @throws HistoryTrimmedError when the copy does not know all changes since this offset.
   */
  async read(
    replica: KeyedReplica,
    fromOffset: Offset,
    deadlineAtMs: number,
    signal?: AbortSignal,
    era = replica.era ?? 0,
  ): Promise<KeyedPage> {
    if (this.#waitingReads < maxWaitingReads && replica.era === era) {
      this.#waitingReads += 1;
      await this.#waitForChange(replica, fromOffset, deadlineAtMs, signal);
      this.#waitingReads -= 1;
    }
    this.#check(replica, era);
    const isOfEra = (replica.era ?? 0) === era;
    const records = isOfEra ? replica.changesSince(fromOffset) : [];
    if (!records) throw new HistoryTrimmedError(replica.topic);
    return this.#page(replica, records);
  }

  /**
   * Reads the newest record of each key.
   *
   * @param era - lowest era of the page.
   * @throws ReadRefusedError when the copy may not be passed on or is of an earlier era.
   */
  newest(replica: KeyedReplica, era: number): KeyedPage {
    this.#check(replica, era);
    return this.#page(replica, replica.newestRecords());
  }

  #check(replica: KeyedReplica, era: number): void {
    if (this.isCurrent(replica) && (replica.era ?? 0) >= era) return;
    throw new ReadRefusedError(replica.topic);
  }

  #page(replica: KeyedReplica, records: readonly KeyedRecord[]): KeyedPage {
    const copyAgeMs = this.#clock.nowMs() - (replica.caughtUpAtMs ?? 0);
    return { records, endOffset: replica.endOffset ?? 0, era: replica.era ?? 0, copyAgeMs };
  }

  /** Waits for a record, a failed read, the age limit of the copy, the deadline or the reader. */
  async #waitForChange(
    replica: KeyedReplica,
    fromOffset: Offset,
    deadlineAtMs: number,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = (): void => {
      woken.abort();
    };
    const cancel = replica.onChange(wake);
    signal?.addEventListener('abort', wake);
    while (
      (replica.endOffset ?? 0) <= fromOffset &&
      !woken.signal.aborted &&
      this.#clock.nowMs() < deadlineAtMs &&
      this.isCurrent(replica)
    ) {
      const staleAtMs = (replica.caughtUpAtMs ?? 0) + replica.maxAgeMs + 1;
      await this.#clock.sleepUntil(Math.min(deadlineAtMs, staleAtMs), woken.signal);
    }
    signal?.removeEventListener('abort', wake);
    cancel();
  }
}
