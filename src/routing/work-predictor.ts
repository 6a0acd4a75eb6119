import { build, type Histogram } from 'hdr-histogram-js';
import { LRUCache } from 'lru-cache';

/** What is known of a request before it runs. */
export interface WorkFeatures {
  readonly route: string;
  /** Empty for public routes. */
  readonly workspace: string;
  /** Output tokens that the caller expects; undefined when not stated. */
  readonly lengthHintTokens: number | undefined;
  readonly promptTokens: number;
  /** Prompt tokens that are expected in the cache of an endpoint. */
  readonly cachedTokens: number;
  /** Most output tokens that the caller takes; 0 when not stated. */
  readonly maxOutputTokens: number;
  /** Memory of a token's keys and values; undefined when not known. */
  readonly tokenBytes?: number | undefined;
}

/** Predicted work of a request. */
export interface WorkEstimate {
  readonly uncachedPromptTokens: number;
  /** Median of the output tokens. */
  readonly medianOutputTokens: number;
  /** 90th percentile of the output tokens. */
  readonly highOutputTokens: number;
  /** Time from the first output token to the last at an endpoint of mean speed. */
  readonly slotMs: number;
  /** Memory for the keys and values of prompt and output, at the 90th percentile; 0 when not known. */
  readonly memoryBytes: number;
  /** Whether the output is predicted from earlier requests or a hint rather than from the maximum. */
  readonly isLearned: boolean;
}

/** What a request turned out to be. */
export interface WorkOutcome {
  readonly outputTokens: number;
  /** Time from the first output token to the last, in milliseconds. */
  readonly slotMs: number;
}

/** Options of {@link WorkPredictor}. */
export interface WorkPredictorOptions {
  /** Maximum number of histograms; each takes about two kilobytes. */
  readonly maxKeys?: number;
}

/** Outcomes after which a histogram is replaced, so that a changed workload is relearned. */
const outcomesPerWindow = 512;

/** Minimum outcomes in a histogram that is used for predictions. */
const minOutcomes = 8;

/** Histograms hold integers; ratios of output to hint are recorded with this resolution. */
const ratioScale = 100;

const highestValue = 1_000_000;

/** Prompt-only requests have one step; the assumed time of a token until one was observed. */
const initialTokenMs = 30;

/** Share of the latest outcome in the smoothed values. */
const smoothingGain = 0.05;

/** Output of a request that states no maximum, until its route has outcomes. */
const defaultOutputTokens = 200;

/** Ratio of the median to the stated maximum until outcomes show it; callers state generous maxima. */
const initialMedianRatio = 0.25;

interface Learned {
  current: Histogram;
  previous: Histogram | undefined;
  /** Smoothed absolute logarithm of actual over predicted median; undefined before the first. */
  logError: number | undefined;
}

interface Quantiles {
  readonly median: number;
  readonly high: number;
}

/**
 * Predicts the work of requests from earlier ones of the same route and workspace, and from the
 * caller's hint. A hint is corrected by the ratio that outputs have had to hints. Where both a hint
 * and a history exist, the one with the smaller error so far is used.
 *
 * @example
 * ```ts
 * const estimate = predictor.predict(features);
 * predictor.observe(features, { outputTokens: 420, slotMs: 9_800 });
 * ```
 */
export class WorkPredictor {
  readonly #learned: LRUCache<string, Learned>;
  #tokenMs = initialTokenMs;
  #logError: number | undefined;

  constructor(options: WorkPredictorOptions = {}) {
    this.#learned = new LRUCache({ max: options.maxKeys ?? 1_000 });
  }

  /**
   * Typical factor between actual and predicted output, smoothed, at least 1; undefined before the
   * first outcome.
   */
  get errorRatio(): number | undefined {
    return this.#logError === undefined ? undefined : Math.exp(this.#logError);
  }

  /** Predicts the work of a request. */
  predict(features: WorkFeatures): WorkEstimate {
    const { maxOutputTokens, promptTokens, cachedTokens } = features;
    const limit = maxOutputTokens > 0 ? maxOutputTokens : Infinity;
    const learned = this.#predictOutput(features);
    const assumed = {
      median: maxOutputTokens > 0 ? maxOutputTokens * initialMedianRatio : defaultOutputTokens,
      high: maxOutputTokens > 0 ? maxOutputTokens : defaultOutputTokens,
    };
    const { median, high } = learned ?? assumed;
    const medianOutputTokens = Math.max(1, Math.min(limit, median));
    const highOutputTokens = Math.max(medianOutputTokens, Math.min(limit, high));
    return {
      uncachedPromptTokens: Math.max(0, promptTokens - cachedTokens),
      medianOutputTokens,
      highOutputTokens,
      slotMs: medianOutputTokens * this.#tokenMs,
      memoryBytes: (promptTokens + highOutputTokens) * (features.tokenBytes ?? 0),
      isLearned: learned !== undefined,
    };
  }

