import { SharedRetryBudget, type RetryTolerance } from '../admission/shared-retry-budget.js';
import type { QuotaTolerance } from '../admission/token-quota.js';
import type { DutyClient } from '../capacity/duty-client.js';
import { RateMeter } from '../capacity/rate-meter.js';
import { UsageCounter } from '../capacity/usage-counter.js';
import { Random, type Clock } from '../core/index.js';
import type { ReadTurns } from '../core/read-turns.js';
import { MeteredLog } from '../distribution/index.js';
import { EngineFailure } from '../engine/engine-error.js';
import {
  RegisteredEndpoints,
  StallDetector,
  type EndpointProbe,
  type ProbeTarget,
} from '../fleet/index.js';
import type { KeyedLog } from '../log/keyed-log.js';
import { DaemonSamples, type SampleContent } from '../membership/daemon-samples.js';
import type { PeerAddress } from '../membership/peer-broadcaster.js';
import { TcpListenCheck } from '../quarantine/crash-detector.js';
import { PromptGuard } from '../quarantine/prompt-guard.js';
import { Rollouts, type RolloutSettings } from '../rollout/rollouts.js';
import { EventId, EventLoopMonitor, type EventLog, type Metrics } from '../telemetry/index.js';
import { CallerMemory } from './caller-memory.js';
import { ConfigHolder } from './config-holder.js';
import { EndpointConnections } from './endpoint-connections.js';
import { EndpointKnowledge } from './endpoint-knowledge.js';
import { GatewayDuties } from './gateway-duties.js';
import { GatewayGauges } from './gateway-gauges.js';
import { GatewayListener } from './gateway-listener.js';
import { GatewayReplicas, type GatewayTopics } from './gateway-replicas.js';
import { PeerExchange } from './peer-exchange.js';
import { callerBounds, defaultMachineLimits, type MachineLimits } from './machine-limits.js';
import { Placement } from './placement.js';
import { reportedReadTurns } from './reported-read-turns.js';
import { RequestAdmission } from './request-admission.js';
import { RequestExplainer } from './request-explainer.js';
import type { RequestCodec } from './request-codec.js';
import { RequestMetrics } from './request-metrics.js';
import { RequestRelay } from './request-relay.js';
import { ScarcityGate } from './scarcity-gate.js';
import { ServiceLoads } from './service-loads.js';
import { UsageCountingObserver } from './usage-counting-observer.js';
import type { WorkRoutingMode } from './work-routing.js';
import { WorkspaceQuotas } from './workspace-quotas.js';

/** How the health of an endpoint is asked for. */
export interface HealthCheck {
  readonly path: string;
  /** Instance that has to answer. */
  readonly instanceId: string;
}

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  readonly daemon: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Processor capacity of the VM, in cores. */
  readonly capacityCores: number;
  /** What the VM allows the process; by default {@link defaultMachineLimits}. */
  readonly machine?: MachineLimits;
  readonly host: string;
  readonly port: number;
  /** Address at which this daemon receives datagrams and calls from its peers. */
  readonly peerAddress: PeerAddress;
  readonly store: KeyedLog;
  readonly topics: GatewayTopics;
  readonly codec: RequestCodec;
  /** Undefined on platforms without duties. */
  readonly duties: DutyClient | undefined;
  readonly probe: (healthCheckOf: (target: ProbeTarget) => HealthCheck) => EndpointProbe;
  readonly clock: Clock;
  readonly wallNowMs: () => number;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Time for which a stopping daemon accepts requests, until the load balancer has removed it. */
  readonly deregistrationDelayMs: number;
  readonly leaseMs: number;
  readonly usageWindowMs: number;
  /** A usage report is due this long after the end of its window, in milliseconds. */
  readonly usageDueMs: number;
  readonly quotaTolerance: QuotaTolerance;
  readonly retryTolerance: RetryTolerance;
  /** Longest time between two reads of the registrations, in milliseconds. */
  readonly maxRegistrationReadIntervalMs: number;
  /** Interval at which endpoints renew their registrations, in milliseconds. */
  readonly registrationHeartbeatMs: number;
  /** Time for which a leaving endpoint serves, in milliseconds. */
  readonly drainMs: number;
  /** Whether requests are routed by their predicted work; default: off. */
  readonly workRouting?: WorkRoutingMode;
  /** Undefined where the platform does not order rollouts. */
  readonly rollouts?: RolloutSettings | undefined;
  /** Whether requests wait or are refused while their service is short of capacity; off by default. */
  readonly scarcityAdmission?: boolean;
}

