import type { Clock } from '../core/index.js';
import { EndpointSpeeds } from '../fleet/endpoint-speeds.js';
import type { EndpointView } from '../fleet/index.js';
import { RemainingWork, type OpenWork } from '../fleet/remaining-work.js';
import {
  WorkPredictor,
  type RouteWork,
  type WorkEstimate,
  type WorkFeatures,
} from '../routing/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import type { AdmittedRequest } from './caller-exchange.js';
import type { ReportedLoad } from './request-codec.js';
import { RequestKind } from './traffic-config.js';

/** When requests are routed by their predicted work rather than by request counts. */
export enum WorkRoutingMode {
  /** While the measured speeds of a service's endpoints differ. */
  Auto = 'auto',
  On = 'on',
  Off = 'off',
}

/** Options of {@link WorkRouting}. */
export interface WorkRoutingOptions {
  /** Default: {@link WorkRoutingMode.Off}. */
  readonly workRouting?: WorkRoutingMode;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** What is kept of a request from its first decision on. */
interface TrackedRequest {
  readonly features: WorkFeatures;
  readonly estimate: WorkEstimate;
  readonly attempts: Map<string, Attempt>;
}

interface Attempt {
  readonly open: OpenWork;
  firstEventAtMs: number | undefined;
}

interface ServiceState {
  isActive: boolean;
  nextCheckAtMs: number;
}

/** Spread of the step times at which work-aware routing begins, and below which it ends. */
const activeSpread = 1.4;
const inactiveSpread = 1.2;

/** Shortest time between two changes for a service, which bounds the log. */
const minHoldMs = 10_000;

/** Weighted prompt tokens from which the time to the first event tells the prefill speed. */
const minPrefillTokens = 512;

/**
 * What a gateway knows of the work of requests and endpoints, and for which services it is used.
 * With {@link WorkRoutingMode.Off} nothing is kept.
 */
export class WorkRouting {
  readonly speeds = new EndpointSpeeds();
  readonly remaining = new RemainingWork(this.speeds);
  readonly predictor = new WorkPredictor();
  readonly #mode: WorkRoutingMode;
  readonly #clock: Clock;
  readonly #events: EventLog;
  readonly #requests = new WeakMap<AdmittedRequest, TrackedRequest>();
  readonly #services = new Map<string, ServiceState>();

  constructor({ workRouting, clock, events }: WorkRoutingOptions) {
    this.#mode = workRouting ?? WorkRoutingMode.Off;
    this.#clock = clock;
    this.#events = events;
  }

  /** Whether a request of a service is routed by its work now. */
  isActive(serviceId: string, admitted: AdmittedRequest): boolean {
    if (!this.#tracks(admitted)) return false;
    const nowMs = this.#clock.nowMs();
    let state = this.#services.get(serviceId);
    if (!state) {
      state = { isActive: false, nextCheckAtMs: 0 };
      this.#services.set(serviceId, state);
    }
    if (nowMs < state.nextCheckAtMs) return state.isActive;
    const spread = this.speeds.spread(serviceId, nowMs);
    const isActive = this.#isCalledFor(serviceId, state.isActive, spread);
    if (isActive === state.isActive) return isActive;
    state.isActive = isActive;
    state.nextCheckAtMs = nowMs + minHoldMs;
    this.#events.info(
      EventId.WorkRoutingChanged,
      isActive
        ? 'requests are routed by their predicted work'
        : 'requests are routed by request counts',
      { service: serviceId, isActive, speedSpread: Math.round(spread * 100) / 100 },
    );
    return isActive;
  }