  /** Learns from a request that ran to its end. Those that broke off say nothing of their length. */
  observe(features: WorkFeatures, outcome: WorkOutcome): void {
    const { outputTokens, slotMs } = outcome;
    if (!(outputTokens > 0)) return;
    const { medianOutputTokens } = this.predict(features);
    this.#logError = smoothed(this.#logError, logErrorOf(outputTokens, medianOutputTokens));
    if (outputTokens > 1 && slotMs > 0) {
      this.#tokenMs += (slotMs / (outputTokens - 1) - this.#tokenMs) * smoothingGain;
    }
    for (const name of historyNames(features)) this.#record(name, outputTokens, outputTokens, 1);
    const { lengthHintTokens: hint } = features;
    if (hint === undefined || !(hint > 0)) return;
    for (const name of hintNames(features)) {
      this.#record(name, (outputTokens / hint) * ratioScale, outputTokens, hint / ratioScale);
    }
  }

  #predictOutput(features: WorkFeatures): Quantiles | undefined {
    const history = this.#find(historyNames(features), 1);
    const { lengthHintTokens: hint } = features;
    if (hint === undefined || !(hint > 0)) return history?.quantiles;
    const hinted = this.#find(hintNames(features), hint / ratioScale);
    // A hint is right at the median as far as nothing else is known of it.
    if (!hinted) return history?.quantiles ?? { median: hint, high: hint * 2 };
    if (!history) return hinted.quantiles;
    return hinted.logError <= history.logError ? hinted.quantiles : history.quantiles;
  }

  /** Quantiles of the first histogram with enough outcomes, times `factor`. */
  #find(
    names: readonly string[],
    factor: number,
  ): { readonly quantiles: Quantiles; readonly logError: number } | undefined {
    for (const name of names) {
      const learned = this.#learned.get(name);
      const quantiles = learned && quantilesOf(learned, factor);
      if (quantiles) return { quantiles, logError: learned.logError ?? Infinity };
    }
    return undefined;
  }

  #record(name: string, value: number, outputTokens: number, factor: number): void {
    let learned = this.#learned.get(name);
    if (!learned) {
      learned = { current: newHistogram(), previous: undefined, logError: undefined };
      this.#learned.set(name, learned);
    } else if (learned.current.totalCount >= outcomesPerWindow) {
      learned.previous = learned.current;
      learned.current = newHistogram();
    }
    const quantiles = quantilesOf(learned, factor);
    if (quantiles) {
      learned.logError = smoothed(learned.logError, logErrorOf(outputTokens, quantiles.median));
    }
    learned.current.recordValue(Math.max(1, Math.min(highestValue, Math.round(value))));
  }
}

function quantilesOf({ current, previous }: Learned, factor: number): Quantiles | undefined {
  const histogram = current.totalCount < minOutcomes && previous ? previous : current;
  if (histogram.totalCount < minOutcomes) return undefined;
  return {
    median: histogram.getValueAtPercentile(50) * factor,
    high: histogram.getValueAtPercentile(90) * factor,
  };
}

function logErrorOf(outputTokens: number, predictedTokens: number): number {
  return Math.abs(Math.log(outputTokens / Math.max(1, predictedTokens)));
}

function smoothed(old: number | undefined, value: number): number {
  return old === undefined ? value : old + (value - old) * smoothingGain;
}

/** Names of the histograms of output tokens, most specific first. */
function historyNames({ route, workspace }: WorkFeatures): string[] {
  return [`out\u0000${route}\u0000${workspace}`, `out\u0000${route}`];
}

/** Names of the histograms of the ratio of output to hint, most specific first. */
function hintNames({ route, workspace }: WorkFeatures): string[] {
  return [`hint\u0000${route}\u0000${workspace}`, `hint\u0000${route}`];
}

function newHistogram(): Histogram {
  return build({
    bitBucketSize: 16,
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestValue,
    numberOfSignificantValueDigits: 2,
  });
}
