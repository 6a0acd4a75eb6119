import type { DeploymentShape } from './deployments.js';
import type { EngineModel } from './engine.js';
import type { PolicyName } from './policies.js';
import type { SimulatedRequest } from './workload.js';

/** Faults and delays of a run; each can be set on its own. */
export interface FaultKnobs {
  readonly reportPeriodMs: number;
  readonly reportLagMs: number;
  readonly cacheEventLagMs: number;
  /** Share of cache events that a daemon never receives. */
  readonly cacheEventLossRatio: number;
  /** Endpoints that are slow at any time, in episodes of 20 to 60 s. */
  readonly slowEndpoints: number;
  readonly slowFactor: number;
  /** Time after the warm-up at which a whole failure domain is lost without notice. */
  readonly domainLostAfterMs: number | undefined;
  /** Time between reclaims of one endpoint each, with notice. */
  readonly reclaimEveryMs: number | undefined;
  readonly noticeMs: number;
  /** Time from the loss of endpoints to their replacement. */
  readonly replacedAfterMs: number;
}

export const noFaults: FaultKnobs = {
  reportPeriodMs: 500,
  reportLagMs: 500,
  cacheEventLagMs: 1_000,
  cacheEventLossRatio: 0.01,
  slowEndpoints: 0,
  slowFactor: 5,
  domainLostAfterMs: undefined,
  reclaimEveryMs: undefined,
  noticeMs: 30_000,
  replacedAfterMs: 60_000,
};

/** Options of {@link runSimulation}. */
export interface RunOptions {
  readonly shape: DeploymentShape;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly load: number;
  readonly daemons?: number;
  readonly warmUpMs?: number;
  readonly measureMs?: number;
  readonly knobs?: Partial<FaultKnobs>;
  readonly model?: Partial<EngineModel>;
  readonly longRatio?: number;
  readonly longFactor?: number;
  readonly bigWorkspacesFactor?: number;
  /** Lets reclaimed endpoints break their streams, which then start again from the prompt. */
  readonly restartsOnReclaim?: boolean;
}

/** How a request ended. */
export enum RequestEnd {
  Completed = 'completed',
  /** Refused before it was sent. */
  Refused = 'refused',
  /** Broken after it was sent, without another attempt. */
  Broken = 'broken',
  /** Still running when the simulation ended. */
  Open = 'open',
}

/** What became of a request. */
export interface RequestRecord {
  readonly request: SimulatedRequest;
  readonly end: RequestEnd;
  /** From arrival at the daemon to the first token there; undefined without one. */
  readonly firstTokenMs: number | undefined;
  /** Time in the daemon's queue. */
  readonly queuedMs: number;
  readonly endAtMs: number;
  /** Mean time between tokens. */
  readonly betweenTokensMs: number;
  readonly attempts: number;
  /** Attempts that an engine started. */
  readonly startedAttempts: number;
  readonly uncachedTokens: number;
  /** Prompt tokens processed again although an earlier request had the same prefix. */
  readonly recomputedTokens: number;
  /** Tokens processed a second time because an attempt broke or was moved. */
  readonly repeatedTokens: number;
  readonly usd: number;
}

/** State sampled every 100 ms. */
export interface LoadSamples {
  /** Mean over time of the standard deviation of the load over its mean, across endpoints. */
  readonly variation: number;
  /** Share of samples with a queue at one endpoint while another had two free slots or more. */
  readonly queuedBesideFree: number;
  readonly utilisation: number;
}

/** Result of {@link runSimulation}. */
export interface RunResult {
  readonly records: readonly RequestRecord[];
  readonly samples: LoadSamples;
  readonly warmUpEndMs: number;
  readonly measureEndMs: number;
}
