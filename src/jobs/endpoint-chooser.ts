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

/** What a job asks of an endpoint. */
export interface EndpointQuery {
  readonly job: Job;
  /** Identities that failed or are leaving; to be used only when told of nothing else. */
  readonly excludedIds: ReadonlySet<string>;
  /** When set, only endpoints of this region count. */
  readonly region?: string;
}

/**
 * Chooses endpoints for jobs; the daemon implements it with the router.
 *
 * @example
 * ```ts
 * const endpoint = await chooser.choose({ job, avoid: new Set() });
 * ```
 */
export abstract class EndpointChooser {
  /** Undefined when no endpoint can take the job now; the job is tried again later. */
  abstract choose(query: EndpointQuery): Promise<ChosenEndpoint | undefined>;

  /** Called once for each choice when the generation on it has ended, so that load is released. */
  abstract release(endpoint: ChosenEndpoint, failure: EngineFailure | undefined): void;
}

/** Announcement that endpoints go away. */
export interface ReclaimNotice {
  /** Identities of the endpoints. */
  readonly endpointIds: readonly string[];
  /** Epoch milliseconds at which they may be gone. */
  readonly deadlineAtMs: number;
}
