import {
  ScarcityAction,
  ScarcityPolicy,
  type ScarcityDecision,
  type ScarcityRequest,
} from '../admission/scarcity-policy.js';
import { SlotStartEstimator } from '../admission/start-estimator.js';
import { WaitQueue, type WaitingRequest } from '../admission/wait-queue.js';
import type { Clock, Random } from '../core/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import type { AdmittedRequest, CallerExchange } from './caller-exchange.js';
import { refusal } from './refusal.js';
import type { KnownLoad } from './service-loads.js';

/** Options of {@link ScarcityGate}. */
export interface ScarcityGateOptions {
  /** Undefined while the load of a service is not known. */
  readonly loadOf: (serviceName: string, nowMs: number) => KnownLoad | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** Bounds of the requests that wait for one service; the bytes also count as buffered bodies. */
const waitLimits = { maxRequests: 256, maxBytes: 8_000_000 };

/** Time without a refusal after which a shortage counts as over, in milliseconds. */
const shortageEndMs = 5_000;

/** Tells how a waiting request goes on. */
interface Waiting extends WaitingRequest {
  readonly start: () => void;
  readonly refuse: () => void;
}

/** A request that is sent to endpoints. */
interface RunningRequest {
  readonly sentAtMs: number;
  /** Wait at the endpoints that was expected when it was sent, in milliseconds. */
  readonly expectedWaitMs: number;
}

/**
 * Lets requests pass, wait or be refused while their service is short of capacity, before they are
 * charged to a quota and sent. Learns from the requests that end how fast the service serves.
 *
 * @example
 * ```ts
 * await gate.pass(exchange, request); // throws when the request is refused
 * ```
 */
export class ScarcityGate {
  readonly #options: ScarcityGateOptions;
  readonly #estimator: SlotStartEstimator;
  readonly #policy: ScarcityPolicy;
  readonly #queues = new Map<string, WaitQueue<Waiting>>();
  readonly #running = new WeakMap<AdmittedRequest, RunningRequest>();
  /** Time of the last refusal, by service that is short of capacity. */
  readonly #refusedAtMs = new Map<string, number>();

  constructor(options: ScarcityGateOptions) {
    this.#options = options;
    const { loadOf, clock, random } = options;
    this.#estimator = new SlotStartEstimator({
      loadOf,
      ownShareOf: (serviceName) => loadOf(serviceName, clock.nowMs())?.ownShare ?? 1,
    });
    this.#policy = new ScarcityPolicy({ estimator: this.#estimator, random });
  }

  /**
   * Resolves when the request may be sent.
   *
   * @throws RequestError when it is refused, or its caller has left while it waited.
   */
  async pass(exchange: CallerExchange, admitted: AdmittedRequest): Promise<void> {
    const { clock, metrics } = this.#options;
    const service = admitted.service.name;
    const request = this.#requestOf(admitted);
    let decision = this.#policy.decide(request, clock.nowMs());
    metrics.count('gateway_scarcity_decisions', 1, { service, action: decision.action });
    if (decision.action === ScarcityAction.Wait)
      decision = await this.#wait(exchange, admitted, request, decision.untilMs);
    if (decision.action === ScarcityAction.Refuse) {
      this.#noteRefusal(service);
      throw refusal(503, `service "${service}" is short of capacity`, decision.retryAtMs);
    }
    this.#noteStart(service);
  }

  /** Records that an admitted request is being sent. */
  began(admitted: AdmittedRequest): void {
    const nowMs = this.#options.clock.nowMs();
    const startAtMs = this.#estimator.earliestStartAtMs(this.#requestOf(admitted, 0), nowMs);
    this.#running.set(admitted, { sentAtMs: nowMs, expectedWaitMs: (startAtMs ?? nowMs) - nowMs });
  }

  /** Records that it has ended, and lets one that waits start if there is room. */
  ended(admitted: AdmittedRequest): void {
    const running = this.#running.get(admitted);
    if (!running) return;
    this.#running.delete(admitted);
    const nowMs = this.#options.clock.nowMs();
    const { name } = admitted.service;
    const elapsedMs = nowMs - running.sentAtMs;
    this.#estimator.recordEnd(name, Math.max(1, elapsedMs - running.expectedWaitMs));
    this.#policy.recordEnd(name);
    const queue = this.#queues.get(name);
    const next = queue?.first();
    if (!queue || !next || !this.#policy.mayStartNext(this.#requestOf(admitted, 0), nowMs)) return;
    next.start();
  }

  /** Updates the gauges. */
  measure(): void {
    const { metrics } = this.#options;
    for (const [service, queue] of this.#queues) {
      metrics.gauge('gateway_waiting_requests', queue.length, { service });
      metrics.gauge('gateway_started_ratio', this.#policy.fractionOf(service), { service });
    }
  }

  #wait(
    exchange: CallerExchange,
    admitted: AdmittedRequest,
    request: ScarcityRequest,
    untilMs: number,
  ): Promise<ScarcityDecision> {
    const { clock } = this.#options;
    const queue = this.#queueOf(request.serviceName);
    return new Promise((resolve) => {
      const end = (decision: ScarcityDecision): void => {
        queue.remove(waiting);
        cancel();
        resolve(decision);
      };
      const waiting: Waiting = {
        value: request.value,
        workspaceName: request.workspaceName,
        bytes: admitted.body.length,
        start: () => {
          end({ action: ScarcityAction.Start });
        },
        refuse: () => {
          end(this.#policy.refuse(request, clock.nowMs()));
        },
      };
      const cancel = clock.schedule(untilMs, waiting.refuse);
      exchange.onDisconnect(waiting.refuse);
      for (const displaced of queue.add(waiting)) displaced.refuse();
      if (exchange.isDisconnected) waiting.refuse();
    });
  }

  #queueOf(serviceName: string): WaitQueue<Waiting> {
    let queue = this.#queues.get(serviceName);
    if (!queue) {
      queue = new WaitQueue(waitLimits);
      this.#queues.set(serviceName, queue);
    }
    return queue;
  }

  #requestOf(admitted: AdmittedRequest, requestsAhead?: number): ScarcityRequest {
    const { service, workspace, route, receivedAtMs, deadlineAtMs } = admitted;
    const value = {
      priority: workspace?.priority ?? route.priority,
      objectiveMs: route.objectiveMs,
    };
    return {
      serviceName: service.name,
      value,
      requestsAhead: requestsAhead ?? this.#queues.get(service.name)?.countAhead(value) ?? 0,
      workspaceName: workspace?.name ?? '',
      cost: 1,
      receivedAtMs,
      deadlineAtMs,
    };
  }

  #noteRefusal(service: string): void {
    const { clock, events } = this.#options;
    const nowMs = clock.nowMs();
    if (!this.#refusedAtMs.has(service)) {
      const load = this.#options.loadOf(service, nowMs);
      events.warn(EventId.ServiceShort, 'service is short of capacity; requests are refused', {
        service,
        startedRatio: Number(this.#policy.fractionOf(service).toFixed(3)),
        slots: load?.slots ?? 0,
        takenSlots: load?.takenSlots ?? 0,
        waitingRequests: load?.waitingRequests ?? 0,
      });
    }
    this.#refusedAtMs.set(service, nowMs);
  }

  #noteStart(service: string): void {
    const refusedAtMs = this.#refusedAtMs.get(service);
    if (refusedAtMs === undefined) return;
    if (this.#options.clock.nowMs() - refusedAtMs < shortageEndMs) return;
    this.#refusedAtMs.delete(service);
    this.#options.events.info(EventId.ServiceSufficient, 'service has capacity again', { service });
  }
}
