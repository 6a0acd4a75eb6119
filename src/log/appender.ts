import type { Clock, IdSource, Random } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { AppendBudget } from './append-budget.js';
import { RetryDelay } from './retry-delay.js';
import { CircuitState, type CircuitBreaker } from './circuit-breaker.js';
import {
  AppendFailedError,
  EntryPriority,
  EntryWriter,
  type AppendOptions,
} from './entry-writer.js';
import { encodeEnvelope, type RawEntry } from './envelope.js';
import { LogRefusedError, LogUnavailableError } from './log-errors.js';
import type { LogRecord, LogService } from './log-service.js';
import { maxEntriesPerRecord, type Position } from './position.js';
import type { RecordFeed } from './record-feed.js';
import { withTimeout } from './with-timeout.js';

/** Options of {@link Appender}. */
export interface AppenderOptions {
  readonly log: LogService;
  readonly stream: string;
  /** Name of the daemon or tool, stored in each record. */
  readonly writer: string;
  /** The replica of the stream, which reports the records read back. */
  readonly feed: RecordFeed;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: IdSource;
  readonly budget: AppendBudget;
  readonly breaker: CircuitBreaker;
  readonly events: EventLog;
  readonly maxBatchBytes?: number;
  /** Group-commit delay: how long the first entry of a batch waits for further entries. */
  readonly maxDelayMs?: number;
  /** Limit of {@link Appender.pendingBytes}; entries beyond it are refused. */
  readonly maxPendingBytes?: number;
  /** Timeout of one attempt; the append is then retried with the same record id. */
  readonly attemptTimeoutMs?: number;
}

interface PendingEntry {
  readonly entry: RawEntry;
  readonly bytes: number;
  readonly options: AppendOptions;
  readonly resolve: (position: Position) => void;
  readonly reject: (error: AppendFailedError) => void;
  readonly cancelDeadline: () => void;
  isSettled: boolean;
  /** True from the start of an attempt; reset when the attempt provably stored nothing. */
  mayBeStored: boolean;
}

interface Batch {
  readonly id: string;
  readonly data: string;
  readonly items: readonly PendingEntry[];
  /** Aborted when the record is read back or all its entries have failed; ends retries. */
  readonly settled: AbortController;
  isReadBack: boolean;
  /** True when an attempt ended without proof that the record is not stored. */
  mayBeStored: boolean;
}

/** A record holds at most 1 MiB; the remainder is reserved for the envelope. */
const maxEntryBytes = 1_000_000;

/**
 * Writes entries to one stream with group commit: many entries share one append. Only one append is
 * in flight at a time, so that entries of the same priority keep their order. A batch whose outcome
 * is unknown is retried with the same record id until it is read back or all its entries have
 * failed.
 *
 * @example
 * ```ts
 * const appender = new Appender({ log, stream, writer: 'entry-1', feed: replica, ...rest });
 * const position = await appender.append(entry, { deadlineAtMs, priority: EntryPriority.High });
 * ```
 */
export class Appender extends EntryWriter {
  readonly #options: AppenderOptions;
  readonly #maxBatchBytes: number;
  readonly #maxDelayMs: number;
  readonly #maxPendingBytes: number;
  readonly #queues: readonly PendingEntry[][] = [[], [], []];
  readonly #retryDelay: RetryDelay;
  readonly #abort = new AbortController();
  readonly #unsubscribe: () => void;
  #queuedBytes = 0;
  #pendingBytes = 0;
  /** Batches sent and not read back yet, by record id. */
  readonly #unconfirmed = new Map<string, Batch>();
  #isRunning = false;
  #batchDelayAbort: AbortController | undefined;

  constructor(options: AppenderOptions) {
    super();
    this.#options = options;
    this.#maxBatchBytes = options.maxBatchBytes ?? 65_536;
    this.#maxDelayMs = options.maxDelayMs ?? 20;
    this.#maxPendingBytes = options.maxPendingBytes ?? 8 * 1_048_576;
    this.#retryDelay = new RetryDelay({ random: options.random });
    this.#unsubscribe = options.feed.onRecord((record) => this.#onRecord(record));
  }

  /** True while the circuit is closed; otherwise callers should refuse work that needs the log. */
  get isAvailable(): boolean {
    return this.#options.breaker.state === CircuitState.Closed;
  }

