import type { EndpointSpeeds } from './endpoint-speeds.js';
import type { EndpointView } from './endpoint-view.js';

/** Work of one request that is sent to an endpoint. */
export interface SentWork {
  /** Weighted prompt tokens that the endpoint has to prefill. */
  readonly prefillTokens: number;
  /** Median and 90th percentile of the output. */
  readonly medianOutputTokens: number;
  readonly highOutputTokens: number;
  /** Output tokens that one event holds. */
  readonly stride: number;
  /** Latency objective of the request. */
  readonly objectiveMs: number;
  /** Whether its first event shows that its prompt has been processed. */
  readonly hasEvents: boolean;
}

/** Weighted prompt tokens that an endpoint processed in a time, without a break. */
export interface PrefillSample {
  readonly tokens: number;
  readonly elapsedMs: number;
}

/** One of the daemon's own requests at an endpoint. */
export interface OpenWork {
  /**
   * Records that the first event was received: the prompt and those before it have been processed.
   *
   * @returns what it shows of the endpoint's prefill speed; undefined if nothing.
   */
  began(nowMs: number): PrefillSample | undefined;
  /** Records events, the first one included. */
  progressed(events: number): void;
  /**
   * Ends the work; a second call is ignored.
   *
   * @param isComplete - whether its output tokens are those of a whole response.
   */
  end(isComplete: boolean, nowMs: number): void;
  /** Output tokens received so far. */
  readonly outputTokens: number;
}

/** Work that an endpoint has to do, as seen by a new request; overwritten for each candidate. */
export interface WorkAhead {
  /** Time until a slot is free, in milliseconds. */
  slotWaitMs: number;
  /** Time to process the prompts known to be before it, in milliseconds. */
  prefillMs: number;
  /** Time of a step with the new request. */
  stepMs: number;
  /** Time of all work with the slots in use, in milliseconds of the endpoint. */
  totalMs: number;
}

interface EndpointWork {
  readonly serviceId: string;
  readonly open: Set<OpenRequest>;
  /** Requests whose first event is awaited, in the order in which they were sent. */
  readonly awaited: Set<OpenRequest>;
  /** Expected output tokens of the open requests that were not received yet. */
  openTokens: number;
  /** Weighted prompt tokens to process, as of `prefillAtMs`. */
  prefillTokens: number;
  prefillAtMs: number;
  /** All prompt tokens ever added, to know which were added after a given request. */
  addedTokens: number;
  /** Time of the last first event, and `addedTokens` up to its request. */
  passedAtMs: number;
  passedTokens: number;
  /** Requests in the last report, and own ones then. */
  reportedRunning: number;
  ownAtReport: number;
}

/** Output lengths and times of a service's requests. */
interface ServiceWork {
  meanTokens: number;
  meanSquareTokens: number;
  meanRequestMs: number;
  stride: number;
  count: number;
}

/** Smoothed mean of the inverse latency objectives of a service's requests. */
interface Urgency {
  perMs: number;
  count: number;
}

/** Assumptions about the requests of a service until some have ended. */
const initialOutputTokens = 200;
const initialRequestMs = 5_000;

/** Ended requests over which the means of a service are smoothed. */
const smoothingCount = 300;

/**
 * Share of the received output that is assumed to follow once a request has passed its 90th
 * percentile: the longer a heavy-tailed request runs, the longer it will go on.
 */
const overrunRatio = 0.3;

/** A remaining output is at most this multiple of the mean, so that rare giants do not count for all. */
const maxResidualRatio = 3;

class OpenRequest implements OpenWork {
  readonly #work: SentWork;
  readonly #endpoint: EndpointWork;
  readonly #owner: RemainingWork;
  readonly #endpointId: string;
  readonly #sentAtMs: number;
  /** Prompt tokens of the endpoint up to this request. */
  readonly addedTokens: number;
  readonly #isAlone: boolean;
  outputTokens = 0;
  #expectedTokens = 0;
  #isOver = false;

