import { hash32, type Clock } from '../core/index.js';
import {
  LogRefusedError,
  LogUnavailableError,
  type KeyedLog,
  type KeyedRecord,
} from '../log/index.js';
import { decodeKeyedJson, encodeKeyedJson } from '../log/keyed-json.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { quarantineEntrySchema, quarantineKey, type QuarantineEntry } from './quarantine-entry.js';

/** Sets the records of quarantines apart from others in their topic. */
const keyPrefix = 'quarantine/';

/** Key of an entry's record; of bounded length, whatever the number of parts. */
export function quarantineRecordKey(entry: QuarantineEntry): string {
  return `${keyPrefix}${hash32(quarantineKey(entry.partIds), 0).toString(16)}`;
}

/** Whether a record of the topic is about a quarantine. */
function isQuarantineRecord(key: string): boolean {
  return key.startsWith(keyPrefix);
}

/** Decodes a record of the topic; undefined when it is not about a quarantine, or not readable. */
export function decodeQuarantineRecord({ key, value }: KeyedRecord): QuarantineEntry | undefined {
  if (!isQuarantineRecord(key)) return undefined;
  return decodeKeyedJson(value, quarantineEntrySchema);
}

/** Stores an entry. @throws LogUnavailableError, LogRefusedError as {@link KeyedLog.append} does. */
export async function storeQuarantine(
  log: KeyedLog,
  topic: string,
  entry: QuarantineEntry,
): Promise<void> {
  await log.append(topic, quarantineRecordKey(entry), encodeKeyedJson(entry));
}

/** Options of {@link QuarantineRecords}. */
export interface QuarantineRecordsOptions {
  readonly log: KeyedLog;
  readonly topic: string;
  readonly replica: KeyedReplica;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called with each entry that is read from the store. */
  readonly onEntry: (entry: QuarantineEntry) => void;
}

/** Time for a stored record to be read back, after which it is stored again. */
const readBackMs = 4_000;

/** Keeps quarantines in the store, where daemons that start find them. */
export class QuarantineRecords {
  readonly #options: QuarantineRecordsOptions;
  /** Version of each entry that the store is known to hold. */
  readonly #storedVersions = new Map<string, number>();
  /** Key of the record of each entry in the store. */
  readonly #recordKeys = new Map<string, string>();
  /** Time of the last append of an entry that the store did not show yet, by key. */
  readonly #appendedAtMs = new Map<string, number>();

  constructor(options: QuarantineRecordsOptions) {
    this.#options = options;
    options.replica.onRecord((record) => {
      const entry = decodeQuarantineRecord(record);
      if (!entry) {
        this.#reportUnreadable(record);
        return;
      }
      this.#storedVersions.set(quarantineKey(entry.partIds), entry.version);
      this.#recordKeys.set(quarantineKey(entry.partIds), record.key);
      options.onEntry(entry);
    });
    options.replica.onNewEra(() => {
      this.#forgetLost();
    });
  }

  /** Whether what the store holds was read once. */
  get isRead(): boolean {
    return this.#options.replica.endOffset !== undefined;
  }

  /**
   * Stores the entries that the store does not show. An append that was given up may take effect
   * after a later one, so that only what was read back counts as stored.
   */
  async storeMissing(entries: readonly QuarantineEntry[]): Promise<void> {
    if (!this.isRead) return;
    const dueBeforeMs = this.#options.clock.nowMs() - readBackMs;
    const missing = entries.filter((entry) => {
      const key = quarantineKey(entry.partIds);
      const isStored = (this.#storedVersions.get(key) ?? 0) >= entry.version;
      return !isStored && (this.#appendedAtMs.get(key) ?? -Infinity) < dueBeforeMs;
    });
    for (const entry of missing) await this.store(entry);
  }

  /** Removes the records of entries that are none of `entries`, so that they stay bounded. */
  async removeOthers(entries: readonly QuarantineEntry[]): Promise<void> {
    const { log, topic } = this.#options;
    const kept = new Set(entries.map(({ partIds }) => quarantineKey(partIds)));
    const others = [...this.#recordKeys].filter(([key]) => !kept.has(key));
    if (others.length === 0) return;
    try {
      await log.appendAll(
        topic,
        others.map(([, recordKey]) => ({ key: recordKey, value: undefined })),
      );
    } catch (error) {
      if (!(error instanceof LogUnavailableError || error instanceof LogRefusedError)) throw error;
      this.#options.events.debug(EventId.AppendRetried, 'old quarantines not removed yet', {
        stream: topic,
        reason: error.message,
      });
      return;
    }
    for (const [key] of others) {
      this.#recordKeys.delete(key);
      this.#storedVersions.delete(key);
    }
  }

  /** Stores an entry. @returns whether it is known to be stored. */
  async store(entry: QuarantineEntry): Promise<boolean> {
    const { log, topic, clock, events } = this.#options;
    this.#appendedAtMs.set(quarantineKey(entry.partIds), clock.nowMs());
    try {
      await storeQuarantine(log, topic, entry);
      return true;
    } catch (error) {
      if (!(error instanceof LogUnavailableError || error instanceof LogRefusedError)) throw error;
      events.warn(EventId.QuarantineNotStored, 'quarantine not stored yet; it is stored again', {
        partIds: entry.partIds,
        version: entry.version,
        reason: error.message,
      });
      return false;
    }
  }

  /** What the store came back without is stored again by the daemons that know it. */
  #forgetLost(): void {
    this.#appendedAtMs.clear();
    for (const [key, recordKey] of this.#recordKeys) {
      if (this.#options.replica.stored(recordKey)) continue;
      this.#recordKeys.delete(key);
      this.#storedVersions.delete(key);
    }
  }

  #reportUnreadable({ key, value, offset }: KeyedRecord): void {
    if (!isQuarantineRecord(key) || !value) return;
    this.#options.events.warn(EventId.QuarantineUnreadable, 'unreadable quarantine ignored', {
      key,
      offset,
    });
  }
}