  /** Bytes of the entries that are neither read back nor failed. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  override append(entry: RawEntry, options: AppendOptions): Promise<Position> {
    const bytes = Buffer.byteLength(JSON.stringify(entry)) + 1;
    const nowMs = this.#options.clock.nowMs();
    const refusal = this.#abort.signal.aborted
      ? 'the appender has stopped'
      : bytes > maxEntryBytes
        ? `the entry has ${bytes} bytes, more than ${maxEntryBytes}; split it`
        : options.deadlineAtMs <= nowMs
          ? 'the deadline has passed; nothing was sent'
          : this.#pendingBytes + bytes > this.#maxPendingBytes
            ? 'the append queue is full; nothing was sent, retry later'
            : undefined;
    if (refusal !== undefined) {
      return Promise.reject(new AppendFailedError(refusal, this.#options.stream, false));
    }
    return new Promise((resolve, reject) => {
      const item: PendingEntry = {
        entry,
        bytes,
        options,
        resolve,
        reject,
        cancelDeadline: this.#options.clock.schedule(options.deadlineAtMs, () =>
          this.#fail(item, 'the deadline passed before the entry was read back from the log'),
        ),
        isSettled: false,
        mayBeStored: false,
      };
      this.#queues[options.priority]?.push(item);
      this.#queuedBytes += bytes;
      this.#pendingBytes += bytes;
      if (this.#queuedBytes >= this.#maxBatchBytes) this.#batchDelayAbort?.abort();
      void this.#run();
    });
  }

  /** Stops sending. Entries that are not read back yet fail with {@link AppendFailedError}. */
  stop(): void {
    this.#abort.abort();
    this.#unsubscribe();
    const sent = [...this.#unconfirmed.values()].flatMap(({ items }) => items);
    const open = [...this.#queues.flat(), ...sent];
    for (const item of open) this.#fail(item, 'the appender has stopped');
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    const { breaker, budget } = this.#options;
    while (this.#hasQueued() && !this.#abort.signal.aborted) {
      await this.#waitForBatch();
      if (breaker.state !== CircuitState.Closed) await this.#waitForCircuit(this.#abort.signal);
      const isGranted = await budget.acquire(() => this.#highestPriority(), this.#abort.signal);
      // Acquired in the same turn as the send, so that a probe always reports its result.
      if (isGranted && this.#hasQueued() && breaker.tryAcquire()) {
        await this.#send(this.#takeBatch());
      }
    }
    this.#isRunning = false;
  }

  /** Waits for the group-commit delay, or until a batch is full. */
  async #waitForBatch(): Promise<void> {
    if (this.#queuedBytes >= this.#maxBatchBytes) return;
    const { clock } = this.#options;
    const delayAbort = new AbortController();
    this.#batchDelayAbort = delayAbort;
    await clock.sleepUntil(
      clock.nowMs() + this.#maxDelayMs,
      AbortSignal.any([delayAbort.signal, this.#abort.signal]),
    );
    this.#batchDelayAbort = undefined;
  }

  /** Makes attempts until the batch is acknowledged, read back, provably not stored or settled. */
  async #send(batch: Batch): Promise<void> {
    this.#unconfirmed.set(batch.id, batch);
    let isDone = await this.#attempt(batch);
    while (!isDone && hasUnsettledItems(batch)) {
      await this.#waitForRetry(batch);
      if (hasUnsettledItems(batch) && this.#options.breaker.tryAcquire()) {
        isDone = await this.#attempt(batch);
      }
    }
  }

  /** Makes one attempt. Resolves with true when the batch needs no further one. */
  async #attempt(batch: Batch): Promise<boolean> {
    const { clock, log, stream, breaker, events, attemptTimeoutMs = 2_000 } = this.#options;
    // Set before sending: a deadline that passes during the attempt must not report "not stored".
    for (const item of batch.items) item.mayBeStored = true;
    try {
      await withTimeout(clock, attemptTimeoutMs, batch.settled.signal, (signal) =>
        log.append(stream, { id: batch.id, data: batch.data }, signal),
      );
      breaker.recordSuccess();
      this.#retryDelay.reset();
      return true;
    } catch (error) {
      if (batch.isReadBack) {
        breaker.recordSuccess();
        return true;
      }
      breaker.recordFailure();
      const isKnownNotStored =
        error instanceof LogRefusedError ||
        (error instanceof LogUnavailableError && !error.mayBeStored);
      if (isKnownNotStored && !batch.mayBeStored) {
        this.#requeue(batch);
        await clock.sleepUntil(clock.nowMs() + this.#retryDelay.nextMs(), this.#abort.signal);
        return true;
      }
      batch.mayBeStored = true;
      events.warn(EventId.AppendRetried, 'append not acknowledged; retrying with the same id', {
        stream,
        recordId: batch.id,
      });
      return false;
    }
  }

  async #waitForRetry(batch: Batch): Promise<void> {
    const { clock, budget } = this.#options;
    const { signal } = batch.settled;
    await clock.sleepUntil(clock.nowMs() + this.#retryDelay.nextMs(), signal);
    await this.#waitForCircuit(signal);
    await budget.acquire(() => priorityOf(batch.items), signal);
  }

  /** Waits until the breaker may admit a call. */
  async #waitForCircuit(signal: AbortSignal): Promise<void> {
    const { clock, breaker } = this.#options;
    while (breaker.state !== CircuitState.Closed && !signal.aborted) {
      // While the circuit is half open, another appender's probe is in flight; its result is polled
      // every 50 ms.
      const hasProbeInFlight = breaker.state === CircuitState.HalfOpen;
      if (!hasProbeInFlight && clock.nowMs() >= breaker.retryAtMs) return;
      const untilMs = hasProbeInFlight ? clock.nowMs() + 50 : breaker.retryAtMs;
      await clock.sleepUntil(untilMs, signal);
    }
  }

  #onRecord(record: LogRecord): void {
    const batch = this.#unconfirmed.get(record.id);
    if (!batch) return;
    batch.isReadBack = true;
    batch.items.forEach((item, index) => {
      if (item.isSettled) return;
      this.#settle(item);
      item.resolve({ offset: record.offset, index });
    });
    this.#finishBatch(batch);
  }

  #finishBatch(batch: Batch): void {
    this.#unconfirmed.delete(batch.id);
    batch.settled.abort();
  }

  #takeBatch(): Batch {
    const items: PendingEntry[] = [];
    let bytes = 0;
    for (const queue of this.#queues) {
      for (let item = queue[0]; item; item = queue[0]) {
        if (items.length >= maxEntriesPerRecord) break;
        if (items.length > 0 && bytes + item.bytes > this.#maxBatchBytes) break;
        queue.shift();
        this.#queuedBytes -= item.bytes;
        bytes += item.bytes;
        items.push(item);
      }
    }
    const { writer, newId } = this.#options;
    const entries = items.map(({ entry }) => entry);
    return {
      id: newId(),
      data: encodeEnvelope(writer, entries),
      items,
      settled: new AbortController(),
      isReadBack: false,
      mayBeStored: false,
    };
  }

  #requeue(batch: Batch): void {
    this.#unconfirmed.delete(batch.id);
    for (const item of [...batch.items].reverse()) {
      item.mayBeStored = false;
      if (item.isSettled) continue;
      this.#queues[item.options.priority]?.unshift(item);
      this.#queuedBytes += item.bytes;
    }
  }