/**
 * Long enough to bridge the pauses between bursts, short enough to follow a burst within seconds.
 */
const demandSmoothingMs = 5_000;

/** Longest time for which a starting daemon waits for the quarantines before it takes requests. */
const maxQuarantineWaitMs = 1_500;

/** Interval of the periodic work: retry budget, quotas and duties. */
const tickPeriodMs = 500;

/**
 * Time before the forced end at which a stopping daemon stops waiting for open requests. A small VM
 * under load needs most of it for its leave record and to exit.
 */
const stopMarginMs = 1_000;

/** Time before the forced end at which a stopping daemon stops waiting for its leave record. */
const leaveMarginMs = 500;

/**
 * One gateway daemon. Creates, starts and stops the parts between callers, endpoints and the store.
 */
export class Gateway {
  readonly config: ConfigHolder;
  readonly endpoints: RegisteredEndpoints;
  readonly replicas: GatewayReplicas;
  /** Explains where requests would go. */
  readonly explainer: RequestExplainer;
  /** Undefined where the platform does not order rollouts. */
  readonly rollouts: Rollouts | undefined;
  readonly #options: GatewayOptions;
  readonly #known: EndpointKnowledge;
  readonly #connections: EndpointConnections;
  readonly #relay: RequestRelay;
  readonly #scarcity: ScarcityGate | undefined;
  readonly #listener: GatewayListener;
  readonly #samples: DaemonSamples;
  readonly #duties: GatewayDuties | undefined;
  readonly #counter: UsageCounter;
  readonly #quotas: WorkspaceQuotas;
  readonly #gauges: GatewayGauges;
  readonly #memory: CallerMemory;
  readonly #demand = new RateMeter(demandSmoothingMs);
  readonly #peers: PeerExchange;
  readonly #guard: PromptGuard;
  readonly #retries: SharedRetryBudget;
  readonly #loopMonitor: EventLoopMonitor;
  readonly #readTurns: ReadTurns;
  /** Resolves when the daemon has stopped; undefined until it is asked to. */
  #stopped: Promise<void> | undefined;
  /** Time from which the daemon takes requests although it knows no quarantines. */
  #readyAfterMs = Infinity;
  #stopTicking: () => void = () => undefined;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const { clock, events, daemon, topics } = options;
    const incarnation = options.wallNowMs();
    const bounds = callerBounds(options.machine ?? defaultMachineLimits);
    this.#memory = new CallerMemory({ ...options, bounds });
    this.#loopMonitor = new EventLoopMonitor(options);
    this.#readTurns = reportedReadTurns(options);
    this.config = new ConfigHolder(events);
    this.replicas = new GatewayReplicas({
      ...options,
      store: new MeteredLog(options.store, options.metrics),
      listenAddress: options.peerAddress,
      maxPeerConnections: bounds.maxPeerConnections,
      ranking: () => this.#peers.ranking(),
      intervals: () => this.#peers.intervals,
    });

