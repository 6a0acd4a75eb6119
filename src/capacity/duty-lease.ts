import { z } from 'zod';
import type { Clock } from '../core/index.js';
import { AppendConflictError, LogUnavailableError, type KeyedLog } from '../log/index.js';
import { decodeKeyedJson, encodeKeyedJson } from '../log/keyed-json.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { DaemonSamples } from '../membership/daemon-samples.js';
import type { Fence } from '../state/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { eraOfFence, fenceOf } from './duty-fence.js';

const leaseSchema = z.object({
  /** Empty after a release. */
  holder: z.string(),
  incarnation: z.number(),
  fence: z.int().positive(),
  /** Holder before this one; empty when there was none. */
  previousHolder: z.string(),
});

/** The lease as stored in the log. */
export type DutyLeaseRecord = z.output<typeof leaseSchema>;

/** Options of {@link DutyLease}. */
export interface DutyLeaseOptions {
  readonly log: KeyedLog;
  readonly topic: string;
  readonly replica: KeyedReplica;
  /** Samples of the daemons, which serve as heartbeats of the holder. */
  readonly samples: DaemonSamples;
  readonly daemon: string;
  readonly incarnation: number;
  /**
   * How long the lease lasts after the holder's last acknowledged heartbeat, in milliseconds. The
   * holder stops acting a margin earlier.
   */
  readonly leaseMs: number;
  /**
   * Whether this daemon may acquire the lease. Where many daemons could, a few are enough, and each
   * attempt is a call to the store.
   */
  readonly isEligible: () => boolean;
  readonly clock: Clock;
  /** Wall clock in epoch milliseconds, which advances while the VM is suspended. */
  readonly wallNowMs: () => number;
  readonly events: EventLog;
}

const leaseKey = 'lease';

/** Other daemons wait this much longer than the lease, to allow for a heartbeat in flight. */
const takeoverMarginMs = 700;

/** The holder stops this long before its lease ends, to allow for its calls in flight. */
const holderMarginMs = 400;

/** Longest time between two heartbeats of the holder. */
const heartbeatIntervalMs = 900;

/** Drift between wall clock and steady clock above which the VM counts as suspended. */
const maxClockDriftMs = 250;

/**
 * Lease on the duties, the calls to the platform that one daemon makes on behalf of all. A daemon
 * acquires the lease by a conditional append, whose era and offset determine the new fence. While it holds
 * the lease, its samples bear the fence and serve as heartbeats. The holder acts only while its last
 * acknowledged heartbeat is younger than the lease. Other daemons take over only once they know the
 * samples of a longer time without one, so that two daemons never act at the same time.
 *
 * When the store comes back from an older copy, the holder acts again once it has read that its record
 * is still there, and stops if it is not. Nobody acquires the lease until a holder whose record is gone
 * must have stopped, whether it knows of the new era or not.
 *
 * @example
 * ```ts
 * await lease.tick();
 * const { fence } = lease;
 * if (fence !== undefined) await act(fence);
 * ```
 */
export class DutyLease {
  readonly #options: DutyLeaseOptions;
  #heldFence: Fence | undefined;
  /** End of the topic after this daemon's own last append, in the era of {@link #ownEra}. */
  #ownEndOffset = 0;
  #ownEra = 0;
  /** Era that the store began while this daemon held the lease. */
  #heldIntoEra: number | undefined;
  #lastRecordAtMs: number;
  /** Wall clock minus steady clock; a jump means that the VM was suspended or the clock was set. */
  #clockOffsetMs: number;
  #acquireAfterMs = 0;
  #acquiredAtMs = -Infinity;

  constructor(options: DutyLeaseOptions) {
    this.#options = options;
    this.#lastRecordAtMs = options.clock.nowMs();
    this.#clockOffsetMs = options.wallNowMs() - options.clock.nowMs();
    options.replica.onRecord(({ key, offset }) => {
      if (key !== leaseKey) return;
      this.#lastRecordAtMs = options.clock.nowMs();
      const record = this.#record();
      // What the store came back with is judged once it was read completely.
      if (options.replica.isEnteringEra) return;
      if (this.#heldFence !== undefined && offset >= this.#ownEnd && !this.#isOwn(record)) {
        this.#markLost('another daemon took the lease');
      }
    });
    options.replica.onNewEra((era) => {
      this.#enterEra(era);
    });
  }