  #fail(item: PendingEntry, reason: string): void {
    if (item.isSettled) return;
    this.#settle(item);
    const queue = this.#queues[item.options.priority];
    const index = queue?.indexOf(item) ?? -1;
    if (index >= 0) {
      queue?.splice(index, 1);
      this.#queuedBytes -= item.bytes;
    }
    const outcome = item.mayBeStored ? 'it may still be stored' : 'it is not stored';
    item.reject(
      new AppendFailedError(`${reason}; ${outcome}`, this.#options.stream, item.mayBeStored),
    );
    for (const batch of this.#unconfirmed.values()) {
      if (!hasUnsettledItems(batch)) this.#finishBatch(batch);
    }
  }

  #settle(item: PendingEntry): void {
    item.isSettled = true;
    this.#pendingBytes -= item.bytes;
    item.cancelDeadline();
  }

  #hasQueued(): boolean {
    return this.#queues.some((queue) => queue.length > 0);
  }

  #highestPriority(): EntryPriority {
    return priorityOf(this.#queues.flatMap((queue) => queue.slice(0, 1)));
  }
}

function hasUnsettledItems(batch: Batch): boolean {
  return batch.items.some((item) => !item.isSettled);
}

function priorityOf(items: readonly PendingEntry[]): EntryPriority {
  return items.reduce<EntryPriority>(
    (best, { options }) => (options.priority < best ? options.priority : best),
    EntryPriority.Low,
  );
}
