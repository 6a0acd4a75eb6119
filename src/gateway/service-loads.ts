import type { ServiceLoad } from '../admission/start-estimator.js';
import { WorkClass } from '../core/index.js';
import {
  EndpointState,
  isLeaving,
  type EndpointRegistry,
  type EndpointView,
  type RegisteredEndpoints,
} from '../fleet/index.js';

/** Age from which on a load report says nothing of the load now, in milliseconds. */
const maxReportAgeMs = 3_000;

/** Endpoints with a report from which on they stand for all of their service. */
const minReportedEndpoints = 4;
const minReportedRatio = 0.25;

/** Time for which a load is reused; a service may have thousands of endpoints. */
const cacheMs = 100;

/** Load of a service as this daemon knows it. */
export interface KnownLoad extends ServiceLoad {
  /** Part of the requests at the endpoints that this daemon has sent. */
  readonly ownShare: number;
}

/**
 * Load of each service from the load reports of its endpoints and this daemon's own requests. Unknown
 * while too few endpoints have reported.
 */
export class ServiceLoads {
  readonly #registry: EndpointRegistry;
  readonly #endpoints: RegisteredEndpoints;
  readonly #cache = new Map<
    string,
    { readonly load: KnownLoad | undefined; readonly untilMs: number }
  >();

  constructor(registry: EndpointRegistry, endpoints: RegisteredEndpoints) {
    this.#registry = registry;
    this.#endpoints = endpoints;
  }

  /** Undefined while the load is not known. */
  loadOf(serviceName: string, nowMs: number): KnownLoad | undefined {
    const cached = this.#cache.get(serviceName);
    if (cached && nowMs < cached.untilMs) return cached.load;
    const views = this.#registry.views(this.#endpoints.serviceId(serviceName));
    const load = loadOfViews(views, nowMs);
    this.#cache.set(serviceName, { load, untilMs: nowMs + cacheMs });
    return load;
  }
}

function loadOfViews(views: readonly EndpointView[], nowMs: number): KnownLoad | undefined {
  const live = views.filter(
    (view) =>
      view.state === EndpointState.Live && !isLeaving(view) && view.circuitOpenUntilMs <= nowMs,
  );
  let reported = 0;
  let slots = 0;
  let takenSlots = 0;
  let waitingRequests = 0;
  let ownRequests = 0;
  for (const view of live) {
    const { report } = view;
    if (!report || nowMs - report.observedAtMs > maxReportAgeMs) continue;
    const { requests: ownByClass } = view.ownInFlight;
    const own =
      ownByClass[WorkClass.Short] + ownByClass[WorkClass.Medium] + ownByClass[WorkClass.Long];
    const requests = Math.max(own, report.runningRequests + report.queuedRequests);
    reported += 1;
    slots += view.batchSlots;
    takenSlots += Math.min(view.batchSlots, requests);
    waitingRequests += Math.max(0, requests - view.batchSlots);
    ownRequests += own;
  }
  const least = Math.min(
    live.length,
    Math.max(minReportedEndpoints, live.length * minReportedRatio),
  );
  if (reported === 0 || reported < least) return undefined;
  const ownShare = ownRequests / Math.max(1, takenSlots + waitingRequests);
  return { slots, takenSlots, waitingRequests, ownShare };
}
