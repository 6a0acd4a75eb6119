import { AdminServer, registerAdminQueries } from '../admin/index.js';
import {
  AdmissionController,
  Backoff,
  HedgePolicy,
  LengthPredictor,
  RetryBudget,
  RetryPolicy,
} from '../admission/index.js';
import { HttpCloudApi, HttpEndpointOrderClient, HttpWeightStore } from '../capacity/index.js';
import type { Clock, IdSource, Random } from '../core/index.js';
import { PrefixCacheIndex } from '../fleet/prefix-cache-index.js';
import {
  EndpointNotices,
  EndpointPauses,
  EndpointRegistry,
  EndpointState,
  HttpEndpointProbe,
  DrainRecorder,
  LeavingGossip,
  LeavingSet,
  StallDetector,
} from '../fleet/index.js';
import { SpeedEstimator } from '../fleet/speed-estimator.js';
import { KvTransferQueue } from '../jobs/index.js';
import { RpcPeerTransport, SwimProtocol } from '../membership/index.js';
import { BurnRecorder, objectivesOf } from '../report/index.js';
import {
  defaultPrices,
  ExplanationStore,
  PauseFilter,
  Router,
  standardFilters,
  standardScorers,
} from '../routing/index.js';
import type { PeerCaller, RpcClient, RpcServer } from '../rpc/index.js';
import { KeyVerifier, type TlsContext } from '../security/index.js';
import type { Deployment } from '../settings/index.js';
import { ConfigFold, type RawEntry } from '../state/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import { CallsService } from './calls-service.js';
import { CapacityService } from './capacity-service.js';
import { createdEndpoints, type CreatedVm } from './created-endpoints.js';
import { CreatedVms } from './created-vms.js';
import { DaemonAdminBackend } from './daemon-admin-backend.js';
import type { DaemonSettings } from './daemon-settings.js';
import { ShareUpdater } from './share-updater.js';
import { EndpointPoller } from './endpoint-poller.js';
import { EnginePool } from './engine-pool.js';
import { EstimatedSpeeds } from '../fleet/estimated-speeds.js';
import { HttpKvMigrator, RoutedEndpointChooser } from './daemon-job-handler.js';
import { JobsService, kvBytesPerS } from './jobs-service.js';
import { registerKnownOffset } from './known-offset.js';
import { RateLimitedPeerCaller } from './rate-limited-peer-caller.js';
import { LogAccess, type OpenStream } from './log-access.js';
import { PolicyRetryScheduler } from './policy-retry-scheduler.js';
import { RegionLinks } from './region-links.js';
import { RoutedSelector } from './routed-selector.js';
import { DaemonServiceCallHandler } from './daemon-service-call-handler.js';

/** Options of {@link DaemonComponents}. */
export interface DaemonComponentsOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: IdSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly tls: TlsContext | undefined;
  readonly rpcClient: RpcClient;
  readonly rpcServer: RpcServer;
  readonly rpcUrl: string;
  readonly adminUrl: string;
  /** Highest offset of the configuration stream reported by a peer; 0 when none answered. */
  readonly minConfigOffset: number;
  readonly state: () => { readonly isReady: boolean; readonly isStopping: boolean };
  readonly inFlight: () => number;
}

/** Leaving entries are retained for hours, so a scan once a minute is enough. */
const expirePeriodMs = 60_000;

/**
 * Creates and connects the components of a daemon, without starting them. Each component can be used
 * alone; only this class depends on all of them.
 *
 * @internal
 */
export class DaemonComponents {
  readonly startedAtMs: number;
  readonly log: LogAccess;
  readonly config: OpenStream<ConfigFold>;
  readonly keys: KeyVerifier;
  readonly leaving = new LeavingSet();
  readonly speeds = new SpeedEstimator();
  readonly caches = new PrefixCacheIndex();
  readonly explanations = new ExplanationStore();
  readonly lengths = new LengthPredictor();
  readonly hedges = new HedgePolicy();
  readonly retryBudget = new RetryBudget();
  readonly registry: EndpointRegistry;
  readonly pauses: EndpointPauses;
  readonly notices: EndpointNotices;
  readonly links: RegionLinks;
  readonly engines: EnginePool;
  readonly admission: AdmissionController;
  readonly retries: PolicyRetryScheduler;
  readonly selector: RoutedSelector;
  readonly burn: BurnRecorder;
  readonly membership: SwimProtocol;
  readonly gossip: LeavingGossip;
  readonly poller: EndpointPoller;
  readonly shareUpdater: ShareUpdater;
  readonly serviceCalls: DaemonServiceCallHandler;
  readonly calls: CallsService;
  readonly jobs: JobsService;
  readonly createdVms: CreatedVms;
  /** Undefined when the settings name no cloud API. */
  readonly capacity: CapacityService | undefined;
  readonly admin: AdminServer;
  readonly #options: DaemonComponentsOptions;
  readonly #peers: PeerCaller;
  #createdVmList: readonly CreatedVm[] = [];
  #closePlatform: () => Promise<unknown> = () => Promise.resolve();
  #stopExpiring: (() => void) | undefined;

