import { build, type Histogram } from 'hdr-histogram-js';
import { LRUCache } from 'lru-cache';
import { WorkClass } from '../core/index.js';

/** Largest expected output of short and medium work, in tokens. */
export const shortOutputTokens = 150;
export const mediumOutputTokens = 600;

/** Key of the statistics that predict the length of an answer. */
export interface LengthKey {
  /** `team/workspace`. */
  readonly workspaceId: string;
  /** `team/service`. */
  readonly serviceId: string;
  /**
   * Distinguishes workloads within a workspace, for example by a hash of the first prompt block,
   * which holds the system prompt; empty when unknown.
   */
  readonly workloadKey: string;
}

/** Expected output of a request. */
export interface LengthPrediction {
  readonly workClass: WorkClass;
  readonly expectedOutputTokens: number;
  /** Whether the prediction is based on earlier answers, not on the declared length or default. */
  readonly isLearned: boolean;
}

/** Answers after which a histogram is replaced, so that a changed workload is relearned. */
const answersPerWindow = 512;

/** Minimum answers in a histogram that is used for predictions. */
const minAnswers = 8;

interface LearnedLengths {
  current: Histogram;
  previous: Histogram | undefined;
}

/** @internal Class of an expected output length. */
export function classOfLength(tokens: number): WorkClass {
  if (tokens <= shortOutputTokens) return WorkClass.Short;
  return tokens <= mediumOutputTokens ? WorkClass.Medium : WorkClass.Long;
}

/**
 * Learns output lengths by workspace, service and workload, and classifies requests by them. A
 * declared maximum only lowers the prediction, because callers declare generous maxima.
 *
 * @example
 * ```ts
 * const lengths = new LengthPredictor();
 * lengths.observe(key, 420);
 * lengths.predict(key, { maxTokens: 1_000, defaultClass: WorkClass.Short }).workClass;
 * ```
 */
export class LengthPredictor {
  readonly #lengths: LRUCache<string, LearnedLengths>;

  /** @param maxKeys - maximum number of keys; each takes a few kilobytes. */
  constructor(maxKeys = 2_000) {
    this.#lengths = new LRUCache({ max: maxKeys });
  }

  /** Records the output tokens of a finished answer. */
  observe(key: LengthKey, outputTokens: number): void {
    const tokens = Math.max(1, Math.round(outputTokens));
    for (const name of keyNames(key)) {
      let learned = this.#lengths.get(name);
      if (!learned) {
        learned = { current: newHistogram(), previous: undefined };
        this.#lengths.set(name, learned);
      } else if (learned.current.totalCount >= answersPerWindow) {
        learned.previous = learned.current;
        learned.current = newHistogram();
      }
      learned.current.recordValue(tokens);
    }
  }

  /** Predicts the output from the workload, else the workspace, else the default class. */
  predict(
    key: LengthKey,
    declared: { readonly maxTokens: number; readonly defaultClass: WorkClass },
  ): LengthPrediction {
    for (const name of keyNames(key)) {
      const learned = this.#lengths.get(name);
      const histogram =
        learned && learned.current.totalCount < minAnswers && learned.previous
          ? learned.previous
          : learned?.current;
      if (!histogram || histogram.totalCount < minAnswers) continue;
      // The 75th percentile decides the class: long work classified as short blocks short work.
      const upper = Math.min(declared.maxTokens, histogram.getValueAtPercentile(75));
      return {
        workClass: classOfLength(upper),
        expectedOutputTokens: Math.min(declared.maxTokens, histogram.mean),
        isLearned: true,
      };
    }
    const typical = {
      [WorkClass.Short]: shortOutputTokens / 2,
      [WorkClass.Medium]: (shortOutputTokens + mediumOutputTokens) / 2,
      [WorkClass.Long]: mediumOutputTokens * 3,
    }[declared.defaultClass];
    const expectedOutputTokens = Math.min(declared.maxTokens, typical);
    return {
      workClass: classOfLength(expectedOutputTokens),
      expectedOutputTokens,
      isLearned: false,
    };
  }
}

/** Names of the histograms of a key, most specific first. */
function keyNames({ workspaceId, serviceId, workloadKey }: LengthKey): string[] {
  const general = `${workspaceId}\u0000${serviceId}`;
  return workloadKey === '' ? [general] : [`${general}\u0000${workloadKey}`, general];
}

function newHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_000_000,
    numberOfSignificantValueDigits: 2,
  });
}
