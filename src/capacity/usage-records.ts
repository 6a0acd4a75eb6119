import { z } from 'zod';
import { decodeKeyedJson } from '../log/keyed-json.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { UsageReport } from './duty-client.js';

const recordSchema = z.object({
  window: z.int(),
  counts: z.record(z.string(), z.number()),
  /** Era of the store for which the record was written; not part of records of era 0. */
  era: z.int().nonnegative().default(0),
  /** First window that may be reported after this one; the next one if it is not stated. */
  fromWindow: z.int().optional(),
});

/** The latest usage report as the store holds it. */
type UsageRecord = z.output<typeof recordSchema>;

/** Key of the record. */
export const usageKey = 'usage';

/** What may be reported next. */
export interface UsagePlan {
  /** Report that was stored before the store went back and is to be stored again first. */
  readonly lost: UsageReport | undefined;
  /** Stored report that may have to be sent again. */
  readonly stored: UsageReport | undefined;
  /** First window that may be counted and stored. */
  readonly fromWindow: number;
  /** Whether windows below it may have been reported with counts that nobody knows any more. */
  readonly isBounded: boolean;
}

/** Options of {@link UsageRecords}. */
export interface UsageRecordsOptions {
  readonly replica: KeyedReplica;
  /** Index of the window that contains a time, given in epoch milliseconds. */
  readonly windowOf: (atMs: number) => number;
  /** Whether this daemon was the only one to act until it learned of an era. */
  readonly wasHeldInto: (era: number) => boolean;
}

/**
 * Usage reports in the store across its eras. After the store came back from an older copy, the newest
 * reports may be gone, while the platform has them. Within one era conditional appends make sure that
 * each window is stored once. From one era to the next:
 *
 * - The newest report of the era before is stored again if this daemon knows it.
 * - A window that may have been reported meanwhile is never counted again.
 * - A record that was written for an earlier era and is not known from then is not sent: it may be an
 *   append that took effect late.
 */
export class UsageRecords {
  readonly #options: UsageRecordsOptions;
  /** Newest record read in the present era. */
  #read: UsageRecord | undefined;
  /** Newest record that this daemon stored in the present era; it may not have been read yet. */
  #own: UsageRecord | undefined;
  /** Newest report at the end of the era before, if it is known for certain. */
  #last: UsageRecord | undefined;
  /** First window that may follow all reports that were known in any era. */
  #afterKnownWindow = -Infinity;
  /**
   * First window that nobody can have reported in an earlier era without this daemon knowing;
   * undefined until it is asked for by a daemon that has just started in an era.
   */
  #boundWindow: number | undefined;

  constructor(options: UsageRecordsOptions) {
    this.#options = options;
    const { replica } = options;
    replica.onRecord(({ key }) => {
      if (key === usageKey && !replica.isEnteringEra) this.#readStored();
    });
    replica.onNewEra((era, previousEra) => {
      this.#enterEra(era, previousEra);
    });
    this.#readStored();
  }

  /** What may be reported next, by a daemon that holds the lease. */
  plan(): UsagePlan {
    const { replica, windowOf } = this.#options;
    const present = this.#present;
    const { era = 0 } = replica;
    if (era === 0) return planOf({ stored: present, fromWindow: afterWindow(present) });
    const afterKnown = Math.max(afterWindow(present), this.#afterKnownWindow);
    if (present?.era === era) return planOf({ stored: present, fromWindow: afterKnown });
    // Nothing was stored for this era yet.
    this.#boundWindow ??= windowOf(replica.eraSeenAtMs);
    const fromWindow = Math.max(afterKnown, this.#boundWindow);
    const isBounded = this.#boundWindow > afterKnown;
    const last = this.#last;
    if (!last || (present && present.window > last.window))
      return planOf({ fromWindow, isBounded });
    if (present?.window !== last.window) return planOf({ lost: last, fromWindow, isBounded });
    const isSame = isSameReport(present, last);
    return planOf({ stored: isSame ? last : undefined, fromWindow, isBounded });
  }

  /** The value to store for a report. @param fromWindow - first window that may follow. */
  valueOf({ window, counts }: UsageReport, fromWindow: number): unknown {
    const { era = 0 } = this.#options.replica;
    if (era === 0) return { window, counts };
    return { window, counts, era, fromWindow: Math.max(window + 1, fromWindow) };
  }

  /** A value was stored in an era, which may be over. */
  wasStored(value: unknown, era: number): void {
    const record = recordSchema.parse(value);
    this.#afterKnownWindow = Math.max(this.#afterKnownWindow, afterWindow(record));
    if (era === (this.#options.replica.era ?? 0)) this.#own = record;
  }

  get #present(): UsageRecord | undefined {
    const own = this.#own;
    return own && own.window >= (this.#read?.window ?? -Infinity) ? own : this.#read;
  }

  #readStored(): void {
    const { replica } = this.#options;
    this.#read = decodeKeyedJson(replica.stored(usageKey)?.value, recordSchema);
    this.#afterKnownWindow = Math.max(this.#afterKnownWindow, afterWindow(this.#read));
  }

  /**
   * The last report of the previous era is known for certain if its record was written for that era
   * and no other era passed unseen, or if nobody but this daemon can have reported meanwhile.
   */
  #enterEra(era: number, previousEra: number): void {
    const { windowOf, wasHeldInto, replica } = this.#options;
    const present = this.#present;
    const isExact = wasHeldInto(era);
    const isOfEra = present?.era === previousEra;
    if (isOfEra && (isExact || previousEra === era - 1)) this.#last = present;
    else if (!isExact) this.#last = undefined;
    const seenInWindow = windowOf(replica.eraSeenAtMs);
    if (!isExact) this.#boundWindow = seenInWindow;
    // The record of an era states the bound that its writer knew; in era 0 there is none.
    else if (isOfEra || previousEra === 0) this.#boundWindow = -Infinity;
    else this.#boundWindow ??= seenInWindow;
    this.#own = undefined;
    this.#readStored();
  }
}

function planOf(plan: Partial<UsagePlan> & Pick<UsagePlan, 'fromWindow'>): UsagePlan {
  return { lost: undefined, stored: undefined, isBounded: false, ...plan };
}

/** First window that may follow a record. */
function afterWindow(record: UsageRecord | undefined): number {
  return record?.fromWindow ?? (record?.window ?? -Infinity) + 1;
}

function isSameReport(one: UsageReport, other: UsageReport): boolean {
  const text = ({ counts }: UsageReport): string =>
    JSON.stringify(Object.entries(counts).toSorted(([a], [b]) => (a < b ? -1 : 1)));
  return one.window === other.window && text(one) === text(other);
}
