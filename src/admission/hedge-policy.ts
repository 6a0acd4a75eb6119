import { build, type Histogram } from 'hdr-histogram-js';
import { WorkClass } from '../core/index.js';
import { RetryBudget } from './retry-budget.js';

/** Options of {@link HedgePolicy}. */
export interface HedgePolicyOptions {
  /** Percentile of the first-token time after which a second copy is sent. */
  readonly percentile?: number;
  readonly minDelayMs?: number;
  /** Delay before enough first tokens were observed. */
  readonly initialDelayMs?: number;
}

/** First tokens after which the delay is learned anew. */
const observationsPerWindow = 256;

interface LearnedDelay {
  histogram: Histogram;
  delayMs: number;
}

/**
 * Decides when a second copy of a repeatable request is sent to another endpoint because the first
 * token is overdue. The copies are bounded by a budget; the caller cancels the loser.
 *
 * @example
 * ```ts
 * const hedgeAtMs = sentAtMs + hedges.delayMs('tejidos/assistant', WorkClass.Short);
 * // at that time, without a first token:
 * if (hedges.tryHedge('tejidos/quotes', true)) sendCopy();
 * ```
 */
export class HedgePolicy {
  readonly #percentile: number;
  readonly #minDelayMs: number;
  readonly #initialDelayMs: number;
  readonly #budget = new RetryBudget(10, 1);
  readonly #delays = new Map<string, LearnedDelay>();

  constructor(options: HedgePolicyOptions = {}) {
    this.#percentile = options.percentile ?? 95;
    this.#minDelayMs = options.minDelayMs ?? 200;
    this.#initialDelayMs = options.initialDelayMs ?? 1_000;
  }

  /** Earns for one new request. @param hedgeRatio - `hedge_ratio` of the routing settings. */
  recordRequest(workspaceId: string, hedgeRatio: number): void {
    this.#budget.recordRequest(workspaceId, hedgeRatio);
  }

  /** Notes the time from dispatch to the first token of an attempt that was not hedged. */
  observeFirstToken(serviceId: string, workClass: WorkClass, elapsedMs: number): void {
    const key = `${serviceId}\u0000${workClass}`;
    let learned = this.#delays.get(key);
    if (!learned) {
      learned = { histogram: newHistogram(), delayMs: this.#initialDelayMs };
      this.#delays.set(key, learned);
    }
    learned.histogram.recordValue(Math.max(1, Math.round(elapsedMs)));
    const count = learned.histogram.totalCount;
    if (count === 32 || count >= observationsPerWindow) {
      learned.delayMs = learned.histogram.getValueAtPercentile(this.#percentile);
    }
    if (count >= observationsPerWindow) learned.histogram = newHistogram();
  }

  /** Time after dispatch at which a missing first token calls for a second copy. */
  delayMs(serviceId: string, workClass: WorkClass): number {
    const learned = this.#delays.get(`${serviceId}\u0000${workClass}`);
    return Math.max(this.#minDelayMs, learned?.delayMs ?? this.#initialDelayMs);
  }

  /** Takes a second copy from the budget; always false for work that may not run twice. */
  tryHedge(workspaceId: string, repeatable: boolean): boolean {
    return repeatable && this.#budget.trySpend(workspaceId);
  }

  /** Returns a copy that was taken and not sent, because no other endpoint qualified. */
  refund(workspaceId: string): void {
    this.#budget.refund(workspaceId);
  }
}

function newHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000,
    numberOfSignificantValueDigits: 2,
  });
}
