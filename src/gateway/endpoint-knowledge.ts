import type { Clock, Random } from '../core/index.js';
import { EstimatedSpeeds } from '../fleet/estimated-speeds.js';
import { EndpointRegistry, LeavingSet } from '../fleet/index.js';
import { PeerSuspicions } from '../fleet/peer-suspicions.js';
import { PrefillBacklog } from '../fleet/prefill-backlog.js';
import { PrefixCacheIndex } from '../fleet/prefix-cache-index.js';
import { SpeedEstimator } from '../fleet/speed-estimator.js';
import {
  PeerSuspicionFilter,
  PrefillInterferenceScorer,
  PrefillQueueScorer,
  PromptAffinityScorer,
  Router,
  standardFilters,
  standardScorers,
} from '../routing/index.js';
import type { EventLog } from '../telemetry/index.js';

/** Options of {@link EndpointKnowledge}. */
export interface EndpointKnowledgeOptions {
  readonly daemon: string;
  readonly region: string;
  readonly random: Random;
  readonly clock: Clock;
  readonly events: EventLog;
}

/**
 * What a daemon knows of the endpoints by its own requests and from its peers, and the router that
 * chooses by it. What is known of an endpoint goes with its identity.
 */
export class EndpointKnowledge {
  readonly registry: EndpointRegistry;
  readonly speeds = new SpeedEstimator();
  readonly caches = new PrefixCacheIndex();
  readonly backlog = new PrefillBacklog();
  readonly suspicions = new PeerSuspicions();
  readonly promptAffinity = new PromptAffinityScorer();
  readonly router: Router;

  constructor(options: EndpointKnowledgeOptions) {
    const { clock, events, daemon, region, random } = options;
    this.registry = new EndpointRegistry({
      clock,
      leaving: new LeavingSet(),
      speeds: new EstimatedSpeeds(this.speeds),
      events,
    });
    this.registry.onRetire((endpointId) => {
      this.speeds.remove(endpointId);
      this.caches.remove(endpointId);
      this.backlog.remove(endpointId);
      this.suspicions.remove(endpointId);
    });
    this.router = new Router({
      daemonId: daemon,
      region,
      random: random.fork(),
      caches: this.caches,
      filters: [...standardFilters(region), new PeerSuspicionFilter(this.suspicions)],
      scorers: [
        ...standardScorers(region),
        new PrefillQueueScorer(this.backlog, clock),
        new PrefillInterferenceScorer(this.backlog),
        this.promptAffinity,
      ],
    });
  }
}
