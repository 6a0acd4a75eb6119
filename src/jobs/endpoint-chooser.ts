import type { EngineClient, EngineFailure } from '../engine/index.js';
import type { Job } from '../state/index.js';

/** Endpoint on which a job's next generation runs. */
export interface ChosenEndpoint {
  /** Identity of the endpoint (VM and incarnation). */
  readonly id: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly engine: EngineClient;
}

/** Requirements for the endpoint of a job's next generation. */
export interface EndpointQuery {
  readonly job: Job;
  /** Identities of endpoints that must not be chosen, since they failed the job or are leaving. */
  readonly excludedIds: ReadonlySet<string>;
  /** If set, only endpoints of this region are eligible. */
  readonly region?: string;
}

/**
 * Chooses endpoints for jobs; the daemon implements it with the router.
 *
 * @example
 * ```ts
 * const endpoint = await chooser.choose({ job, excludedIds: new Set() });
 * ```
 */
export abstract class EndpointChooser {
  /** Returns undefined if no endpoint can accept the job now; the runner tries again later. */
  abstract choose(query: EndpointQuery): Promise<ChosenEndpoint | undefined>;

  /**
   * Releases the load of a chosen endpoint. Called once for each choice, when its generation has
   * ended or was not started. `failure` is set if the endpoint failed.
   */
  abstract release(endpoint: ChosenEndpoint, failure: EngineFailure | undefined): void;
}

/** Notice that endpoints are about to be reclaimed. */
export interface ReclaimNotice {
  /** Identities of the endpoints. */
  readonly endpointIds: readonly string[];
  /** Epoch milliseconds from which the endpoints may be gone. */
  readonly deadlineAtMs: number;
}
