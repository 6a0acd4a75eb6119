import type { EndpointView } from '../fleet/index.js';

/** One endpoint in an {@link Explanation}. */
export interface ExplainedCandidate {
  readonly endpointId: string;
  readonly name: string;
  /** Why the endpoint was not considered; undefined for candidates. */
  readonly excludedBecause: string | undefined;
  /** Weighted terms of the score by scorer, in USD-equivalents; empty when excluded. */
  readonly scoresUsd: Readonly<Record<string, number>>;
  /** Sum of the terms; undefined when excluded. */
  readonly totalUsd: number | undefined;
  /** Probability of the random draw; 0 when excluded. */
  readonly probability: number;
  readonly isChosen: boolean;
}

/** Parts of an {@link Explanation} as the router leaves them. */
export interface ExplanationParts {
  readonly requestId: string;
  /** `team/workspace`. */
  readonly workspaceId: string;
  /** `team/service`. */
  readonly serviceId: string;
  readonly atMs: number;
  readonly views: readonly EndpointView[];
  /** Reason for each view; undefined for candidates. */
  readonly exclusions: readonly (string | undefined)[];
  readonly scorerNames: readonly string[];
  /** Scores by view, then by scorer, in USD-equivalents. */
  readonly scoresUsd: Float64Array;
  /** Probability of each view in the draw. */
  readonly probabilities: Float64Array;
  readonly chosenIndex: number | undefined;
  /** Reasons of filters that were skipped because they would have left no candidate. */
  readonly relaxed: readonly string[];
  readonly isProbe: boolean;
}

/**
 * Why a request went where it went: every endpoint with its scores or the reason of its exclusion.
 * It is rendered only when asked for, since that costs more than the decision itself.
 *
 * @example
 * ```ts
 * const chosen = decision.explanation.candidates().find(({ isChosen }) => isChosen);
 * ```
 */
export class Explanation {
  readonly #parts: ExplanationParts;

  constructor(parts: ExplanationParts) {
    this.#parts = parts;
  }

  get requestId(): string {
    return this.#parts.requestId;
  }

  /** Time of the decision, in epoch milliseconds. */
  get workspaceId(): string {
    return this.#parts.workspaceId;
  }

  get serviceId(): string {
    return this.#parts.serviceId;
  }

  get atMs(): number {
    return this.#parts.atMs;
  }

  /** Whether the endpoint was chosen to learn if it has recovered. */
  get isProbe(): boolean {
    return this.#parts.isProbe;
  }

  /** Reasons of preferences that were dropped because no endpoint met them. */
  get relaxed(): readonly string[] {
    return this.#parts.relaxed;
  }

  /** All endpoints considered, in the order of the views. */
  candidates(): ExplainedCandidate[] {
    const { views, exclusions, scorerNames, scoresUsd, probabilities, chosenIndex } = this.#parts;
    return views.map((view, index) => {
      const excludedBecause = exclusions[index];
      const terms: Record<string, number> = {};
      let totalUsd: number | undefined;
      if (excludedBecause === undefined) {
        totalUsd = 0;
        for (const [column, name] of scorerNames.entries()) {
          const term = scoresUsd[index * scorerNames.length + column] ?? 0;
          terms[name] = term;
          totalUsd += term;
        }
      }
      return {
        endpointId: view.id,
        name: view.name,
        excludedBecause,
        scoresUsd: terms,
        totalUsd,
        probability: probabilities[index] ?? 0,
        isChosen: index === chosenIndex,
      };
    });
  }

  /** For JSON answers of the administration API. */
  toJSON(): unknown {
    return {
      requestId: this.requestId,
      atMs: this.atMs,
      isProbe: this.isProbe,
      relaxed: this.relaxed,
      candidates: this.candidates(),
    };
  }
}
