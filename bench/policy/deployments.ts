import { WorkClass } from '../../src/core/index.js';
import type { RouteWeights } from '../../src/routing/index.js';

/** A group of equal endpoints. */
export interface EndpointGroup {
  readonly region: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly reclaimable: boolean;
  readonly priceUsdPerHour: number;
}

/** A kind of work of a deployment. */
export interface WorkKind {
  readonly name: string;
  readonly workClass: WorkClass;
  /** Share of all requests. */
  readonly share: number;
  /** Prompt blocks shared by all requests of a workspace and kind. */
  readonly sharedBlocks: number;
  /** Mean of the prompt blocks that a turn adds. */
  readonly turnBlocks: number;
  /** Mean of the output tokens. */
  readonly outputTokens: number;
  /** Probability that a request continues an earlier conversation. */
  readonly continueRatio: number;
  /** Time allowed from arrival until the request is sent to an endpoint. */
  readonly startWithinMs: number;
}

/** Shape of one user's deployment. */
export interface DeploymentShape {
  readonly name: string;
  readonly endpoints: readonly EndpointGroup[];
  readonly weights: RouteWeights;
  readonly objectiveFirstTokenMs: number;
  readonly objectiveBetweenTokensMs: number;
  readonly kinds: readonly WorkKind[];
  /** Share of the requests of each workspace; the last ones are small. */
  readonly workspaceShares: readonly number[];
  /** Height of the evening peak above the mean rate, as a share. */
  readonly peakRatio: number;
}

/** Alambres del Litoral: long tender quotes, weighs cost and recomputed tokens. */
export const tejidos: DeploymentShape = {
  name: 'tejidos',
  endpoints: [
    group('litoral', 'litoral-rosario', 2, true, 1.6),
    group('litoral', 'litoral-rosario', 1, false, 3.6),
    group('litoral', 'litoral-parana', 3, true, 1.9),
    group('cuyo', 'cuyo-mendoza', 2, true, 1.4),
  ],
  weights: { weight_cost: 3, weight_wait: 0.5, weight_tail: 0.5, weight_recompute: 2 },
  objectiveFirstTokenMs: 4_000,
  objectiveBetweenTokensMs: 66,
  kinds: [
    kind('question', WorkClass.Short, 0.6, 12, 3, 80, 0.6, 3_000),
    kind('summary', WorkClass.Medium, 0.25, 10, 18, 250, 0.2, 3_000),
    kind('quote', WorkClass.Long, 0.15, 24, 16, 1_100, 0.5, 300_000),
  ],
  workspaceShares: [0.42, 0.3, 0.2, 0.05, 0.03],
  peakRatio: 0.1,
};

/** Haneul Timetable Labs: evening peak, weighs waiting and tail latency. */
export const haneul: DeploymentShape = {
  name: 'haneul',
  endpoints: [
    group('seoul', 'seoul-a', 2, true, 1.8),
    group('seoul', 'seoul-b', 1, true, 1.7),
    group('seoul', 'seoul-b', 1, false, 3.4),
    group('busan', 'busan-a', 2, true, 1.5),
  ],
  weights: { weight_cost: 0.5, weight_wait: 2, weight_tail: 3, weight_recompute: 1 },
  objectiveFirstTokenMs: 1_900,
  objectiveBetweenTokensMs: 66,
  kinds: [
    kind('tag', WorkClass.Short, 0.55, 16, 3, 40, 0.4, 1_400),
    kind('change', WorkClass.Medium, 0.3, 20, 5, 300, 0.6, 1_400),
    kind('draft', WorkClass.Long, 0.15, 20, 14, 1_300, 0.4, 300_000),
  ],
  workspaceShares: [0.5, 0.25, 0.17, 0.05, 0.03],
  peakRatio: 0.25,
};

export const deployments: readonly DeploymentShape[] = [tejidos, haneul];

function group(
  region: string,
  failureDomain: string,
  count: number,
  reclaimable: boolean,
  priceUsdPerHour: number,
): EndpointGroup {
  return { region, failureDomain, count, reclaimable, priceUsdPerHour };
}

function kind(
  name: string,
  workClass: WorkClass,
  share: number,
  sharedBlocks: number,
  turnBlocks: number,
  outputTokens: number,
  continueRatio: number,
  startWithinMs: number,
): WorkKind {
  return {
    name,
    workClass,
    share,
    sharedBlocks,
    turnBlocks,
    outputTokens,
    continueRatio,
    startWithinMs,
  };
}