  constructor(
    owner: RemainingWork,
    endpointId: string,
    endpoint: EndpointWork,
    work: SentWork,
    isAlone: boolean,
    nowMs: number,
  ) {
    this.#owner = owner;
    this.#endpointId = endpointId;
    this.#endpoint = endpoint;
    this.#work = work;
    this.#sentAtMs = nowMs;
    this.addedTokens = endpoint.addedTokens;
    this.#isAlone = isAlone;
    endpoint.open.add(this);
    if (work.hasEvents) endpoint.awaited.add(this);
    this.#expect(this.#remaining());
  }

  began(nowMs: number): PrefillSample | undefined {
    const endpoint = this.#endpoint;
    if (this.#isOver || !endpoint.awaited.delete(this)) return undefined;
    const { passedAtMs, passedTokens } = endpoint;
    this.#owner.passPrefill(this.#endpointId, this.addedTokens, nowMs);
    if (this.#sentAtMs <= passedAtMs && this.addedTokens > passedTokens) {
      return { tokens: this.addedTokens - passedTokens, elapsedMs: nowMs - passedAtMs };
    }
    if (!this.#isAlone) return undefined;
    return { tokens: this.#work.prefillTokens, elapsedMs: nowMs - this.#sentAtMs };
  }

  progressed(events: number): void {
    if (this.#isOver) return;
    this.outputTokens += events * this.#work.stride;
    this.#expect(this.#remaining());
  }

  end(isComplete: boolean, nowMs: number): void {
    if (this.#isOver) return;
    this.#expect(0);
    this.#isOver = true;
    this.#endpoint.open.delete(this);
    this.#endpoint.awaited.delete(this);
    // A request without events has no output that could be counted.
    if (!isComplete || this.outputTokens === 0) return;
    this.#owner.learn(
      this.#endpoint.serviceId,
      this.outputTokens,
      nowMs - this.#sentAtMs,
      this.#work.stride,
    );
  }

  #remaining(): number {
    const { medianOutputTokens, highOutputTokens } = this.#work;
    const expected =
      this.outputTokens < medianOutputTokens
        ? medianOutputTokens + (highOutputTokens - medianOutputTokens) * 0.25
        : highOutputTokens;
    return Math.max(expected - this.outputTokens, this.outputTokens * overrunRatio);
  }

  #expect(tokens: number): void {
    this.#endpoint.openTokens += tokens - this.#expectedTokens;
    this.#expectedTokens = tokens;
  }
}

/**
 * Work that each endpoint still has to do, in milliseconds of that endpoint's own time: prompts that
 * it has yet to process, and output of the requests there. Own requests are known with what was
 * received of them; those of other daemons are counted by the reports and assumed to be in the
 * middle of a request as their service has them.
 *
 * @example
 * ```ts
 * const open = remaining.begin('i-7', 'registered/assistant', work, clock.nowMs());
 * remaining.startAtMs(view, load.requests, clock.nowMs());
 * ```
 */
export class RemainingWork {
  readonly #speeds: EndpointSpeeds;
  readonly #endpoints = new Map<string, EndpointWork>();
  readonly #services = new Map<string, ServiceWork>();
  readonly #urgencies = new Map<string, Urgency>();

  constructor(speeds: EndpointSpeeds) {
    this.#speeds = speeds;
  }

  /** Adds a request that is sent to an endpoint. */
  begin(endpointId: string, serviceId: string, work: SentWork, nowMs: number): OpenWork {
    const endpoint = this.#endpoint(endpointId, serviceId);
    this.#observeUrgency(serviceId, 1 / work.objectiveMs);
    const isAlone = this.#prefillTokens(endpointId, endpoint, nowMs) === 0;
    this.#addPrefill(endpointId, endpoint, work.prefillTokens, nowMs);
    return new OpenRequest(this, endpointId, endpoint, work, isAlone, nowMs);
  }

  /** Adds the weighted tokens of a prompt that another daemon sent; unknown endpoints are ignored. */
  addPeerPrefill(endpointId: string, tokens: number, nowMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint) this.#addPrefill(endpointId, endpoint, tokens, nowMs);
  }

  /** Records the running requests in a load report. */
  recordReport(endpointId: string, serviceId: string, runningRequests: number): void {
    const endpoint = this.#endpoint(endpointId, serviceId);
    endpoint.reportedRunning = runningRequests;
    endpoint.ownAtReport = endpoint.open.size;
  }

  /** Requests that probably run at an endpoint now. */
  runningRequests(endpointId: string): number {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint) return 1;
    const changed = endpoint.reportedRunning + endpoint.open.size - endpoint.ownAtReport;
    return Math.max(1, endpoint.open.size, changed);
  }

