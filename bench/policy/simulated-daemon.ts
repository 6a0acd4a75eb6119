import {
  AdmissionController,
  Backoff,
  HedgePolicy,
  LengthPredictor,
  RetryBudget,
  RetryPolicy,
  type Ticket,
} from '../../src/admission/index.js';
import { WorkClass, type Random, type VirtualClock } from '../../src/core/index.js';
import { PrefixCacheIndex } from '../../src/fleet/prefix-cache-index.js';
import type { EndpointView, ReceivedLoadReport } from '../../src/fleet/index.js';
import { SpeedEstimator } from '../../src/fleet/speed-estimator.js';
import { Router, type AttemptObserver } from '../../src/routing/index.js';
import type { EndpointGroup } from './deployments.js';
import type { SimulatedEngine } from './engine.js';
import { BaselinePolicy, PolicyName, RouterPolicy, type RoutingPolicy } from './policies.js';
import { RequestEnd, type RunOptions } from './run-record.js';
import { simulatedView } from './simulated-view.js';
import type { SimulatedRequest } from './workload.js';

/** One engine with what is reported of it. */
export class SimulatedEndpoint {
  readonly view: EndpointView;
  readonly engine: SimulatedEngine;
  readonly group: EndpointGroup;
  report: ReceivedLoadReport | undefined;
  leavingAtMs: number | undefined;
  inTransit = 0;
  cacheSequence = 0;

  constructor(id: string, group: EndpointGroup, engine: SimulatedEngine) {
    this.group = group;
    this.engine = engine;
    this.view = simulatedView(id, {
      region: group.region,
      failureDomain: group.failureDomain,
      reclaimable: group.reclaimable,
      priceUsdPerHour: group.priceUsdPerHour,
      batchSlots: engine.model.batchSlots,
    });
  }
}

/** One send of a request to an endpoint. */
export interface Attempt {
  readonly id: number;
  readonly endpoint: SimulatedEndpoint;
  readonly reports: AttemptObserver | undefined;
  readonly sentAtMs: number;
  readonly linkMs: number;
  /** Whether it follows an attempt that broke or was moved; hedges do not. */
  readonly isRepeat: boolean;
  /** Output tokens that earlier attempts had delivered. */
  readonly resumedTokens: number;
  produced: number;
  isOver: boolean;
}

/** A request on its way through a daemon. */
export class Task {
  readonly request: SimulatedRequest;
  workClass: WorkClass = WorkClass.Short;
  expectedOutputTokens = 0;
  ticket: Ticket | undefined;
  readonly attempts: Attempt[] = [];
  readonly tried: string[] = [];
  attemptCount = 0;
  startedAttempts = 0;
  /** Whether an attempt broke or was moved. */
  hasBroken = false;
  delivered = 0;
  firstTokenAtMs: number | undefined;
  lastTokenAtMs = 0;
  uncachedTokens = 0;
  recomputedTokens = 0;
  repeatedTokens = 0;
  usd = 0;
  end: RequestEnd = RequestEnd.Open;
  endAtMs = Infinity;

  constructor(request: SimulatedRequest) {
    this.request = request;
  }
}

/** Sees the true caches; for the oracle. */
class TrueCacheView extends PrefixCacheIndex {
  readonly #endpoints: ReadonlyMap<string, SimulatedEndpoint>;

  constructor(endpoints: ReadonlyMap<string, SimulatedEndpoint>) {
    super();
    this.#endpoints = endpoints;
  }

  override cachedTokens(endpointId: string, prefix: readonly number[]): number {
    return (this.#endpoints.get(endpointId)?.engine.cachedBlocks(prefix) ?? 0) * 64;
  }
}

/** The decision parts of one daemon. */
export class SimulatedDaemon {
  readonly region: string;
  readonly caches = new PrefixCacheIndex();
  readonly speeds = new SpeedEstimator();
  readonly admission: AdmissionController;
  readonly hedges = new HedgePolicy();
  readonly lengths = new LengthPredictor();
  readonly retryBudget = new RetryBudget();
  readonly retries: RetryPolicy;
  readonly policy: RoutingPolicy;
  /** Own requests by endpoint and class. */
  readonly own = new Map<string, Record<WorkClass, number>>();
  /** Endpoints that this daemon knows to leave. */
  readonly known = new Map<string, number>();
  readonly open = new Set<Task>();

  constructor(
    id: string,
    region: string,
    options: RunOptions,
    clock: VirtualClock,
    random: Random,
    endpoints: ReadonlyMap<string, SimulatedEndpoint>,
  ) {
    this.region = region;
    this.admission = new AdmissionController({ clock, random: random.fork() });
    this.retries = new RetryPolicy(this.retryBudget, new Backoff({ random: random.fork() }));
    const common = { daemonId: id, region, random: random.fork() };
    switch (options.policy) {
      case PolicyName.Router:
        this.policy = new RouterPolicy(
          new Router({ ...common, caches: this.caches, speeds: this.speeds }),
        );
        break;
      case PolicyName.Oracle:
        this.policy = new RouterPolicy(
          new Router({ ...common, caches: new TrueCacheView(endpoints), temperatureRatio: 0 }),
        );
        break;
      default:
        this.policy = new BaselinePolicy(options.policy, common.random);
    }
  }
}
