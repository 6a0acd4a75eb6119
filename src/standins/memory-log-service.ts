import { Clock } from '../core/index.js';
import {
  LogRefusedError,
  LogService,
  LogUnavailableError,
  type LogRecord,
  type NewRecord,
  type Offset,
  type ReadOptions,
  type ReadPage,
} from '../log/index.js';

/** What happens to one append or read. */
export enum LogFault {
  None = 'none',
  /** Refused before any effect. */
  Refused = 'refused',
  /** The request never arrives and no answer comes. */
  RequestLost = 'request_lost',
  /** The record is stored, but the answer is lost. */
  AnswerLost = 'answer_lost',
  /** Stored twice, as by a retry inside the network, with the answer of the first. */
  Duplicated = 'duplicated',
}

/** Fate of one read. */
export interface LogReadFate {
  readonly fault: LogFault;
  readonly delayMs: number;
  /** The answer lacks this many of the newest records, as from a replica that lags. */
  readonly lagRecords?: number;
}

/** Decides the fate and the delay of each call; tests hand in a seeded one. */
export abstract class LogFaultSource {
  abstract onAppend(stream: string, record: NewRecord): { fault: LogFault; delayMs: number };
  abstract onRead(stream: string): LogReadFate;
}

/** A log service that never fails and answers at once. */
export class NoLogFaults extends LogFaultSource {
  override onAppend(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.None, delayMs: 0 };
  }

  override onRead(): { fault: LogFault; delayMs: number } {
    return { fault: LogFault.None, delayMs: 0 };
  }
}

/** Options of {@link MemoryLogService}. */
export interface MemoryLogServiceOptions {
  readonly clock: Clock;
  readonly faults?: LogFaultSource;
}

/**
 * In-memory stand-in of the log service with seeded faults.
 *
 * @example
 * ```ts
 * const log = new MemoryLogService({ clock });
 * await log.append('s', { id: '1', data: '{}' });
 * ```
 */
export class MemoryLogService extends LogService {
  readonly #clock: Clock;
  readonly #streams = new Map<string, { records: LogRecord[]; earliest: Offset }>();
  readonly #waiters = new Map<string, Set<() => void>>();
  /** Replaced by tests while a history runs. */
  faults: LogFaultSource;

  constructor(options: MemoryLogServiceOptions) {
    super();
    this.#clock = options.clock;
    this.faults = options.faults ?? new NoLogFaults();
  }

  override async append(
    stream: string,
    record: NewRecord,
    signal?: AbortSignal,
  ): Promise<{ readonly offset: Offset }> {
    const { fault, delayMs } = this.faults.onAppend(stream, record);
    if (delayMs > 0) await this.#clock.sleepUntil(this.#clock.nowMs() + delayMs, signal);
    if (fault === LogFault.Refused) throw new LogRefusedError('append refused', 'memory-log');
    if (fault === LogFault.RequestLost) {
      throw new LogUnavailableError('no answer to the append', 'memory-log', true);
    }
    const offset = this.#store(stream, record);
    if (fault === LogFault.Duplicated) this.#store(stream, record);
    if (fault === LogFault.AnswerLost) {
      throw new LogUnavailableError('no answer to the append', 'memory-log', true);
    }
    return { offset };
  }

  override async read(stream: string, fromOffset: Offset, options: ReadOptions): Promise<ReadPage> {
    const { fault, delayMs, lagRecords = 0 } = this.faults.onRead(stream);
    if (delayMs > 0) await this.#clock.sleepUntil(this.#clock.nowMs() + delayMs, options.signal);
    if (fault !== LogFault.None) {
      throw new LogUnavailableError('no answer to the read', 'memory-log', false);
    }
    if (this.#nextOffset(stream) <= fromOffset && options.waitMs > 0) {
      await this.#waitForAppend(stream, options);
    }
    const { records, earliest } = this.#stream(stream);
    const start = Math.max(fromOffset, earliest);
    const visible =
      lagRecords > 0 ? records.slice(0, Math.max(0, records.length - lagRecords)) : records;
    return {
      records: visible.slice(start - earliest, start - earliest + options.limit),
      earliestOffset: earliest,
      nextOffset: earliest + visible.length,
    };
  }

  /** Drops records below `offset`, as the end of their retention does. */
  trim(stream: string, offset: Offset): void {
    const state = this.#stream(stream);
    const dropped = Math.min(Math.max(0, offset - state.earliest), state.records.length);
    state.records.splice(0, dropped);
    state.earliest += dropped;
  }

  /** All records still kept, for checkers. */
  recordsOf(stream: string): readonly LogRecord[] {
    return this.#stream(stream).records;
  }

  #store(stream: string, record: NewRecord): Offset {
    const { records, earliest } = this.#stream(stream);
    const offset = earliest + records.length;
    records.push({ ...record, offset, appendedAtMs: this.#clock.nowMs() });
    for (const wake of this.#waiters.get(stream) ?? []) wake();
    return offset;
  }

  #nextOffset(stream: string): Offset {
    const { records, earliest } = this.#stream(stream);
    return earliest + records.length;
  }

  #stream(stream: string): { records: LogRecord[]; earliest: Offset } {
    let state = this.#streams.get(stream);
    if (!state) {
      state = { records: [], earliest: 0 };
      this.#streams.set(stream, state);
    }
    return state;
  }

  async #waitForAppend(stream: string, options: ReadOptions): Promise<void> {
    const wake = new AbortController();
    const onAppend = (): void => {
      wake.abort();
    };
    let waiters = this.#waiters.get(stream);
    if (!waiters) {
      waiters = new Set();
      this.#waiters.set(stream, waiters);
    }
    waiters.add(onAppend);
    options.signal?.addEventListener('abort', onAppend, { once: true });
    await this.#clock.sleepUntil(this.#clock.nowMs() + options.waitMs, wake.signal);
    waiters.delete(onAppend);
    options.signal?.removeEventListener('abort', onAppend);
  }
}