  constructor(options: DaemonComponentsOptions) {
    this.#options = options;
    const { settings, clock, random, newId, events } = options;
    const deployment = (): Deployment => this.deployment;
    this.startedAtMs = clock.nowMs();
    this.log = new LogAccess({ settings, clock, random: random.fork(), newId, events });
    this.config = this.log.open(
      'config',
      new ConfigFold({
        deployment: settings.daemon.deployment,
        rootPublicKey: settings.trust.root_public_key,
      }),
      options.minConfigOffset,
      true,
    );
    this.keys = new KeyVerifier({ deployment });
    this.registry = new EndpointRegistry({
      clock,
      leaving: this.leaving,
      speeds: new EstimatedSpeeds(this.speeds),
      events,
    });
    const { registry } = this;
    this.pauses = new EndpointPauses(options);
    this.notices = new EndpointNotices({ registry, pauses: this.pauses, clock, events });
    this.links = new RegionLinks({
      clock,
      membership: () => this.membership,
      bitsPerS: settings.platform.link_bits_per_s,
    });
    this.#peers = new RateLimitedPeerCaller({
      caller: options.rpcClient,
      links: this.links,
      regionOf: (peerUrl) => this.#regionOf(peerUrl),
      clock,
    });
    this.engines = new EnginePool({
      links: this.links,
      clock,
      idleTimeoutMs: (serviceId) => this.deployment.routing(serviceId).silence_ms,
      notices: this.notices,
    });
    this.admission = new AdmissionController({ clock, random: random.fork(), log: events });
    this.retries = new PolicyRetryScheduler({
      policy: new RetryPolicy(this.retryBudget, new Backoff({ random: random.fork() })),
      deployment,
      clock,
    });
    this.selector = this.#createSelector();
    this.burn = new BurnRecorder({
      clock,
      objectives: (serviceId) => objectivesOf(this.deployment, serviceId),
    });
    this.membership = this.#createMembership();
    new DrainRecorder({
      leaving: this.leaving,
      fold: this.config.fold.drains,
      writer: this.config.writer,
      clock,
      random: random.fork(),
      events,
    });
    this.gossip = new LeavingGossip({
      leaving: this.leaving,
      membership: this.membership,
      caller: this.#peers,
      methods: options.rpcServer,
      clock,
      random: random.fork(),
      events,
    });
    this.poller = new EndpointPoller({
      daemon: settings.daemon.name,
      registry: this.registry,
      pauses: this.pauses,
      caches: this.caches,
      admission: this.admission,
      engines: this.engines,
      deployment,
      clock,
      random: random.fork(),
    });
    this.shareUpdater = new ShareUpdater({
      admission: this.admission,
      membership: this.membership,
      budget: this.log.budget,
      clock,
    });
    this.serviceCalls = new DaemonServiceCallHandler({
      selector: this.selector,
      notices: this.notices,
      retries: this.retries,
      clock,
      calls: () => this.calls,
      deployment,
    });
    this.calls = this.#createCalls();
    this.jobs = this.#createJobs();
    this.createdVms = new CreatedVms({
      membership: this.membership,
      caller: this.#peers,
      methods: options.rpcServer,
      clock,
      random: random.fork(),
      onChange: (vms) => {
        this.#createdVmList = vms;
        this.applyDeployment();
      },
    });
    this.capacity = this.#createCapacity();
    this.admin = this.#createAdmin();
    this.#subscribe();
  }

  /** Settings in force on this daemon. */
  get deployment(): Deployment {
    return this.config.fold.deployment;
  }

  /** Applies the settings in force to the components that hold state derived from them. */
  applyDeployment(): void {
    const { deployment } = this.#options.settings.daemon;
    this.registry.applyDeployment(
      this.deployment,
      createdEndpoints(this.#createdVmList, this.deployment, deployment),
    );
    // The registry accepts the start times of the list only for endpoints that it already has.
    this.registry.observeVmStarts(
      this.#createdVmList.map(({ vmId, startedAtMs }) => ({
        vmId,
        startedAtMs,
        leavingAtMs: undefined,
      })),
    );
    for (const view of this.registry.all()) this.speeds.add(view.id, view.serviceId);
  }

  /** Starts capacity control and the periodic expiry of leaving entries. */
  startCapacity(): void {
    const { clock } = this.#options;
    this.#stopExpiring = clock.every(expirePeriodMs, () => {
      this.leaving.expire(clock.nowMs(), (subject) => this.registry.isConfigured(subject));
    });
    if (!this.capacity) return;
    this.capacity.start();
    this.createdVms.start();
  }

  /** Releases the sockets and timers of the components that are still running. */
  async close(): Promise<void> {
    this.#stopExpiring?.();
    this.createdVms.stop();
    await this.capacity?.stop();
    await this.#closePlatform();
    this.shareUpdater.stop();
    this.poller.stop();
    this.selector.stop();
    this.membership.stop();
    await Promise.all([this.engines.close(), this.serviceCalls.close(), this.admin.close()]);
    await this.config.close();
    await this.log.close();
  }

  /** Connects events of one component to actions of others. */
  #subscribe(): void {
    const { clock } = this.#options;
    const apply = (): void => {
      this.applyDeployment();
    };
    this.config.replica.onApplied((position, entry) => {
      this.#logVerdict(entry);
      // During the replay of the history nothing is applied; the start applies its result once.
      if (this.config.replica.isReady) apply();
    });
    this.config.replica.onRestored(apply);
    registerKnownOffset(this.#options.rpcServer, this.config.replica);
    this.registry.onRetire((id) => {
      this.speeds.remove(id);
      this.caches.remove(id);
      this.engines.remove(id);
      this.pauses.remove(id);
    });
    // Probes suspect endpoints on a new connection, to distinguish slow from unreachable ones.
    const { registry, pauses, notices } = this;
    new StallDetector({ clock, registry, pauses, notices, probe: new HttpEndpointProbe(clock) });
    this.leaving.onChange(() => {
      for (const view of this.registry.all()) {
        if (view.state !== EndpointState.Leaving) continue;
        this.jobs.reclaim({
          endpointIds: [view.id],
          deadlineAtMs: view.leavingAtMs ?? clock.nowMs(),
        });
      }
    });
  }

  #regionOf(rpcUrl: string): string | undefined {
    return this.membership.members().find((member) => member.rpcUrl === rpcUrl)?.region;
  }

  #logVerdict(entry: RawEntry): void {
    const changeId = entry.changeId;
    const verdict = typeof changeId === 'string' ? this.config.fold.verdict(changeId) : undefined;
    if (!verdict || !this.config.replica.isReady) return;
    const { isAccepted, paths, message, revision, keyId } = verdict;
    const fields = { changeId: verdict.changeId, keyId, revision, paths: paths.join(', ') };
    if (isAccepted) {
      this.#options.events.info(EventId.SettingsAccepted, 'settings change is in force', fields);
    } else {
      this.#options.events.warn(EventId.SettingsRejected, message, fields);
    }
  }

  #createSelector(): RoutedSelector {
    const { settings, clock, random } = this.#options;
    const router = new Router({
      daemonId: settings.daemon.name,
      region: settings.daemon.region,
      random: random.fork(),
      caches: this.caches,
      speeds: this.speeds,
      explanations: this.explanations,
      filters: [...standardFilters(settings.daemon.region), new PauseFilter(this.pauses)],
      scorers: standardScorers(settings.daemon.region, {
        ...defaultPrices,
        usdPerLinkGb: settings.platform.link_usd_per_gb,
      }),
    });
    return new RoutedSelector({
      router,
      registry: this.registry,
      pauses: this.pauses,
      leaving: this.leaving,
      caches: this.caches,
      speeds: this.speeds,
      engines: this.engines,
      isCurrent: () => this.gossip.isCurrent,
      deployment: () => this.deployment,
      clock,
      links: this.links,
    });
  }

  #createMembership(): SwimProtocol {
    const { settings, clock, random, events, rpcServer, rpcUrl, adminUrl } = this.#options;
    const { name, region, failure_domain, seeds } = settings.daemon;
    const scheme = this.#options.tls ? 'https' : 'http';
    const seedUrls = seeds.map((seed) => `${scheme}://${seed}`);
    return new SwimProtocol({
      self: { id: name, rpcUrl, adminUrl, region, failureDomain: failure_domain },
      transport: new RpcPeerTransport(this.#peers, rpcServer),
      clock,
      random: random.fork(),
      seeds: () => seedUrls,
      events,
    });
  }

  #createCalls(): CallsService {
    const { settings, clock, random, newId, events, rpcServer } = this.#options;
    return new CallsService({
      daemon: settings.daemon.name,
      shards: settings.log.claim_shards,
      log: this.log,
      membership: this.membership,
      peers: this.#peers,
      methods: rpcServer,
      clock,
      random: random.fork(),
      newId,
      events,
      backEndFor: (call) => this.serviceCalls.backEndFor(call),
      queryStatus: (call) => this.serviceCalls.queryStatus(call),
    });
  }

  #createJobs(): JobsService {
    const { settings, clock, random, newId, events, rpcServer } = this.#options;
    const kvTransferQueue = new KvTransferQueue({ clock, bytesPerS: () => kvBytesPerS });
    return new JobsService({
      daemon: settings.daemon.name,
      incarnation: Math.floor(this.startedAtMs),
      shards: settings.log.job_shards,
      log: this.log,
      membership: this.membership,
      peers: this.#peers,
      methods: rpcServer,
      clock,
      random: random.fork(),
      newId,
      events,
      chooser: new RoutedEndpointChooser(this.selector),
      kvMigrator: new HttpKvMigrator(
        clock,
        (id) => this.registry.view(id)?.baseUrl,
        kvTransferQueue,
      ),
      kvTransferQueue,
      onDone: ({ workspace, service, acceptedAtMs }) => {
        this.burn.series(workspace, service).recordCompletion(clock.nowMs() - acceptedAtMs);
      },
      policyFor: ({ service }) => {
        const values = this.deployment.services.get(service)?.values;
        return {
          checkpointTokens: values?.checkpoint_tokens ?? 64,
          checkpointMs: values?.checkpoint_ms ?? 2_000,
        };
      },
    });
  }

  #createCapacity(): CapacityService | undefined {
    const { settings, clock, random, events } = this.#options;
    const { cloud_url, weight_store_url, weight_store_bytes_per_s } = settings.platform;
    if (cloud_url === '') return undefined;
    const { name, region } = settings.daemon;
    const cloud = new HttpCloudApi({ baseUrl: cloud_url });
    const orders = new HttpEndpointOrderClient();
    const weightStore =
      weight_store_url === ''
        ? undefined
        : new HttpWeightStore({ baseUrl: weight_store_url, clock });
    this.#closePlatform = () =>
      Promise.all([cloud.close(), orders.close(), weightStore?.close() ?? Promise.resolve()]);
    return new CapacityService({
      daemon: name,
      region,
      incarnation: Math.floor(this.startedAtMs),
      cloud,
      weightStore,
      weightBytesPerS: weight_store_bytes_per_s,
      orders,
      openStream: (fold) => this.log.open(`control.${region}`, fold),
      membership: this.membership,
      registry: this.registry,
      leaving: this.leaving,
      deployment: () => this.deployment,
      clock,
      random: random.fork(),
      events,
      onList: (list) => {
        this.createdVms.observeList(region, list);
      },
    });
  }

  #createAdmin(): AdminServer {
    const { settings, clock, events, metrics, tls, rpcServer, state, inFlight } = this.#options;
    const { name, deployment, region, failure_domain } = settings.daemon;
    const backend = new DaemonAdminBackend({
      daemon: name,
      deployment,
      region,
      failureDomain: failure_domain,
      startedAtMs: this.startedAtMs,
      clock,
      config: this.config.fold,
      configReplica: this.config.replica,
      log: this.log,
      membership: this.membership,
      registry: this.registry,
      selector: this.selector,
      admission: this.admission,
      explanations: this.explanations,
      burn: this.burn,
      jobs: this.jobs,
      calls: this.calls,
      capacity: () => this.capacity?.status(),
      inFlight,
      state,
    });
    registerAdminQueries(rpcServer, backend);
    return new AdminServer({
      backend,
      keys: this.keys,
      peers: this.#peers,
      clock,
      log: events,
      metrics,
      tls,
    });
  }
}
