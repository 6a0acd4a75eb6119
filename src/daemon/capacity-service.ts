import type { CapacityStatus } from '../admin-api/index.js';
import {
  CloudWatcher,
  ControllerStore,
  SourceFreshness,
  DataSource,
  LogLeaseManager,
  WeightLoadScheduler,
  isTopRanked,
  type CloudApi,
  type CloudVmList,
  type EndpointOrderClient,
  type WeightStore,
} from '../capacity/index.js';
import type { Clock, Random } from '../core/index.js';
import type { EndpointRegistry, LeavingSet } from '../fleet/index.js';
import type { EntryWriter } from '../log/index.js';
import type { Membership } from '../membership/index.js';
import { ServiceKind, type Deployment } from '../settings/index.js';
import { ControlFold, type StreamReplica } from '../state/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { ServiceController } from './service-controller.js';

/** The control stream of a region while this daemon follows it. */
export interface ControlStream {
  readonly fold: ControlFold;
  readonly writer: EntryWriter;
  readonly replica: Pick<StreamReplica, 'isReady'>;
  close(): Promise<void>;
}

/** Options of {@link CapacityService}. */
export interface CapacityServiceOptions {
  readonly daemon: string;
  /** Region of this daemon and of the VMs that it controls. */
  readonly region: string;
  /** Distinguishes this run of the daemon from earlier ones. */
  readonly incarnation: number;
  readonly cloud: CloudApi;
  readonly weightStore: WeightStore | undefined;
  readonly weightBytesPerS: number;
  readonly orders: EndpointOrderClient;
  readonly openStream: (fold: ControlFold) => ControlStream;
  readonly membership: Membership;
  readonly registry: EndpointRegistry;
  readonly leaving: LeavingSet;
  readonly deployment: () => Deployment;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  /** Called with each VM list that this daemon reads. */
  readonly onList: (list: CloudVmList) => void;
}

/** One lease holder and two stand-bys that already follow the control stream. */
const candidatesPerRegion = 3;
const tickPeriodMs = 1_000;
/** Former candidates keep the stream open, so that a brief change of members costs no re-read. */
const closeGraceMs = 60_000;

interface ControlSession {
  readonly stream: ControlStream;
  readonly leases: LogLeaseManager;
  readonly store: ControllerStore;
  readonly serviceControllers: Map<string, ServiceController>;
}

/**
 * Capacity control of the daemon's region: reads the cloud's notices and list of VMs, and runs the
 * controllers of all engine services while it is one of the region's candidates for their leases.
 *
 * @example
 * ```ts
 * const capacity = new CapacityService(options);
 * capacity.start();
 * ```
 */
export class CapacityService {
  readonly #options: CapacityServiceOptions;
  readonly #freshness: SourceFreshness;
  readonly #watcher: CloudWatcher;
  readonly #weightLoads: WeightLoadScheduler | undefined;
  #session: ControlSession | undefined;
  #sessionCount = 0;
  #lastCandidateAtMs = 0;
  #stopTicking: (() => void) | undefined;

  constructor(options: CapacityServiceOptions) {
    this.#options = options;
    const { clock, cloud, region, leaving, membership, events, weightStore } = options;
    this.#freshness = new SourceFreshness(clock);
    this.#weightLoads =
      weightStore &&
      new WeightLoadScheduler({
        clock,
        store: weightStore,
        rateBytesPerS: options.weightBytesPerS,
        events,
      });
    this.#watcher = new CloudWatcher({
      cloud,
      region,
      leaving,
      membership,
      clock,
      freshness: this.#freshness,
      events,
      shouldAlwaysPoll: () => this.#isLeaseHolder,
      onList: (list) => {
        options.onList(list);
        options.registry.observeVmStarts(list.vms);
      },
    });
  }

  start(): void {
    this.#watcher.start();
    this.#stopTicking = this.#options.clock.every(tickPeriodMs, () => void this.#tick());
  }

  /** Stops all control rounds; leases that are held expire. */
  async stop(): Promise<void> {
    this.#stopTicking?.();
    this.#watcher.stop();
    const session = this.#session;
    this.#session = undefined;
    await session?.stream.close();
  }

  /** Controllers whose lease this daemon holds, and the data sources that are stale. */
  status(): CapacityStatus {
    const controllers = [...(this.#session?.serviceControllers.values() ?? [])].flatMap(
      (controller) => controller.status() ?? [],
    );
    const isPolling = this.#watcher.isPoller();
    const stale = this.#freshness.stale().filter((source) => {
      // A daemon that neither polls nor holds a lease does not read the source, by design.
      return source === DataSource.Log ? controllers.length > 0 : isPolling;
    });
    return { followsControl: this.#session !== undefined, controllers, staleSources: stale };
  }

  get #isLeaseHolder(): boolean {
    return [...(this.#session?.serviceControllers.values() ?? [])].some(
      ({ isLeaseHolder }) => isLeaseHolder,
    );
  }

  get #isCandidate(): boolean {
    const { membership, region } = this.#options;
    return isTopRanked(membership, region, 'control', candidatesPerRegion);
  }

  async #tick(): Promise<void> {
    const nowMs = this.#options.clock.nowMs();
    if (this.#isCandidate) this.#lastCandidateAtMs = nowMs;
    else if (!this.#isLeaseHolder && nowMs - this.#lastCandidateAtMs >= closeGraceMs) {
      const session = this.#session;
      this.#session = undefined;
      await session?.stream.close();
      return;
    }
    const session = (this.#session ??= this.#openSession());
    // Before the replica is ready, a held lease looks free and pending creates are unknown.
    if (!session.stream.replica.isReady) return;
    this.#syncServiceControllers(session);
    await Promise.all(
      [...session.serviceControllers.values()].map((controller) => controller.tick()),
    );
  }

  #openSession(): ControlSession {
    const { daemon, incarnation, clock, openStream, events, region } = this.#options;
    const stream = openStream(new ControlFold());
    this.#sessionCount += 1;
    events.info(EventId.ControlFollowed, 'following the control stream', { region });
    return {
      stream,
      leases: new LogLeaseManager({
        writer: stream.writer,
        fold: stream.fold.leases,
        holder: daemon,
        // Each session has its own incarnation: a renewed fence would let slots be used twice.
        incarnation: incarnation + this.#sessionCount,
        clock,
      }),
      store: new ControllerStore({ writer: stream.writer, fold: stream.fold, clock }),
      serviceControllers: new Map(),
    };
  }

  /** Creates one controller for each engine service in the settings, and removes others. */
  #syncServiceControllers({ leases, store, serviceControllers }: ControlSession): void {
    const { deployment, random } = this.#options;
    const services = deployment().services;
    for (const serviceId of serviceControllers.keys()) {
      if (services.get(serviceId)?.values.kind !== ServiceKind.Engine)
        serviceControllers.delete(serviceId);
    }
    for (const [serviceId, { values }] of services) {
      if (values.kind !== ServiceKind.Engine || serviceControllers.has(serviceId)) continue;
      const controller = new ServiceController({
        ...this.#options,
        serviceId,
        random: random.fork(),
        weightLoads: this.#weightLoads,
        leases,
        store,
        isCandidate: () => this.#isCandidate,
        list: () => this.#watcher.latestList,
        freshness: this.#freshness,
      });
      serviceControllers.set(serviceId, controller);
    }
  }
}
