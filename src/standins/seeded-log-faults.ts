import type { Clock, Random } from '../core/index.js';
import { LogFault, LogFaultSource, type LogReadFate } from './memory-log-service.js';

/** Options of {@link SeededLogFaults}. */
export interface SeededLogFaultsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Probability of each fault on an append; the rest succeeds. */
  readonly appendRatios?: Partial<Record<LogFault, number>>;
  readonly readLossRatio?: number;
  /** Newest records that a read may lack, at most; uniform from 0. */
  readonly maxLagRecords?: number;
  /** Longest delay of a call in milliseconds; delays are uniform. */
  readonly maxDelayMs?: number;
  /** Intervals in epoch milliseconds in which every call is lost. */
  readonly outages?: readonly { readonly fromMs: number; readonly untilMs: number }[];
}

/**
 * Log faults drawn from a seed, with complete outages in given intervals.
 *
 * @example
 * ```ts
 * new SeededLogFaults({ clock, random, appendRatios: { [LogFault.AnswerLost]: 0.1 } });
 * ```
 */
export class SeededLogFaults extends LogFaultSource {
  readonly #options: SeededLogFaultsOptions;

  constructor(options: SeededLogFaultsOptions) {
    super();
    this.#options = options;
  }

  override onAppend(): { fault: LogFault; delayMs: number } {
    const { random, appendRatios = {} } = this.#options;
    let draw = random.float();
    let fault = LogFault.None;
    for (const candidate of Object.values(LogFault)) {
      const ratio = appendRatios[candidate] ?? 0;
      if (draw < ratio) {
        fault = candidate;
        break;
      }
      draw -= ratio;
    }
    return { fault: this.#isOut() ? LogFault.RequestLost : fault, delayMs: this.#delayMs() };
  }

  override onRead(): LogReadFate {
    const isLost = this.#options.random.float() < (this.#options.readLossRatio ?? 0);
    const fault = isLost || this.#isOut() ? LogFault.RequestLost : LogFault.None;
    const { random, maxLagRecords } = this.#options;
    const lagRecords = maxLagRecords ? random.int(0, maxLagRecords) : 0;
    return { fault, delayMs: this.#delayMs(), lagRecords };
  }

  #isOut(): boolean {
    const nowMs = this.#options.clock.nowMs();
    return (this.#options.outages ?? []).some(
      ({ fromMs, untilMs }) => fromMs <= nowMs && nowMs < untilMs,
    );
  }

  #delayMs(): number {
    return this.#options.random.float() * (this.#options.maxDelayMs ?? 0);
  }
}
