import type { WorkClass } from '../core/index.js';
import type { EndpointView } from '../fleet/index.js';
import type { PromptPrefix } from '../fleet/prompt-prefix.js';
import type { WorkspaceSettings } from '../settings/index.js';

/** Weights of the score terms, from the settings of the workspace. */
export type RouteWeights = Pick<
  WorkspaceSettings,
  'weight_cost' | 'weight_wait' | 'weight_tail' | 'weight_recompute'
>;

/** Prefix of a prompt that other requests have in common. */
export interface SharedPrompt {
  /** Identifies the prefix; equal for equal prefixes. */
  readonly key: string;
  readonly tokens: number;
}

/** Predicted work of a request. */
export interface RouteWork {
  readonly medianOutputTokens: number;
  /** 90th percentile. */
  readonly highOutputTokens: number;
  /** Output tokens that one event holds. */
  readonly stride: number;
  /** Whether the latency objective is that of the first event rather than of the response. */
  readonly isStream: boolean;
}

/** Which endpoints may serve a request by the version that they run. */
export interface VersionConstraint {
  admits(view: Pick<EndpointView, 'id' | 'version'>): boolean;
  /** Whether an endpoint is taken before the others that are admitted. */
  prefers(view: Pick<EndpointView, 'id' | 'version'>): boolean;
}

/** Properties of a request that the router uses. */
export interface RouteRequest {
  readonly requestId: string;
  /** `team/workspace`. */
  readonly workspaceId: string;
  /** `team/service`. */
  readonly serviceId: string;
  /** Model or adapter that must be loaded; empty for plain services. */
  readonly model: string;
  readonly workClass: WorkClass;
  readonly promptTokens: number;
  /** From the length predictor. */
  readonly expectedOutputTokens: number;
  /** Blocks of the prompt; empty when the prompt has none. */
  readonly prefix: PromptPrefix;
  /** Time by which the complete answer is due, in epoch milliseconds. */
  readonly deadlineAtMs: number;
  readonly weights: RouteWeights;
  /** Latency objectives of the service. */
  readonly objectiveFirstTokenMs: number;
  readonly objectiveBetweenTokensMs: number;
  /** From the routing settings of the service. */
  readonly spillOver: boolean;
  readonly shortReserveRatio: number;
  readonly subsetSize: number;
  /** Whether the work may run twice, so that it may be hedged, moved or used as a probe. */
  readonly repeatable: boolean;
  /** Whether only endpoints that check fencing tokens qualify. */
  readonly requiresFence: boolean;
  /** Ids of endpoints that already failed this request or run its other copy. */
  readonly excludedEndpoints: readonly string[];
  /** Prefix that the prompt shares with other requests; undefined when there is none. */
  readonly sharedPrompt?: SharedPrompt | undefined;
  /** Undefined when requests are not routed by their work. */
  readonly work?: RouteWork | undefined;
  /** Undefined while all versions may serve it. */
  readonly versions?: VersionConstraint | undefined;
}