  /** Own open requests at an endpoint. */
  openRequests(endpointId: string): number {
    return this.#endpoints.get(endpointId)?.open.size ?? 0;
  }

  /** Mean time of a request of a service from being sent to its end, in milliseconds. */
  meanRequestMs(serviceId: string): number {
    return this.#services.get(serviceId)?.meanRequestMs ?? initialRequestMs;
  }

  /** Share of its latency objective that a millisecond is for the mean request of a service. */
  urgencyPerMs(serviceId: string): number {
    return this.#urgencies.get(serviceId)?.perMs ?? 0;
  }

  /** Mean output tokens of a request of a service. */
  meanOutputTokens(serviceId: string): number {
    return this.#services.get(serviceId)?.meanTokens ?? initialOutputTokens;
  }

  /**
   * Computes what a new request would find at an endpoint.
   *
   * @param requests - requests at the endpoint, those of other daemons included.
   */
  ahead(target: WorkAhead, view: EndpointView, requests: number, nowMs: number): void {
    const endpoint = this.#endpoints.get(view.id);
    const service = this.#services.get(view.serviceId);
    const { batchSlots: slots } = view;
    const ownCount = endpoint?.open.size ?? 0;
    const peerCount = Math.max(0, requests - ownCount);
    const tokens = (endpoint?.openTokens ?? 0) + peerCount * residualTokens(service);
    const count = ownCount + peerCount;
    const batch = Math.min(slots, count + 1);
    target.stepMs = this.#speeds.stepMs(view.id, batch, nowMs);
    const tokenMs = target.stepMs / (service?.stride ?? 1);
    target.prefillMs = endpoint ? this.#prefillMs(view.id, endpoint, nowMs) : 0;
    const excess = Math.max(0, count + 1 - slots);
    // The batch completes one request in this time on average.
    const completionMs = count > 0 ? ((tokens / count) * tokenMs) / Math.min(slots, count) : 0;
    target.slotWaitMs = excess * completionMs;
    target.totalMs = target.prefillMs + (tokens * tokenMs) / batch;
  }

  /**
   * Earliest time at which a new request would start at an endpoint, in epoch milliseconds.
   *
   * @param requests - requests there; by default those of the last report and own changes since.
   */
  startAtMs(view: EndpointView, nowMs: number, requests?: number): number {
    const ahead = { slotWaitMs: 0, prefillMs: 0, stepMs: 0, totalMs: 0 };
    this.ahead(ahead, view, requests ?? this.#knownRequests(view), nowMs);
    return nowMs + ahead.slotWaitMs + ahead.prefillMs;
  }

  /** Removes an endpoint whose identity is gone. */
  remove(endpointId: string): void {
    this.#endpoints.delete(endpointId);
  }

  /** @internal Prompts sent up to a request have been processed once it has begun. */
  passPrefill(endpointId: string, addedTokens: number, nowMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint) return;
    // A request that overtook others shows nothing of those before it.
    if (addedTokens < endpoint.passedTokens) return;
    endpoint.prefillTokens = endpoint.addedTokens - addedTokens;
    endpoint.prefillAtMs = nowMs;
    endpoint.passedAtMs = nowMs;
    endpoint.passedTokens = addedTokens;
  }