    this.#known = new EndpointKnowledge({
      ...options,
      routesByVersion: options.rollouts !== undefined,
      onLeaving: (endpointId) => {
        this.#peers.broadcastLeaving(endpointId);
      },
    });
    this.#known.registry.onSuspect(({ id }) => {
      this.#peers.broadcastSuspicion(id);
    });
    this.endpoints = new RegisteredEndpoints({
      registry: this.#known.registry,
      clock,
      events,
      knownAsOfMs: () => this.replicas.registrations.caughtUpAtMs ?? clock.nowMs(),
      outageEndedAtMs: () => this.replicas.registrations.outageEndedAtMs,
    });
    this.#connections = new EndpointConnections(clock);
    this.#counter = new UsageCounter(options.usageWindowMs);
    this.#samples = new DaemonSamples({
      log: this.replicas.log,
      topic: topics.daemons,
      replica: this.replicas.samples,
      daemon,
      incarnation,
      clock,
      events,
      content: () => this.#sampleContent(),
      periodMs: () => this.#peers.intervals.samplePeriodMs,
      onEarlierRun: ({ usage }) => this.#counter.merge(usage),
      onCrashes: (reports, sampledAtMs) => {
        this.#guard.receiveReports(reports, sampledAtMs);
      },
      onRollouts: (peer, reports) => this.rollouts?.receiveReports(peer, reports),
    });
    this.#peers = new PeerExchange({
      samples: this.#samples,
      daemon,
      incarnation,
      address: options.peerAddress,
      region: options.region,
      failureDomain: options.failureDomain,
      capacityCores: options.capacityCores,
      clock,
      events,
      maxRegistrationReadIntervalMs: options.maxRegistrationReadIntervalMs,
      counts: () => this.#quotas.counts(),
      distributor: () => this.replicas.distributor,
      onSuspicion: (endpointId, reporter) =>
        this.#known.suspicions.report(endpointId, reporter, clock.nowMs()),
      onLeaving: (endpointId, reporter, ageMs) => {
        this.#known.peerLeavings.report(endpointId, reporter, ageMs, clock.nowMs());
      },
      onQuarantine: (message) => {
        this.#guard.receive(message);
      },
      onRollout: (message, peer) => this.rollouts?.receive(message, peer),
      onPrefill: ({ endpointId, tokens }) => {
        this.#known.backlog.add(endpointId, tokens, clock.nowMs());
        this.#known.work.addPeerPrefill(endpointId, tokens);
      },
    });
    this.#quotas = new WorkspaceQuotas(this.#peers, options.quotaTolerance, options.random.fork());
    this.#retries = new SharedRetryBudget(options.retryTolerance);
    this.#guard = this.#createGuard();
    this.rollouts = options.rollouts && this.#createRollouts(options.rollouts, incarnation);
    this.#scarcity = options.scarcityAdmission === true ? this.#createScarcityGate() : undefined;
    const requestMetrics = new RequestMetrics(options.metrics, clock);
    const placement = this.#createPlacement();
    this.explainer = new RequestExplainer({
      config: this.config,
      codec: options.codec,
      quotas: this.#quotas,
      guard: this.#guard,
      placement,
      clock,
    });
    this.#relay = this.#createRelay(requestMetrics, placement);
    this.#listener = this.#createListener(requestMetrics);
    this.#duties =
      options.duties &&
      new GatewayDuties({
        ...options,
        store: this.replicas.log,
        readsStore: () => this.replicas.distributor === undefined,
        duties: options.duties,
        incarnation,
        topic: topics.duties,
        replica: this.replicas.duties,
        samples: this.#samples,
        ownSample: () => this.#sampleContent(),
        counter: this.#counter,
        endpoints: this.endpoints,
        backlog: this.#known.backlog,
        config: this.config,
        rollouts: this.rollouts,
      });
    this.#gauges = new GatewayGauges({
      metrics: options.metrics,
      clock,
      config: this.config,
      registry: this.#known.registry,
      endpoints: this.endpoints,
      replicas: this.replicas.all(),
      storeEra: () => this.replicas.era.current,
      isDistributor: () => this.replicas.distributor === undefined,
      inFlight: () => this.#listener.inFlight,
      callers: () => ({
        bodyBytes: this.#memory.bodyBytes,
        heldBytes: this.#memory.usedBytes,
        connections: this.#listener.connections,
      }),
      liveDaemons: () => this.liveDaemons,
      isDutyHolder: () => this.#duties?.isHolder === true,
      quarantines: () => this.#guard.activeEntries,
      work: this.#known.work,
    });
  }

  /** Port that callers connect to, also when the system chose it. */
  get port(): number {
    return this.#listener.port;
  }

  /** Live daemons as this one sees them, itself included. */
  get liveDaemons(): number {
    return this.#peers.peerStatus().daemons;
  }

  /** Whether the load balancer may send new connections. */
  get isReady(): boolean {
    if (this.#stopped !== undefined || this.config.table === undefined) return false;
    return this.#guard.isRead || this.#options.clock.nowMs() >= this.#readyAfterMs;
  }

  /**
   * Starts serving.
   *
   * @throws Error when the server cannot listen on the address.
   */
  async start(): Promise<void> {
    const { clock } = this.#options;
    this.#loopMonitor.start();
    this.#readyAfterMs = clock.nowMs() + maxQuarantineWaitMs;
    await this.#listener.listen();
    this.#peers.start();
    await this.replicas.start();
    this.#samples.start();
    this.#stopTicking = clock.every(tickPeriodMs, () => void this.#tick());
  }

  /**
   * Stops after open requests have completed, at the latest at `deadlineAtMs` (epoch milliseconds).
   * Further calls wait for the same stop.
   */
  stop(deadlineAtMs: number): Promise<void> {
    this.#stopped ??= this.#stop(deadlineAtMs);
    return this.#stopped;
  }

  /** Updates the gauges that are computed from the daemon's state. */
  measure(): void {
    this.#gauges.measure();
    this.#scarcity?.measure();
    this.#loopMonitor.measure();
  }

  async #stop(deadlineAtMs: number): Promise<void> {
    const { clock, events } = this.#options;
    events.info(EventId.DaemonStopping, 'daemon is stopping', { open: this.#listener.inFlight });
    this.#listener.startDraining();
    // Not awaited: an unresponsive store must not delay the stop.
    void this.#duties?.release();
    await clock.sleepUntil(
      Math.min(clock.nowMs() + this.#options.deregistrationDelayMs, deadlineAtMs - stopMarginMs),
    );
    this.#listener.stopAccepting();
    await this.#listener.waitUntilIdle(deadlineAtMs - stopMarginMs);
    this.#relay.answerOpenRequests();
    this.#listener.refuseUnadmitted();
    const left = new AbortController();
    void this.#samples.leave().finally(() => {
      left.abort();
    });
    await Promise.all([
      clock.sleepUntil(deadlineAtMs - leaveMarginMs, left.signal),
      // Those that were read behind the ones just answered have yet to be refused.
      this.#listener.waitUntilIdle(deadlineAtMs - leaveMarginMs),
    ]);
    this.#stopTicking();
    this.#guard.stop();
    this.#loopMonitor.stop();
    this.replicas.stop();
    events.info(EventId.DaemonStopped, 'daemon has stopped', { open: this.#listener.inFlight });
    this.#listener.close();
    this.#peers.stop();
    this.#connections.close();
  }

  #createGuard(): PromptGuard {
    const { clock, events, metrics, topics } = this.#options;
    const guard = new PromptGuard({
      check: new TcpListenCheck(clock),
      log: this.replicas.log,
      topic: topics.duties,
      replica: this.replicas.duties,
      publish: (message) => {
        this.#peers.broadcastQuarantine(message);
      },
      reportsCompleteSinceMs: () => this.#peers.reportsCompleteSinceMs,
      isDutyHolder: () => this.#duties?.isHolder === true,
      onEndpointCrash: (endpointId) => {
        this.#known.registry.recordFailure(endpointId, EngineFailure.ConnectionFailed);
      },
      clock,
      events,
      metrics,
    });
    this.#known.registry.onRetire((endpointId) => {
      guard.endpointRetired(endpointId);
    });
    return guard;
  }

  #createRollouts(settings: RolloutSettings, incarnation: number): Rollouts {
    const { host, port } = this.#options.peerAddress;
    return new Rollouts({
      ...this.#options,
      ...settings,
      incarnation,
      address: `${host}:${port}`,
      log: this.replicas.log,
      operatorReplica: this.replicas.config,
      dutiesReplica: this.replicas.duties,
      registry: this.#known.registry,
      endpoints: this.endpoints,
      samples: this.#samples,
      broadcast: (message) => {
        this.#peers.broadcastRollout(message);
      },
      send: (address, message) => {
        this.#peers.sendRollout(address, message);
      },
    });
  }

  #createPlacement(): Placement {
    return new Placement({
      known: this.#known,
      endpoints: this.endpoints,
      demand: this.#demand,
      broadcastPrefill: (report) => this.#peers.broadcastPrefill(report),
      rollouts: this.rollouts,
      clock: this.#options.clock,
    });
  }

  #createScarcityGate(): ScarcityGate {
    const loads = new ServiceLoads(this.#known.registry, this.endpoints);
    return new ScarcityGate({
      ...this.#options,
      loadOf: (serviceName, nowMs) => loads.loadOf(serviceName, nowMs),
      random: this.#options.random.fork(),
    });
  }

  #createRelay(metrics: RequestMetrics, placement: Placement): RequestRelay {
    const { clock, events, codec } = this.#options;
    const { registry } = this.#known;
    const stallDetector = new StallDetector({
      clock,
      registry,
      probe: this.#options.probe((target) => this.#healthCheckOf(target)),
      pauses: this.#known.pauses,
      notices: this.#known.notices,
    });
    return new RequestRelay({
      placement,
      endpoints: this.endpoints,
      registry,
      connections: this.#connections,
      codec,
      stallDetector,
      notices: this.#known.notices,
      pauses: this.#known.pauses,
      retries: this.#retries,
      guard: this.#guard,
      usage: new UsageCountingObserver(this.#counter),
      readTurns: this.#readTurns,
      rollouts: this.rollouts,
      scarcity: this.#scarcity,
      clock,
      events,
      metrics,
    });
  }

  #createListener(metrics: RequestMetrics): GatewayListener {
    const { clock, codec, events, host, port } = this.#options;
    const admission = new RequestAdmission({
      config: this.config,
      codec,
      quotas: this.#quotas,
      guard: this.#guard,
      memory: this.#memory,
      scarcity: this.#scarcity,
      clock,
    });
    return new GatewayListener({
      host,
      port,
      admission,
      relay: this.#relay,
      memory: this.#memory,
      readTurns: this.#readTurns,
      endpointSockets: () => this.#connections.openSockets,
      config: this.config,
      codec,
      clock,
      events,
      metrics,
    });
  }

  async #tick(): Promise<void> {
    this.#loopMonitor.check();
    const { daemons, unreachableDaemons } = this.#peers.peerStatus();
    this.#retries.setDaemons(daemons + unreachableDaemons);
    this.#quotas.refresh(this.config.table?.config.workspaces ?? [], this.#options.clock.nowMs());
    this.rollouts?.report();
    if (this.#stopped) return;
    await this.#duties?.tick();
    await this.#guard.tick();
  }

  #healthCheckOf(target: ProbeTarget): HealthCheck {
    const service = this.config.table?.config.services.find(
      ({ name }) => this.endpoints.serviceId(name) === target.serviceId,
    );
    return {
      path: service?.healthPath ?? '/health',
      instanceId: this.endpoints.instanceIdOf(target),
    };
  }

  #sampleContent(): SampleContent {
    const inFlight: Record<string, number> = {};
    for (const view of this.#known.registry.all()) {
      const own = Object.values(view.ownInFlight.requests).reduce((sum, count) => sum + count, 0);
      if (own > 0) inFlight[view.serviceId] = (inFlight[view.serviceId] ?? 0) + own;
    }
    const { peerAddress, region, failureDomain, capacityCores } = this.#options;
    return {
      ...this.#quotas.counts(),
      inFlight,
      prefillTokensPerS: this.#demand.ratesPerS(this.#options.clock.nowMs()),
      newsAddress: `${peerAddress.host}:${peerAddress.port}`,
      region,
      failureDomain,
      capacityCores,
      usage: this.#counter.windows(),
      crashes: this.#guard.recentReports(),
      rollouts: this.rollouts?.sampledReports(),
    };
  }
}
