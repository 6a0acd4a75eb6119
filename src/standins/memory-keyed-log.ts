import {
  AppendConflictError,
  HistoryTrimmedError,
  KeyedLog,
  type AppendPosition,
  type KeyedAppendOptions,
  type KeyedEntry,
  type KeyedPage,
  type KeyedRecord,
} from '../log/keyed-log.js';
import { LogUnavailableError } from '../log/log-errors.js';

/** What the stand-in does wrong. */
export enum KeyedLogFault {
  None = 'none',
  /** No call has an effect or an answer. */
  Down = 'down',
  /** Appends are stored and not answered. */
  AnswersLost = 'answers_lost',
  /** Calls stay without an answer. */
  Silent = 'silent',
}

/** {@link KeyedLog} in memory. Reads never wait; faults are switched on by the test. */
export class MemoryKeyedLog extends KeyedLog {
  fault = KeyedLogFault.None;
  /** Era that responses state. */
  era = 0;
  /** How long each read was willing to wait, in milliseconds. */
  readonly waitsMs: number[] = [];
  /** Appends that took effect. */
  appendCalls = 0;
  readonly #topics = new Map<string, KeyedRecord[]>();
  readonly #firstOffsets = new Map<string, number>();

  override async newest(topic: string): Promise<KeyedPage> {
    await this.#check();
    const records = this.#records(topic);
    const newest = new Map(records.map((record) => [record.key, record]));
    return {
      records: [...newest.values()].filter(({ value }) => value !== undefined),
      endOffset: records.length,
      era: this.era,
    };
  }

  override async read(topic: string, fromOffset: number, waitMs = 0): Promise<KeyedPage> {
    this.waitsMs.push(waitMs);
    await this.#check();
    if (fromOffset < (this.#firstOffsets.get(topic) ?? 0)) {
      throw new HistoryTrimmedError(topic, this.era);
    }
    const records = this.#records(topic);
    if (fromOffset > records.length) throw new HistoryTrimmedError(topic, this.era);
    return { records: records.slice(fromOffset), endOffset: records.length, era: this.era };
  }

  override async appendAll(
    topic: string,
    entries: readonly KeyedEntry[],
    { expectedEndOffset }: KeyedAppendOptions = {},
  ): Promise<AppendPosition> {
    await this.#check();
    const offset = this.#records(topic).length;
    if (expectedEndOffset !== undefined && expectedEndOffset !== offset) {
      throw new AppendConflictError(topic, offset, this.era);
    }
    for (const { key, value } of entries) this.put(topic, key, value);
    this.appendCalls += 1;
    if (this.fault === KeyedLogFault.AnswersLost) throw unavailable(true);
    return { offset, era: this.era };
  }

  /** Adds a record as another writer would; undefined removes the key. */
  put(topic: string, key: string, value: Uint8Array | string | undefined): void {
    const records = this.#records(topic);
    const bytes = typeof value === 'string' ? Buffer.from(value) : value;
    records.push({ key, value: bytes, offset: records.length });
  }

  /** Notes the state of all topics, for {@link recover}. */
  copy(): ReadonlyMap<string, number> {
    return new Map([...this.#topics].map(([topic, records]) => [topic, records.length]));
  }

  /** Comes back from a copy: what was written since is gone, and a new era begins. */
  recover(copy: ReadonlyMap<string, number>): void {
    for (const [topic, records] of this.#topics) records.length = copy.get(topic) ?? 0;
    for (const [topic, offset] of this.#firstOffsets) {
      this.#firstOffsets.set(topic, Math.min(offset, this.#records(topic).length));
    }
    this.era += 1;
  }

  /** Forgets the history of a topic; the newest record of each key stays. */
  trim(topic: string): void {
    this.#firstOffsets.set(topic, this.#records(topic).length);
  }

  async #check(): Promise<void> {
    if (this.fault === KeyedLogFault.Silent) await new Promise(() => undefined);
    if (this.fault === KeyedLogFault.Down) throw unavailable(false);
  }

  #records(topic: string): KeyedRecord[] {
    let records = this.#topics.get(topic);
    if (!records) {
      records = [];
      this.#topics.set(topic, records);
    }
    return records;
  }
}

function unavailable(mayBeStored: boolean): LogUnavailableError {
  return new LogUnavailableError('the store does not answer', 'memory', mayBeStored);
}
