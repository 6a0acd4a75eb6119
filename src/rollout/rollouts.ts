import type { DutyLease } from '../capacity/duty-lease.js';
import type { Clock } from '../core/index.js';
import type { EndpointRegistry, RegisteredEndpoints } from '../fleet/index.js';
import { EndpointState, isLeaving } from '../fleet/index.js';
import type { KeyedEntry, KeyedLog } from '../log/keyed-log.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { DaemonSamples } from '../membership/daemon-samples.js';
import type { VersionConstraint } from '../routing/route-request.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import { EvidencePool } from './evidence-pool.js';
import { decodeRolloutState, RolloutController } from './rollout-controller.js';
import {
  RolloutExposure,
  type ExposedRequest,
  type VersionedEndpoint,
} from './rollout-exposure.js';
import type { RolloutMessage } from './rollout-message.js';
import type { RolloutBounds, RolloutOrder, RolloutRequest } from './rollout-order.js';
import { RolloutOrders } from './rollout-orders.js';
import { RolloutPolicy, type RolloutSituation } from './rollout-policy.js';
import { maxReportedRollouts, type RolloutReport } from './rollout-report.js';
import { isFinal, type RolloutState, type RolloutStatus } from './rollout-state.js';
import { RolloutStatusWriter } from './rollout-status-writer.js';
import { RolloutTracker, type SendTrack, type TrackedSend } from './rollout-tracker.js';

/** What the platform sets for rollouts. */
export interface RolloutSettings {
  readonly bounds: RolloutBounds;
  readonly statusTopic: string;
  readonly encodeStatus: (status: RolloutStatus) => KeyedEntry;
}

/** Options of {@link Rollouts}. */
export interface RolloutsOptions extends RolloutSettings {
  readonly daemon: string;
  readonly incarnation: number;
  /** Where this daemon receives datagrams, as host:port. */
  readonly address: string;
  readonly log: KeyedLog;
  /** Copies of the topics of the operator and of the duties. */
  readonly operatorReplica: KeyedReplica;
  readonly dutiesReplica: KeyedReplica;
  readonly registry: EndpointRegistry;
  readonly endpoints: RegisteredEndpoints;
  readonly samples: Pick<DaemonSamples, 'livePeers' | 'unreachablePeers'>;
  /** Sends a message to all other daemons; it may be lost. */
  readonly broadcast: (message: RolloutMessage) => void;
  /** Sends a message to one daemon; it may be lost. */
  readonly send: (address: string, message: RolloutMessage) => void;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** Time for which a state is trusted after the holder confirmed it: half of the rollback bound. */
const maxConfirmationMs = 2_500;

/** Reports that all daemons together send to the holder per second. */
const maxReportsPerS = 100;
const minReportPeriodMs = 450;
const maxReportPeriodMs = 2_800;

/** More daemons than this report by datagram only: each receives the samples of all. */
const maxSampledDaemons = 100;

/** Time between two rounds of decisions, which each report may begin. */
const minDecisionGapMs = 200;

/** A gateway whose report is older than this may have sent requests to old endpoints since. */
const maxReportAgeMs = 2_000;

/** After the deadline, gateways that were silent for this long count as gone. */
const goneAfterMs = 5_000;

/** Rollouts whose evidence is kept, the latest of each service. */
const maxPools = 64;

/**
 * The rollouts of all services as one daemon takes part in them: which version a request goes to,
 * what is seen of the versions, and the decisions while it holds the duties.
 *
 * @example
 * ```ts
 * const versions = rollouts.constraint(request);
 * const track = rollouts.sent(send);
 * track.ended(SendEnd.Answered);
 * ```
 */
export class Rollouts {
  readonly #options: RolloutsOptions;
  readonly #exposure: RolloutExposure;
  readonly #tracker: RolloutTracker;
  readonly #orders: RolloutOrders;
  readonly #pools = new Map<string, { readonly to: string; readonly pool: EvidencePool }>();
  /** First time at which the endpoints of a rollout were seen live, by endpoint id. */
  readonly #liveSinceMs = new Map<string, number>();
  #controller: RolloutController | undefined;
  #holderAddress: string | undefined;
  #nextReportAtMs = 0;
  #decidedAtMs = -Infinity;

