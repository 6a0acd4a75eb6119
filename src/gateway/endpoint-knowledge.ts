import type { Clock, Random } from '../core/index.js';
import { EstimatedSpeeds } from '../fleet/estimated-speeds.js';
import { EndpointNotices, EndpointPauses, EndpointRegistry, LeavingSet } from '../fleet/index.js';
import { PeerLeavings } from '../fleet/peer-leavings.js';
import { PeerSuspicions } from '../fleet/peer-suspicions.js';
import { PrefillBacklog } from '../fleet/prefill-backlog.js';
import { PrefixCacheIndex } from '../fleet/prefix-cache-index.js';
import { SpeedEstimator } from '../fleet/speed-estimator.js';
import {
  defaultPrices,
  LinkScorer,
  PauseFilter,
  PeerLeavingFilter,
  PeerSuspicionFilter,
  PrefillInterferenceScorer,
  PrefillQueueScorer,
  PromptAffinityScorer,
  RecentSends,
  RecomputeScorer,
  Router,
  VersionFilter,
  VersionPreferenceFilter,
  standardFilters,
  standardScorers,
  UnseenArrivalsSpread,
  WorkScorer,
} from '../routing/index.js';
import type { EventLog, Metrics } from '../telemetry/index.js';
import { WorkRouting, type WorkRoutingMode } from './work-routing.js';

/** Options of {@link EndpointKnowledge}. */
export interface EndpointKnowledgeOptions {
  readonly daemon: string;
  readonly region: string;
  readonly random: Random;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Default: off. */
  readonly workRouting?: WorkRoutingMode;
  /** Called when an endpoint says by a response that it leaves, and nothing has said so before. */
  readonly onLeaving?: (endpointId: string) => void;
  /** Whether requests may be limited to a version of their service. */
  readonly routesByVersion?: boolean;
}

/** Least width of the draw by work, as a fraction of the best score. */
const workDrawRatio = 0.02;

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
  readonly peerLeavings: PeerLeavings;
  readonly pauses: EndpointPauses;
  readonly notices: EndpointNotices;
  readonly promptAffinity = new PromptAffinityScorer();
  readonly router: Router;
  readonly work: WorkRouting;
  /** Chooses instead of {@link router} while {@link work} is active for a service. */
  readonly workRouter: Router;

  constructor(options: EndpointKnowledgeOptions) {
    const { clock, events, daemon, region, random } = options;
    this.registry = new EndpointRegistry({
      clock,
      leaving: new LeavingSet(),
      speeds: new EstimatedSpeeds(this.speeds),
      events,
    });
    this.pauses = new EndpointPauses(options);
    this.peerLeavings = new PeerLeavings(options);
    this.notices = new EndpointNotices({
      registry: this.registry,
      pauses: this.pauses,
      clock,
      events,
      ...(options.onLeaving ? { onLeaving: options.onLeaving } : {}),
      onEarlyLeaving: (endpointId, ageMs) => {
        this.peerLeavings.report(endpointId, daemon, ageMs, clock.nowMs());
      },
    });
    this.registry.onRetire((endpointId) => {
      this.pauses.remove(endpointId);
      this.speeds.remove(endpointId);
      this.caches.remove(endpointId);
      this.backlog.remove(endpointId);
      this.work.remove(endpointId);
      this.suspicions.remove(endpointId);
      this.peerLeavings.remove(endpointId);
    });
    const common = {
      daemonId: daemon,
      region,
      random: random.fork(),
      caches: this.caches,
      recentSends: new RecentSends(),
      filters: [
        ...standardFilters(region),
        new PauseFilter(this.pauses),
        new PeerSuspicionFilter(this.suspicions),
        new PeerLeavingFilter(this.peerLeavings),
        ...(options.routesByVersion ? [new VersionFilter(), new VersionPreferenceFilter()] : []),
      ],
    };
    this.router = new Router({
      ...common,
      scorers: [
        ...standardScorers(region),
        new PrefillQueueScorer(this.backlog, clock),
        new PrefillInterferenceScorer(this.backlog),
        this.promptAffinity,
      ],
    });
    this.work = new WorkRouting(options);
    const { speeds, remaining } = this.work;
    this.workRouter = new Router({
      ...common,
      drawSpread: new UnseenArrivalsSpread(remaining, workDrawRatio),
      scorers: [
        new WorkScorer({ region, remaining, speeds, clock }),
        new RecomputeScorer(defaultPrices),
        new LinkScorer(region, defaultPrices),
        this.promptAffinity,
      ],
    });
  }
}
