import type { DutyLease } from '../capacity/duty-lease.js';
import type { Clock } from '../core/index.js';
import {
  AppendConflictError,
  LogRefusedError,
  LogUnavailableError,
  type KeyedEntry,
  type KeyedLog,
} from '../log/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { statusOf, type RolloutState, type RolloutStatus } from './rollout-state.js';

/** Options of {@link RolloutStatusWriter}. */
export interface RolloutStatusWriterOptions {
  readonly log: KeyedLog;
  /** Topic of the statuses. */
  readonly topic: string;
  readonly encode: (status: RolloutStatus) => KeyedEntry;
  readonly lease: Pick<DutyLease, 'fence'>;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Era of the store as last read; undefined before the first read. */
  readonly era: () => number | undefined;
}

/** Delay of another try, in which a write whose response was lost may take effect. */
const retryDelayMs = 400;

/**
 * Writes the statuses of rollouts for the platform. Each write is conditional on the end of the
 * topic, so that one that is delayed cannot replace a later one. It is repeated until it is
 * acknowledged or found in the topic.
 */
export class RolloutStatusWriter {
  readonly #options: RolloutStatusWriterOptions;
  /** Last status that the topic is known to hold, with the fence of the holder that wrote it. */
  readonly #written = new Map<string, string>();
  /** In the era that follows. */
  #endOffset: number | undefined;
  #era: number | undefined;
  #retryAtMs = -Infinity;

  constructor(options: RolloutStatusWriterOptions) {
    this.#options = options;
  }

  /** Writes the status of a stored state, unless it is known to be written. */
  async write(state: RolloutState): Promise<void> {
    const { encode, lease, clock, events, topic, log } = this.#options;
    const { fence } = lease;
    if (fence === undefined || clock.nowMs() < this.#retryAtMs) return;
    const status = statusOf(state);
    const entry = encode(status);
    const text = Buffer.from(entry.value ?? []).toString();
    // Another holder may have written one meanwhile, and a store of a new era may have lost it.
    const era = this.#options.era();
    if (era !== this.#era) this.#endOffset = undefined;
    this.#era = era;
    const mark = `${fence} ${era ?? 0} ${text}`;
    if (this.#written.get(status.serviceName) === mark) return;
    try {
      if (this.#endOffset === undefined) {
        const { records, endOffset } = await log.newest(topic);
        this.#endOffset = endOffset;
        const found = records.find(({ key }) => key === entry.key)?.value;
        if (found && Buffer.from(found).toString() === text) {
          this.#written.set(status.serviceName, mark);
          return;
        }
      }
      if (lease.fence !== fence) return;
      const expectedEndOffset = this.#endOffset;
      const { offset } = await log.appendAll(topic, [entry], { expectedEndOffset });
      this.#endOffset = offset + 1;
      this.#written.set(status.serviceName, mark);
      const { serviceName: service, to: version, outcome } = status;
      events.info(EventId.RolloutStatusWritten, 'status of a rollout is written', {
        service,
        version,
        outcome,
        fence,
      });
    } catch (error) {
      const isExpected =
        error instanceof AppendConflictError ||
        error instanceof LogUnavailableError ||
        error instanceof LogRefusedError;
      if (!isExpected) throw error;
      // The topic is read again: the write may have taken effect.
      this.#endOffset = undefined;
      this.#retryAtMs = clock.nowMs() + retryDelayMs;
      events.warn(EventId.RolloutStatusUnanswered, 'status of a rollout is not known as written', {
        service: status.serviceName,
        version: status.to,
        outcome: status.outcome,
        reason: error.message,
      });
    }
  }
}
