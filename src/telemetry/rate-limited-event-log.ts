import type { Clock } from '../core/index.js';
import { EventLog, Severity, type EventFields } from './event-log.js';
import { EventId } from './events.js';

/** Options of {@link RateLimitedEventLog}. */
export interface RateLimitedEventLogOptions {
  readonly log: EventLog;
  readonly clock: Clock;
  /** Lines that one event may write per second; further ones are dropped and counted. */
  readonly maxLinesPerS: number;
}

interface LineBudget {
  second: number;
  lines: number;
  dropped: number;
}

/**
 * Limits the lines per second of each event of an {@link EventLog}, so that a flood of one event
 * does not hide the others. The next line of the event carries the number of dropped lines in its
 * field `droppedLines`.
 *
 * @example
 * ```ts
 * const events = new RateLimitedEventLog({
 *   log: new RoarrEventLog({ daemon }), clock, maxLinesPerS: 20,
 * });
 * ```
 */
export class RateLimitedEventLog extends EventLog {
  readonly #options: RateLimitedEventLogOptions;
  readonly #budgets = new Map<EventId, LineBudget>();

  constructor(options: RateLimitedEventLogOptions) {
    super();
    this.#options = options;
  }

  override write(severity: Severity, event: EventId, message: string, fields?: EventFields): void {
    const { log, clock, maxLinesPerS } = this.#options;
    const second = Math.floor(clock.nowMs() / 1_000);
    let budget = this.#budgets.get(event);
    if (!budget) {
      budget = { second, lines: 0, dropped: 0 };
      this.#budgets.set(event, budget);
    }
    if (budget.second !== second) {
      budget.second = second;
      budget.lines = 0;
    }
    if (budget.lines >= maxLinesPerS) {
      budget.dropped += 1;
      return;
    }
    budget.lines += 1;
    const { dropped } = budget;
    budget.dropped = 0;
    log.write(
      severity,
      event,
      message,
      dropped > 0 ? { ...fields, droppedLines: dropped } : fields,
    );
  }
}