  /** Fence with which this daemon may act now; undefined when it may not act. */
  get fence(): Fence | undefined {
    if (this.#heldFence === undefined) return undefined;
    const { clock, leaseMs, replica } = this.#options;
    if (this.#wasSuspended() || replica.isBehindEra) return undefined;
    const untilMs = this.#renewedAtMs + leaseMs - holderMarginMs;
    return clock.nowMs() < untilMs ? this.#heldFence : undefined;
  }

  /**
   * Acquires the lease when it is free, sends due heartbeats and drops the lease when it expires.
   */
  async tick(): Promise<void> {
    const { samples, clock, replica } = this.#options;
    const nowMs = clock.nowMs();
    const hasExpired = this.#hasExpired(nowMs);
    if (this.#heldFence !== undefined && hasExpired)
      this.#markLost('heartbeats were not acknowledged in time, or the VM was suspended');
    this.#clockOffsetMs = this.#options.wallNowMs() - clock.nowMs();
    if (this.#heldFence !== undefined && this.#renewedAtMs + heartbeatIntervalMs <= nowMs) {
      void samples.publishAtOnce();
    }
    if (this.#heldFence !== undefined || replica.isFailing || replica.isBehindEra) return;
    if (nowMs < this.#acquireAfterMs || replica.endOffset === undefined) return;
    if (this.#options.isEligible() && this.#isFree(nowMs)) await this.#acquire();
  }

  /**
   * Whether this daemon held the lease when it learned of an era of the store, so that no other daemon
   * has acted since it last acquired the lease and up to then.
   */
  wasHeldInto(era: number): boolean {
    return this.#heldIntoEra === era;
  }

  /** Drops the lease because the platform has seen a higher fence. */
  markFenced(): void {
    this.#markLost('the platform has seen a higher fence');
    this.#acquireAfterMs = this.#options.clock.nowMs() + this.#options.leaseMs;
  }

  /**
   * Appends a record that the next holder needs to continue a duty, provided that this daemon still
   * holds the lease.
   *
   * @returns whether the record is known to be stored.
   */
  async append(key: string, value: unknown): Promise<boolean> {
    if (this.fence === undefined) return false;
    return this.#append(key, value);
  }

  /** Releases the lease, so that another daemon need not wait until it expires. */
  async release(): Promise<void> {
    const fence = this.#heldFence;
    if (fence === undefined) return;
    const { daemon, incarnation } = this.#options;
    this.#markLost('the daemon is stopping');
    await this.#append(leaseKey, { holder: '', incarnation, fence, previousHolder: daemon });
  }

  /** Send time of the append or heartbeat by which this daemon last acquired or renewed the lease. */
  get #renewedAtMs(): number {
    return Math.max(this.#acquiredAtMs, this.#options.samples.heartbeatAtMs);
  }

  #hasExpired(nowMs: number): boolean {
    return this.#renewedAtMs + this.#options.leaseMs <= nowMs || this.#wasSuspended();
  }

  #enterEra(era: number): void {
    const { clock, replica } = this.#options;
    this.#lastRecordAtMs = clock.nowMs();
    if (this.#heldFence === undefined) return;
    if (this.#hasExpired(clock.nowMs())) {
      this.#markLost('the lease expired before a new era of the store was known');
      return;
    }
    this.#heldIntoEra = era;
    const stored = decodeKeyedJson(replica.stored(leaseKey)?.value, leaseSchema);
    if (this.#isOwn(stored) && stored?.fence === this.#heldFence) return;
    this.#markLost('the store came back without the record of the lease');
  }

  #wasSuspended(): boolean {
    const { clock, wallNowMs } = this.#options;
    return Math.abs(wallNowMs() - clock.nowMs() - this.#clockOffsetMs) > maxClockDriftMs;
  }

  #isFree(nowMs: number): boolean {
    const { samples, leaseMs, daemon, replica } = this.#options;
    // A holder that does not know of the era may act until then, by a record that is gone.
    if (nowMs < replica.eraSeenAtMs + leaseMs + takeoverMarginMs) return false;
    const record = this.#record();
    if (!record) return true;
    const isOfEarlierEra = eraOfFence(record.fence) < (replica.era ?? 0);
    // The lease expired for lack of acknowledged heartbeats and nobody has taken it since. If another
    // daemon does so now, the conditional append of one of the two fails.
    if (this.#isOwn(record) && !isOfEarlierEra) return true;
    const idleMs = leaseMs + takeoverMarginMs;
    // A previous holder that took the lease back at once would change the holder twice within one
    // lease.
    const isReturningHolder = record.previousHolder === daemon && record.holder !== daemon;
    if (isReturningHolder && nowMs < this.#lastRecordAtMs + idleMs) return false;
    if (record.holder === '') return true;
    const { holder, incarnation } = record;
    // A record that was written for an earlier era may be an append that took effect late, and have
    // replaced that of the holder.
    const heartbeatAtMs = isOfEarlierEra
      ? samples.newestHeartbeatAtMs
      : (samples.heartbeatReceivedAtMs(holder, incarnation) ?? 0);
    // A heartbeat may be in the store that this daemon has not read yet.
    const knownAsOfMs = Math.min(nowMs, samples.knownAsOfMs);
    return knownAsOfMs >= Math.max(this.#lastRecordAtMs, heartbeatAtMs) + idleMs;
  }

  async #acquire(): Promise<void> {
    const { daemon, incarnation, events, clock, samples, replica } = this.#options;
    const previous = this.#record();
    const fence = fenceOf(replica.era ?? 0, this.#endOffset);
    if (fence === undefined) {
      events.error(EventId.ControlLeaseLost, 'no fence is left for this era and offset', {
        lease: 'duties',
        era: replica.era,
        offset: this.#endOffset,
      });
      return;
    }
    const record: DutyLeaseRecord = {
      holder: daemon,
      incarnation,
      fence,
      previousHolder: previous ? previous.holder || previous.previousHolder : '',
    };
    const sentAtMs = clock.nowMs();
    if (!(await this.#append(leaseKey, record))) return;
    this.#heldFence = fence;
    this.#acquiredAtMs = sentAtMs;
    samples.setDutyFence(fence);
    this.#clockOffsetMs = this.#options.wallNowMs() - clock.nowMs();
    events.info(EventId.ControlLeaseTaken, 'lease acquired', { lease: 'duties', fence });
    void samples.publishAtOnce();
  }

  #markLost(reason: string): void {
    const fence = this.#heldFence;
    if (fence === undefined) return;
    this.#heldFence = undefined;
    this.#options.samples.setDutyFence(0);
    this.#options.events.info(EventId.ControlLeaseLost, 'lease lost', {
      lease: 'duties',
      fence,
      reason,
    });
  }

  get #endOffset(): number {
    return Math.max(this.#options.replica.endOffset ?? 0, this.#ownEnd);
  }

  /** End of the topic after this daemon's own last append in the present era. */
  get #ownEnd(): number {
    return this.#ownEra === (this.#options.replica.era ?? 0) ? this.#ownEndOffset : 0;
  }

  async #append(key: string, value: unknown): Promise<boolean> {
    const { log, topic, replica, events } = this.#options;
    const expectedEndOffset = this.#endOffset;
    const { era = 0 } = replica;
    try {
      const stored = await log.append(topic, key, encodeKeyedJson(value), {
        expectedEndOffset,
      });
      if (stored.era !== era || (replica.era ?? 0) !== era) {
        // The offset is that of another record, and the fence in the record that of another era.
        events.info(EventId.AppendRetried, 'duty record stored in another era', {
          key,
          era: stored.era,
        });
        return false;
      }
      this.#ownEra = era;
      this.#ownEndOffset = stored.offset + 1;
      return true;
    } catch (error) {
      // If only the response was lost, the record is stored and appears when the topic is read;
      // until then the daemon does not act on it.
      const reason = error instanceof Error ? error.message : String(error);
      events.info(EventId.AppendRetried, 'duty record not confirmed as stored', {
        key,
        reason,
      });
      if (error instanceof AppendConflictError || error instanceof LogUnavailableError) {
        await replica.refresh().catch((refreshError: unknown) => {
          events.warn(EventId.LogReadFailing, 'duties could not be read after a failed append', {
            stream: topic,
            reason: String(refreshError),
          });
        });
      }
      return false;
    }
  }

  /** The lease as the store holds it in its present era. */
  #record(): DutyLeaseRecord | undefined {
    return decodeKeyedJson(this.#options.replica.stored(leaseKey)?.value, leaseSchema);
  }

  #isOwn(record: DutyLeaseRecord | undefined): boolean {
    const { daemon, incarnation } = this.#options;
    return record?.holder === daemon && record.incarnation === incarnation;
  }
}
