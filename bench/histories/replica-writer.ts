import type { Clock, IdSource } from '../../src/core/index.js';
import { LogRefusedError, type LogService, type ReadPage } from '../../src/log/index.js';
import {
  AppendFailedError,
  EntryWriter,
  decodeEnvelope,
  encodeEnvelope,
  type AppendOptions,
  type Fold,
  type Position,
  type RawEntry,
} from '../../src/state/index.js';

/** Options of {@link ReplicaWriter}. */
export interface ReplicaWriterOptions {
  readonly clock: Clock;
  readonly log: LogService;
  readonly stream: string;
  readonly daemon: string;
  readonly newId: IdSource;
  readonly folds: readonly Fold[];
}

const readWaitMs = 1_000;
const readTimeoutMs = 6_000;
const retryMs = 100;

/**
 * Small {@link EntryWriter} with its own tailer, one entry per record. Histories and tests use it in
 * place of the daemon's group-committing appender.
 */
export class ReplicaWriter extends EntryWriter {
  readonly #options: ReplicaWriterOptions;
  readonly #waiters = new Map<string, (position: Position) => void>();
  #nextOffset = 0;
  #isStopped = false;

  constructor(options: ReplicaWriterOptions) {
    super();
    this.#options = options;
  }

  /** Follows the stream until {@link stop}. */
  async start(): Promise<void> {
    const { clock, log, stream } = this.#options;
    while (!this.#isStopped) {
      const reading = log.read(stream, this.#nextOffset, { limit: 200, waitMs: readWaitMs });
      const enough = new AbortController();
      const timeout = clock.sleepUntil(clock.nowMs() + readTimeoutMs, enough.signal);
      const page = await Promise.race([
        reading.catch(() => undefined),
        timeout.then(() => undefined),
      ]);
      enough.abort();
      if (page) this.#apply(page);
      else await clock.sleepUntil(clock.nowMs() + retryMs);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  override append(entry: RawEntry, options: AppendOptions): Promise<Position> {
    const { clock, daemon, newId } = this.#options;
    const record = { id: newId(), data: encodeEnvelope(daemon, [entry]) };
    return new Promise((resolve, reject) => {
      const state = { isSettled: false, mayBeStored: false };
      const cancel = clock.schedule(options.deadlineAtMs, () => {
        state.isSettled = true;
        this.#waiters.delete(record.id);
        reject(
          new AppendFailedError('not read back by the deadline', 'memory-log', state.mayBeStored),
        );
      });
      this.#waiters.set(record.id, (position) => {
        state.isSettled = true;
        cancel();
        resolve(position);
      });
      void this.#send(record, state);
    });
  }

  async #send(
    record: { id: string; data: string },
    state: { isSettled: boolean; mayBeStored: boolean },
  ): Promise<void> {
    const { clock, log, stream } = this.#options;
    while (!state.isSettled) {
      const before = state.mayBeStored;
      state.mayBeStored = true;
      try {
        await log.append(stream, record);
        return;
      } catch (error) {
        if (error instanceof LogRefusedError) state.mayBeStored = before;
        await clock.sleepUntil(clock.nowMs() + retryMs);
      }
    }
  }

  #apply(page: ReadPage): void {
    for (const record of page.records) {
      if (record.offset < this.#nextOffset) continue;
      this.#nextOffset = record.offset + 1;
      const entries = decodeEnvelope(record.data)?.entries ?? [];
      entries.forEach((entry, index) => {
        for (const fold of this.#options.folds) fold.apply({ offset: record.offset, index }, entry);
      });
      const resolve = this.#waiters.get(record.id);
      this.#waiters.delete(record.id);
      resolve?.({ offset: record.offset, index: 0 });
    }
  }
}