  /** Writes the gauges of a service. */
  measure(metrics: Metrics, service: string, serviceId: string): void {
    if (this.#mode === WorkRoutingMode.Off) return;
    const isActive = this.#services.get(serviceId)?.isActive ?? false;
    const spread = this.speeds.spread(serviceId, this.#clock.nowMs());
    metrics.gauge('gateway_work_routing', Number(isActive), { service });
    metrics.gauge('gateway_speed_spread', spread, { service });
    const { errorRatio } = this.predictor;
    if (errorRatio !== undefined) metrics.gauge('gateway_output_error', errorRatio);
  }

  /** Work of a request for the router; undefined when it is not known. */
  routeWork(admitted: AdmittedRequest): RouteWork | undefined {
    if (!this.#tracks(admitted)) return undefined;
    const { estimate } = this.#tracked(admitted);
    return {
      medianOutputTokens: estimate.medianOutputTokens,
      highOutputTokens: estimate.highOutputTokens,
      stride: strideOf(admitted),
      isStream: admitted.route.kind === RequestKind.Stream,
    };
  }

  /**
   * Earliest time at which a request would start at one of the endpoints, in epoch milliseconds;
   * undefined without endpoints, or before anything was measured.
   */
  earliestStartAtMs(views: readonly EndpointView[]): number | undefined {
    const [first] = views;
    if (!first || !this.speeds.isObserved(first.serviceId)) return undefined;
    const nowMs = this.#clock.nowMs();
    return Math.min(...views.map((view) => this.remaining.startAtMs(view, nowMs)));
  }

  /**
   * Records that a request is sent.
   *
   * @param prefillTokens - weighted prompt tokens that the endpoint has to process.
   */
  sent(view: EndpointView, admitted: AdmittedRequest, prefillTokens: number): void {
    if (!this.#tracks(admitted)) return;
    const nowMs = this.#clock.nowMs();
    this.speeds.add(view.id, view.serviceId, nowMs);
    const { estimate, attempts } = this.#tracked(admitted);
    const { medianOutputTokens, highOutputTokens } = estimate;
    attempts.get(view.id)?.open.end(false, nowMs);
    attempts.set(view.id, {
      open: this.remaining.begin(
        view.id,
        view.serviceId,
        {
          prefillTokens,
          medianOutputTokens,
          highOutputTokens,
          stride: strideOf(admitted),
          objectiveMs: admitted.route.objectiveMs,
          hasEvents: admitted.route.kind === RequestKind.Stream,
        },
        nowMs,
      ),
      firstEventAtMs: undefined,
    });
  }

  /** Records the load that an endpoint reported `ageMs` milliseconds ago. */
  reported(view: EndpointView, load: ReportedLoad, ageMs: number): void {
    if (this.#mode === WorkRoutingMode.Off) return;
    this.remaining.recordReport(view.id, view.serviceId, load.runningRequests);
    const { serviceTimePercent } = load;
    if (serviceTimePercent === undefined) return;
    this.speeds.recordServiceTime(view.id, serviceTimePercent, this.#clock.nowMs() - ageMs);
  }

  /** Records the first events of a stream. */
  began(view: EndpointView, admitted: AdmittedRequest, events: number): void {
    const attempt = this.#attempt(view, admitted);
    if (!attempt) return;
    const nowMs = this.#clock.nowMs();
    const { open } = attempt;
    attempt.firstEventAtMs = nowMs;
    const sample = open.began(nowMs);
    open.progressed(events);
    if (!sample || sample.tokens < minPrefillTokens) return;
    this.speeds.observePrefill(view.id, sample.tokens, sample.elapsedMs);
  }

  /** Records further events of a stream, received `elapsedMs` after the previous ones. */
  progressed(
    view: EndpointView,
    admitted: AdmittedRequest,
    events: number,
    elapsedMs: number,
  ): void {
    const attempt = this.#attempt(view, admitted);
    if (!attempt || !(events > 0)) return;
    attempt.open.progressed(events);
    const load = Math.min(view.batchSlots, this.remaining.runningRequests(view.id));
    this.speeds.observeStep(view.id, elapsedMs / events, load, this.#clock.nowMs());
  }

  /**
   * Records the end of an attempt.
   *
   * @param isComplete - whether its response was received as a whole.
   */
  ended(view: EndpointView, admitted: AdmittedRequest, isComplete: boolean): void {
    const attempt = this.#attempt(view, admitted);
    if (!attempt) return;
    const nowMs = this.#clock.nowMs();
    const { features, attempts } = this.#tracked(admitted);
    const { open, firstEventAtMs } = attempt;
    // A stream that went on from another attempt is only the rest of a response.
    const isWhole =
      isComplete && attempts.size === 1 && admitted.description.lastEventId === undefined;
    open.end(isWhole, nowMs);
    if (!isWhole || firstEventAtMs === undefined) return;
    this.predictor.observe(features, {
      outputTokens: open.outputTokens,
      slotMs: nowMs - firstEventAtMs,
    });
  }

  /** Adds a prompt that another gateway sent. */
  addPeerPrefill(endpointId: string, tokens: number): void {
    this.remaining.addPeerPrefill(endpointId, tokens, this.#clock.nowMs());
  }

  /** Removes an endpoint whose identity is gone. */
  remove(endpointId: string): void {
    this.speeds.remove(endpointId);
    this.remaining.remove(endpointId);
  }

  #isCalledFor(serviceId: string, wasActive: boolean, spread: number): boolean {
    if (this.#mode === WorkRoutingMode.On) return this.speeds.isObserved(serviceId);
    return spread >= (wasActive ? inactiveSpread : activeSpread);
  }

  /** Requests without a token count have no work that could be predicted. */
  #tracks({ description }: AdmittedRequest): boolean {
    return this.#mode !== WorkRoutingMode.Off && description.promptTokens !== undefined;
  }

  #attempt(view: EndpointView, admitted: AdmittedRequest): Attempt | undefined {
    return this.#requests.get(admitted)?.attempts.get(view.id);
  }

  #tracked(admitted: AdmittedRequest): TrackedRequest {
    let tracked = this.#requests.get(admitted);
    if (!tracked) {
      const features = featuresOf(admitted);
      tracked = { features, estimate: this.predictor.predict(features), attempts: new Map() };
      this.#requests.set(admitted, tracked);
    }
    return tracked;
  }
}

function strideOf({ service }: AdmittedRequest): number {
  return service.engine?.stride ?? 1;
}

function featuresOf({ description, route, service, workspace }: AdmittedRequest): WorkFeatures {
  return {
    route: `${service.name}/${route.name}`,
    workspace: workspace?.name ?? '',
    lengthHintTokens: description.lengthHintTokens,
    promptTokens: description.promptTokens ?? 0,
    // What is cached depends on the endpoint; the router considers it for each candidate.
    cachedTokens: 0,
    maxOutputTokens: description.maxOutputTokens,
    tokenBytes: service.engine?.tokenBytes,
  };
}