  /** @internal Learns from a request that has ended. */
  learn(serviceId: string, outputTokens: number, requestMs: number, stride: number): void {
    let service = this.#services.get(serviceId);
    if (!service) {
      service = {
        meanTokens: outputTokens,
        meanSquareTokens: outputTokens ** 2,
        meanRequestMs: requestMs,
        stride,
        count: 0,
      };
      this.#services.set(serviceId, service);
    }
    service.count = Math.min(smoothingCount, service.count + 1);
    const gain = 1 / service.count;
    service.meanTokens += (outputTokens - service.meanTokens) * gain;
    service.meanSquareTokens += (outputTokens ** 2 - service.meanSquareTokens) * gain;
    service.meanRequestMs += (requestMs - service.meanRequestMs) * gain;
    service.stride = stride;
  }

  #observeUrgency(serviceId: string, perMs: number): void {
    let urgency = this.#urgencies.get(serviceId);
    if (!urgency) {
      urgency = { perMs: 0, count: 0 };
      this.#urgencies.set(serviceId, urgency);
    }
    urgency.count = Math.min(smoothingCount, urgency.count + 1);
    urgency.perMs += (perMs - urgency.perMs) / urgency.count;
  }

  #knownRequests({ id, report }: EndpointView): number {
    const open = this.openRequests(id);
    if (!report) return open;
    const atReport = this.#endpoints.get(id)?.ownAtReport ?? 0;
    return Math.max(open, report.runningRequests + report.queuedRequests + open - atReport);
  }

  #endpoint(endpointId: string, serviceId: string): EndpointWork {
    let endpoint = this.#endpoints.get(endpointId);
    if (!endpoint) {
      endpoint = {
        serviceId,
        open: new Set(),
        awaited: new Set(),
        openTokens: 0,
        prefillTokens: 0,
        prefillAtMs: 0,
        addedTokens: 0,
        passedAtMs: -Infinity,
        passedTokens: 0,
        reportedRunning: 0,
        ownAtReport: 0,
      };
      this.#endpoints.set(endpointId, endpoint);
    }
    return endpoint;
  }

  #addPrefill(endpointId: string, endpoint: EndpointWork, tokens: number, nowMs: number): void {
    endpoint.prefillTokens = this.#prefillTokens(endpointId, endpoint, nowMs) + tokens;
    endpoint.prefillAtMs = nowMs;
    endpoint.addedTokens += tokens;
  }

  #prefillTokens(endpointId: string, endpoint: EndpointWork, nowMs: number): number {
    if (endpoint.prefillTokens === 0) return 0;
    const elapsedMs = Math.max(0, nowMs - endpoint.prefillAtMs);
    const done = elapsedMs * this.#speeds.prefillTokensPerMs(endpointId, nowMs);
    // The prompts after one whose first event is awaited have not been processed either.
    const [first] = endpoint.awaited;
    const behind = first ? endpoint.addedTokens - first.addedTokens : 0;
    return Math.max(0, behind, endpoint.prefillTokens - done);
  }

  #prefillMs(endpointId: string, endpoint: EndpointWork, nowMs: number): number {
    const tokens = this.#prefillTokens(endpointId, endpoint, nowMs);
    return tokens === 0 ? 0 : tokens / this.#speeds.prefillTokensPerMs(endpointId, nowMs);
  }
}

/** Expected remaining output of a request that is found running at any moment. */
function residualTokens(service: ServiceWork | undefined): number {
  if (!service) return initialOutputTokens / 2;
  const { meanTokens, meanSquareTokens } = service;
  if (!(meanTokens > 0)) return 0;
  return Math.min(maxResidualRatio * meanTokens, meanSquareTokens / (2 * meanTokens));
}