  constructor(options: RolloutsOptions) {
    this.#options = options;
    const { clock, bounds, operatorReplica, dutiesReplica, events } = options;
    this.#exposure = new RolloutExposure({
      clock,
      confirmationMs: Math.min(maxConfirmationMs, bounds.rollbackMs / 2),
      isStoreReadable: () => !operatorReplica.isFailing && !dutiesReplica.isFailing,
      endpointsOf: (serviceName) => this.#endpointsOf(serviceName),
    });
    this.#tracker = new RolloutTracker({
      ...options,
      runningTo: (serviceName) => this.#exposure.runningTo(serviceName),
      revisionInForce: (serviceName) => this.#exposure.revisionInForce(serviceName),
    });
    this.#orders = new RolloutOrders({
      clock,
      onOrder: (order) => {
        const { serviceName: service, to: version, deadlineAtMs } = order;
        events.info(EventId.RolloutOrdered, 'service is to move to a version', {
          service,
          version,
          deadlineAtMs: Math.round(deadlineAtMs),
        });
        this.#exposure.applyOrder(order);
      },
    });
    dutiesReplica.onRecord(({ key, value }) => {
      const state = decodeRolloutState(key, value);
      // A record says nothing of the present; only final states are in force without the holder.
      if (state) this.#applyState(state, state.share, -Infinity);
    });
  }

  /** Applies an operator's order as it is read. */
  receiveOrder(order: RolloutRequest): void {
    this.#observeCopy();
    this.#orders.receive(order);
  }

  /** Takes part in decisions while a lease on the duties is held. */
  decideWith(lease: Pick<DutyLease, 'fence' | 'append'>): void {
    const { log, statusTopic, encodeStatus, dutiesReplica, bounds, address } = this.#options;
    this.#controller = new RolloutController({
      ...this.#options,
      policy: new RolloutPolicy(bounds),
      lease,
      replica: dutiesReplica,
      orders: () => this.#orders.all(),
      poolOf: (serviceName, to) => this.#poolOf(serviceName, to),
      situationOf: (order, state, pool) => this.#situationOf(order, state, pool),
      knownState: (serviceName) => this.#exposure.stateOf(serviceName),
      confirm: (state, share) => {
        this.#holderAddress = address;
        this.#applyState(state, share, this.#options.clock.nowMs());
        this.#options.broadcast({ confirmed: { state, share, address } });
      },
      statuses: new RolloutStatusWriter({
        ...this.#options,
        log,
        topic: statusTopic,
        encode: encodeStatus,
        lease,
        era: () => this.#options.dutiesReplica.era,
      }),
    });
  }

  /** Advances the rollouts if this daemon holds the duties. */
  async decide(): Promise<void> {
    this.#decidedAtMs = this.#options.clock.nowMs();
    await this.#controller?.tick();
  }

  /** Reports to the holder what is due. */
  report(): void {
    this.#observeCopy();
    const { clock, samples, daemon, metrics, send, address } = this.#options;
    const nowMs = clock.nowMs();
    const running = this.#exposure.running();
    for (const service of running) {
      const share = this.#exposure.shareInForce(service);
      metrics.gauge('gateway_rollout_share', share, { service });
    }
    if (running.length === 0 || nowMs < this.#nextReportAtMs) return;
    const daemons = samples.livePeers().length + 1;
    const periodMs = (daemons * 1_000) / maxReportsPerS;
    this.#nextReportAtMs =
      nowMs + Math.min(maxReportPeriodMs, Math.max(minReportPeriodMs, periodMs));
    for (const service of running) {
      const report = this.#tracker.report(service);
      if (!report) continue;
      // Each daemon keeps the reports that it has, as it may be the next holder.
      this.#recordReport(daemon, report);
      const holder = this.#holderAddress;
      if (holder !== undefined && holder !== address) send(holder, { report });
    }
  }

  /**
   * Reports for the samples, from which the next holder starts, and by which it knows of daemons that
   * datagrams do not reach. Undefined while there are none, and where every daemon would receive too
   * many of them.
   */
  sampledReports(): RolloutReport[] | undefined {
    if (this.#options.samples.livePeers().length >= maxSampledDaemons) return undefined;
    const reports = this.#exposure
      .running()
      .slice(0, maxReportedRollouts)
      .flatMap((service) => this.#tracker.report(service) ?? []);
    return reports.length === 0 ? undefined : reports;
  }

  /** Applies a message of another daemon. */
  receive({ confirmed, report }: RolloutMessage, daemon: string): void {
    if (report) {
      this.#recordReport(daemon, report);
      // Only the holder gets reports; each may be the one that shows a fault.
      if (this.#options.clock.nowMs() >= this.#decidedAtMs + minDecisionGapMs) void this.decide();
    }
    if (!confirmed) return;
    const { state, share, address } = confirmed;
    const known = this.#exposure.stateOf(state.serviceName)?.revision ?? -1;
    if (state.revision < known) return;
    this.#holderAddress = address;
    this.#applyState(state, share, this.#options.clock.nowMs());
  }

  /** Applies the reports of another daemon's sample. */
  receiveReports(daemon: string, reports: readonly RolloutReport[]): void {
    for (const report of reports) this.#recordReport(daemon, report);
  }

  /** Which endpoints may serve a request now; undefined if all of its service may. */
  constraint(request: ExposedRequest): VersionConstraint | undefined {
    return this.#exposure.constraint(request);
  }

  /** Version that a rollout moves a service to; undefined while none runs. */
  runningTo(serviceName: string): string | undefined {
    return this.#exposure.runningTo(serviceName);
  }

  /** Whether an endpoint of a version counts as capacity of its service. */
  countsAsCapacity(serviceName: string, version: string | undefined): boolean {
    return this.#exposure.countsAsCapacity(serviceName, version ?? '');
  }

  /** A request is sent to an endpoint. */
  sent(send: TrackedSend): SendTrack {
    const { serviceName, version } = send;
    if (this.#exposure.runningTo(serviceName) !== undefined)
      this.#options.metrics.count('gateway_rollout_sends', 1, { service: serviceName, version });
    return this.#tracker.sent(send);
  }

  #applyState(state: RolloutState, share: number, confirmedAtMs: number): void {
    if (!this.#exposure.applyState(state, share, confirmedAtMs)) return;
    const { serviceName: service, to: version, phase, revision } = state;
    this.#options.events.info(EventId.RolloutStateInForce, 'rollout has another state', {
      service,
      version,
      phase,
      share,
      revision,
    });
    if (isFinal(state)) this.#options.metrics.gauge('gateway_rollout_share', 0, { service });
  }

  #observeCopy(): void {
    const { caughtUpAtMs, isFailing } = this.#options.operatorReplica;
    this.#orders.observeCopy(caughtUpAtMs, isFailing);
  }

  #recordReport(daemon: string, report: RolloutReport): void {
    const pool = this.#poolOf(
      report.serviceName,
      report.to,
      this.#exposure.runningTo(report.serviceName),
    );
    pool?.record(daemon, report, this.#options.clock.nowMs());
  }

  #poolOf(serviceName: string, to: string): EvidencePool;
  #poolOf(serviceName: string, to: string, running: string | undefined): EvidencePool | undefined;
  #poolOf(
    serviceName: string,
    to: string,
    running: string | undefined = to,
  ): EvidencePool | undefined {
    const known = this.#pools.get(serviceName);
    if (known?.to === to) return known.pool;
    // A late report of the order before must not take the place of the running one's.
    if (running !== to || (!known && this.#pools.size >= maxPools)) return undefined;
    const pool = new EvidencePool();
    this.#pools.set(serviceName, { to, pool });
    return pool;
  }

  #situationOf(
    { serviceName, to, deadlineAtMs }: RolloutOrder,
    state: RolloutState | undefined,
    pool: EvidencePool,
  ): RolloutSituation {
    const { clock } = this.#options;
    const nowMs = clock.nowMs();
    const { registry, endpoints: registered } = this.#options;
    const endpoints = registry.views(registered.serviceId(serviceName));
    // One that is suspect here may serve the other gateways.
    const live = endpoints.filter((view) => !isLeaving(view));
    const fresh = live.filter(({ version }) => version === to);
    for (const { id } of fresh) {
      if (!this.#liveSinceMs.has(id)) this.#liveSinceMs.set(id, nowMs);
    }
    for (const id of this.#liveSinceMs.keys()) {
      if (!this.#options.registry.view(id)) this.#liveSinceMs.delete(id);
    }
    return {
      nowMs,
      pool,
      liveNew: fresh.length,
      liveOld: live.length - fresh.length,
      completeSinceMs: Math.max(0, ...fresh.map(({ id }) => this.#liveSinceMs.get(id) ?? nowMs)),
      otherVersions: [
        ...new Set(endpoints.map(({ version }) => version).filter((version) => version !== to)),
      ].filter((version) => !state?.rolledBack.includes(version)),
      isDrained: this.#isDrained(state, pool, deadlineAtMs),
    };
  }

  /** Whether every gateway has said that nothing of it runs at old endpoints, nor will. */
  #isDrained(state: RolloutState | undefined, pool: EvidencePool, deadlineAtMs: number): boolean {
    if (!state) return false;
    const { samples, daemon, clock } = this.#options;
    const nowMs = clock.nowMs();
    const isDone = (name: string): boolean => {
      const latest = pool.latest(name);
      return (
        latest !== undefined &&
        latest.report.revision >= state.revision &&
        latest.report.openAtOld === 0 &&
        nowMs - latest.receivedAtMs <= maxReportAgeMs
      );
    };
    const isGone = (name: string, sampledAtMs: number): boolean => {
      const reportedAtMs = pool.latest(name)?.receivedAtMs ?? -Infinity;
      return (
        nowMs >= Math.max(deadlineAtMs, state.deadlineAtMs) &&
        nowMs - Math.max(reportedAtMs, sampledAtMs) >= goneAfterMs
      );
    };
    const peers = [...samples.livePeers(), ...samples.unreachablePeers()];
    return (
      isDone(daemon) &&
      peers.every(({ daemon: name, sampledAtMs }) => isDone(name) || isGone(name, sampledAtMs))
    );
  }

  #endpointsOf(serviceName: string): VersionedEndpoint[] {
    const { registry, endpoints } = this.#options;
    return registry.views(endpoints.serviceId(serviceName)).map((view) => ({
      id: view.id,
      version: view.version,
      isLive: view.state === EndpointState.Live && !isLeaving(view),
    }));
  }
}
