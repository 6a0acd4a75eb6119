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
import { ServiceControl } from './service-control.js';

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
  /** Region of this daemon, whose VMs it helps to control. */
  readonly region: string;
  /** Tells this run of the daemon from earlier ones. */
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
  /** Called with each list that this daemon reads. */
  readonly onList: (list: CloudVmList) => void;
}

/** One holder and two that can replace it at once; each candidate follows the control stream. */
const candidatesPerRegion = 3;
const tickMs = 1_000;
/** A daemon that membership doubts for a moment keeps the stream that it has read. */
const closeAfterMs = 60_000;

interface OpenControl {
  readonly stream: ControlStream;
  readonly leases: LogLeaseManager;
  readonly store: ControllerStore;
  readonly controls: Map<string, ServiceControl>;
}

/**
 * Capacity control of the daemon's region: reads the cloud's notices and list, and takes part in
 * the controllers of all engine services while it is one of the region's candidates.
 *
 * @example
 * ```ts
 * const capacity = new CapacityService(options);
 * capacity.start();
 * ```
 */
export class CapacityService {
  readonly #options: CapacityServiceOptions;
  readonly #age: SourceFreshness;
  readonly #watcher: CloudWatcher;
  readonly #loads: WeightLoadScheduler | undefined;
  #open: OpenControl | undefined;
  #opened = 0;
  #lastCandidateAtMs = 0;
  #stopTicking: (() => void) | undefined;

  constructor(options: CapacityServiceOptions) {
    this.#options = options;
    const { clock, cloud, region, leaving, membership, events, weightStore } = options;
    this.#age = new SourceFreshness(clock);
    this.#loads =
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
      freshness: this.#age,
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
    this.#stopTicking = this.#options.clock.every(tickMs, () => void this.#tick());
  }

  /** Ends all rounds; leases run out by themselves. */
  async stop(): Promise<void> {
    this.#stopTicking?.();
    this.#watcher.stop();
    const open = this.#open;
    this.#open = undefined;
    await open?.stream.close();
  }

  /** Controllers held here and what they cannot rely on. */
  status(): CapacityStatus {
    const controllers = [...(this.#open?.controls.values() ?? [])].flatMap(
      (control) => control.status() ?? [],
    );
    const isPolling = this.#watcher.isPoller();
    const stale = this.#age.stale().filter((source) => {
      // A daemon that neither polls nor holds a lease sees nothing by design.
      return source === DataSource.Log ? controllers.length > 0 : isPolling;
    });
    return { followsControl: this.#open !== undefined, controllers, staleSources: stale };
  }

  get #isLeaseHolder(): boolean {
    return [...(this.#open?.controls.values() ?? [])].some(({ isLeaseHolder }) => isLeaseHolder);
  }

  get #isCandidate(): boolean {
    const { membership, region } = this.#options;
    return isTopRanked(membership, region, 'control', candidatesPerRegion);
  }

  async #tick(): Promise<void> {
    const nowMs = this.#options.clock.nowMs();
    if (this.#isCandidate) this.#lastCandidateAtMs = nowMs;
    else if (!this.#isLeaseHolder && nowMs - this.#lastCandidateAtMs >= closeAfterMs) {
      const open = this.#open;
      this.#open = undefined;
      await open?.stream.close();
      return;
    }
    const open = (this.#open ??= this.#openControl());
    // Before the stream is read the lease seems free and the creates under way are unknown.
    if (!open.stream.replica.isReady) return;
    this.#placeControls(open);
    await Promise.all([...open.controls.values()].map((control) => control.tick()));
  }

  #openControl(): OpenControl {
    const { daemon, incarnation, clock, openStream, events, region } = this.#options;
    const stream = openStream(new ControlFold());
    this.#opened += 1;
    events.info(EventId.ControlFollowed, 'control stream is followed', { region });
    return {
      stream,
      leases: new LogLeaseManager({
        writer: stream.writer,
        fold: stream.fold.leases,
        holder: daemon,
        // Each opening counts as a run of its own: a renewed fence would let slots be used twice.
        incarnation: incarnation + this.#opened,
        clock,
      }),
      store: new ControllerStore({ writer: stream.writer, fold: stream.fold, clock }),
      controls: new Map(),
    };
  }

  /** One control for each engine service in the settings. */
  #placeControls({ leases, store, controls }: OpenControl): void {
    const { deployment, random } = this.#options;
    const services = deployment().services;
    for (const serviceId of controls.keys()) {
      if (services.get(serviceId)?.values.kind !== ServiceKind.Engine) controls.delete(serviceId);
    }
    for (const [serviceId, { values }] of services) {
      if (values.kind !== ServiceKind.Engine || controls.has(serviceId)) continue;
      const control = new ServiceControl({
        ...this.#options,
        serviceId,
        random: random.fork(),
        loads: this.#loads,
        leases,
        store,
        isCandidate: () => this.#isCandidate,
        list: () => this.#watcher.latestList,
        freshness: this.#age,
      });
      controls.set(serviceId, control);
    }
  }
}
