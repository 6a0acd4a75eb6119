import type { KeyedLog } from '../log/index.js';
import { quarantineKey, type QuarantineEntry } from './quarantine-entry.js';
import { decodeQuarantineRecord, storeQuarantine } from './quarantine-records.js';

/** What an operator can ask of the quarantines, which are read from and written to the store. */
export class QuarantineAdmin {
  readonly #log: KeyedLog;
  readonly #topic: string;

  /** @param topic - topic of the quarantines' records. */
  constructor(log: KeyedLog, topic: string) {
    this.#log = log;
    this.#topic = topic;
  }

  /** Quarantines in force. @throws LogUnavailableError when the store cannot be read. */
  async list(): Promise<QuarantineEntry[]> {
    const { records } = await this.#log.newest(this.#topic);
    return records
      .flatMap((record) => decodeQuarantineRecord(record) ?? [])
      .filter(({ isReleased }) => !isReleased);
  }

  /**
   * Lifts the quarantine of just these parts.
   *
   * @returns whether there was one.
   * @throws LogUnavailableError, LogRefusedError when it was not stored or may not have been.
   */
  async release(partIds: readonly string[]): Promise<boolean> {
    const key = quarantineKey(partIds.toSorted());
    const entry = (await this.list()).find((found) => quarantineKey(found.partIds) === key);
    if (!entry) return false;
    const lifted = { ...entry, version: entry.version + 1, isReleased: true };
    await storeQuarantine(this.#log, this.#topic, lifted);
    return true;
  }
}
