import { build, type Histogram } from 'hdr-histogram-js';
import { WorkClass } from '../core/index.js';
import { RetryBudget } from './retry-budget.js';

/** Options of {@link HedgePolicy}. */
export interface HedgePolicyOptions {
  /** Percentile of the first-token times after which a second copy is sent. */
  readonly percentile?: number;
  readonly minDelayMs?: number;
  /** Delay until enough first tokens have been observed. */
  readonly initialDelayMs?: number;
}

/** First tokens after which the histogram is replaced, so that the delay follows changes. */
const observationsPerWindow = 256;

interface LearnedDelay {
  histogram: Histogram;
  delayMs: number;
}

/**
 * Decides when a request is hedged: a second copy of a repeatable request is sent to another
 * endpoint because the first token is late. A budget bounds the copies. The user of this class
 * cancels the slower copy.
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

  /** Credits the budget for a new request. @param hedgeRatio - routing setting `hedge_ratio`. */
  recordRequest(workspaceId: string, hedgeRatio: number): void {
    this.#budget.recordRequest(workspaceId, hedgeRatio);
  }

  /** Records the time from dispatch to the first token of an attempt that was not hedged. */
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

  /** Time after dispatch at which a request without a first token is hedged, in milliseconds. */
  delayMs(serviceId: string, workClass: WorkClass): number {
    const learned = this.#delays.get(`${serviceId}\u0000${workClass}`);
    return Math.max(this.#minDelayMs, learned?.delayMs ?? this.#initialDelayMs);
  }

  /** Spends one copy of the budget; always false for work that may not run twice. */
  tryHedge(workspaceId: string, repeatable: boolean): boolean {
    return repeatable && this.#budget.trySpend(workspaceId);
  }

  /** Returns a copy to the budget that was not sent because no other endpoint qualified. */
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
