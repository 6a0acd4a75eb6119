import type { EndpointView } from '../fleet/index.js';
import type { MutableLoadEstimate } from './load-estimate.js';
import type { RouteFilter } from './route-filter.js';
import type { RouteRequest } from './route-request.js';
import type { RouteScorer } from './route-scorer.js';

/** One endpoint in an {@link Explanation}. */
export interface ExplainedCandidate {
  readonly endpointId: string;
  readonly name: string;
  /** Why the endpoint was excluded; undefined for candidates. */
  readonly excludedBecause: string | undefined;
  /** Weighted terms of the score by scorer, in USD-equivalents; empty when excluded. */
  readonly scoresUsd: Readonly<Record<string, number>>;
  /** Sum of the terms; undefined when excluded. */
  readonly totalUsd: number | undefined;
  /** Probability in the random draw; 0 when excluded. */
  readonly probability: number;
  readonly isChosen: boolean;
}

/** Inputs of a decision. @internal */
export interface ExplanationInputs {
  readonly request: RouteRequest;
  readonly atMs: number;
  readonly views: readonly EndpointView[];
  /** Load estimates, {@link loadFieldCount} numbers for each view. */
  readonly loads: Float64Array;
  readonly filters: readonly RouteFilter[];
  readonly scorers: readonly RouteScorer[];
  /** Whether preferences were dropped because no endpoint met them. */
  readonly isRelaxed: boolean;
  /** Score difference at which a candidate is e times less likely. */
  readonly scaleUsd: number;
  readonly chosenIndex: number | undefined;
  readonly isProbe: boolean;
}

/** Numbers per view in {@link ExplanationInputs.loads}. @internal */
export const loadFieldCount = 4;

/** @internal Reads the load estimate of one view into `target`. */
export function readLoad(target: MutableLoadEstimate, loads: Float64Array, index: number): void {
  const at = index * loadFieldCount;
  target.requests = loads[at] ?? 0;
  target.uncachedTokens = loads[at + 1] ?? 0;
  target.firstTokenMs = loads[at + 2] ?? 0;
  target.tokenGapMs = loads[at + 3] ?? 0;
}

/** @internal Writes the load estimate of one view. */
export function writeLoad(loads: Float64Array, index: number, load: MutableLoadEstimate): void {
  const at = index * loadFieldCount;
  loads[at] = load.requests;
  loads[at + 1] = load.uncachedTokens;
  loads[at + 2] = load.firstTokenMs;
  loads[at + 3] = load.tokenGapMs;
}

/**
 * Explains a decision: every endpoint with its scores or the reason of its exclusion. It stores the
 * inputs of the decision and evaluates filters and scorers, which are pure, again on demand.
 * Storing all scores instead would double the cost of each decision.
 *
 * @example
 * ```ts
 * const chosen = decision.explanation.candidates().find(({ isChosen }) => isChosen);
 * ```
 */
export class Explanation {
  readonly #inputs: ExplanationInputs;

  constructor(inputs: ExplanationInputs) {
    this.#inputs = inputs;
  }

  get requestId(): string {
    return this.#inputs.request.requestId;
  }

  /** `team/workspace`. */
  get workspaceId(): string {
    return this.#inputs.request.workspaceId;
  }

  /** `team/service`. */
  get serviceId(): string {
    return this.#inputs.request.serviceId;
  }

  /** Time of the decision, in epoch milliseconds. */
  get atMs(): number {
    return this.#inputs.atMs;
  }

  /** Whether the endpoint was chosen to test if it has recovered. */
  get isProbe(): boolean {
    return this.#inputs.isProbe;
  }

  /** Reasons of preferences that were dropped because no endpoint met them. */
  get relaxed(): readonly string[] {
    if (!this.#inputs.isRelaxed) return [];
    return this.#inputs.filters
      .filter(({ isPreference }) => isPreference)
      .map(({ reason }) => reason);
  }

  /** All endpoints considered, in the order of the views. */
  candidates(): ExplainedCandidate[] {
    const { views, chosenIndex } = this.#inputs;
    const evaluated = views.map((view, index) => this.#evaluate(view, index));
    const totals = evaluated.flatMap(({ totalUsd }) => totalUsd ?? []);
    const bestUsd = Math.min(...totals);
    const weightOf = (totalUsd: number | undefined): number =>
      totalUsd === undefined ? 0 : Math.exp(-(totalUsd - bestUsd) / this.#inputs.scaleUsd);
    const sum = totals.reduce((weights, totalUsd) => weights + weightOf(totalUsd), 0);
    return evaluated.map((candidate, index) => ({
      ...candidate,
      probability: sum > 0 ? weightOf(candidate.totalUsd) / sum : 0,
      isChosen: index === chosenIndex,
    }));
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

  #evaluate(
    view: EndpointView,
    index: number,
  ): Omit<ExplainedCandidate, 'probability' | 'isChosen'> {
    const { request, atMs, loads, filters, scorers, isRelaxed } = this.#inputs;
    const load = { requests: 0, uncachedTokens: 0, firstTokenMs: 0, tokenGapMs: 0 };
    readLoad(load, loads, index);
    const excluding = filters.find(
      (filter) => !(isRelaxed && filter.isPreference) && !filter.admits(view, request, load, atMs),
    );
    const names = { endpointId: view.id, name: view.name };
    if (excluding) {
      return { ...names, excludedBecause: excluding.reason, scoresUsd: {}, totalUsd: undefined };
    }
    const scoresUsd: Record<string, number> = {};
    let totalUsd = 0;
    for (const scorer of scorers) {
      const term = scorer.scoreUsd(view, request, load);
      scoresUsd[scorer.name] = term;
      totalUsd += term;
    }
    return { ...names, excludedBecause: undefined, scoresUsd, totalUsd };
  }
}
