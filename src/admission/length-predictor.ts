import { build, type Histogram } from 'hdr-histogram-js';
import { LRUCache } from 'lru-cache';
import { WorkClass } from '../core/index.js';

/** Largest expected output of short and medium work, in tokens. */
export const shortOutputTokens = 150;
export const mediumOutputTokens = 600;

/** What the length of an answer depends on. */
export interface LengthKey {
  /** `team/workspace`. */
  readonly workspaceId: string;
  /** `team/service`. */
  readonly serviceId: string;
  /**
   * Distinguishes kinds of work within a workspace, such as the hash of the first prompt block,
   * which is that of the system prompt; empty when unknown.
   */
  readonly workloadKey: string;
}

/** Expected output of a request. */
export interface LengthPrediction {
  readonly workClass: WorkClass;
  readonly expectedOutputTokens: number;
  /** Whether it rests on earlier answers instead of the declared length or the default. */
  readonly isLearned: boolean;
}

/** Answers after which a histogram is replaced, so that a changed workload is relearned. */
const answersPerWindow = 512;

/** Answers before a prediction is trusted. */
const minAnswers = 8;

interface LearnedLengths {
  current: Histogram;
  previous: Histogram | undefined;
}

/** @internal Class of an expected output. */
export function classOfLength(tokens: number): WorkClass {
  if (tokens <= shortOutputTokens) return WorkClass.Short;
  return tokens <= mediumOutputTokens ? WorkClass.Medium : WorkClass.Long;
}

/**
 * Learns output lengths by workspace, service and shape, and classifies requests by them. A
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

  /** @param maxKeys - keys remembered; each takes a few kilobytes. */
  constructor(maxKeys = 2_000) {
    this.#lengths = new LRUCache({ max: maxKeys });
  }

  /** Notes the output tokens of a finished answer. */
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

  /** Predicts the output of a request from its kind, else its workspace, else the default class. */
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
      // The class follows the 75th percentile: misjudging long work as short blocks short work.
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
