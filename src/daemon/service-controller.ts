import type { CapacityStatus } from '../admin-api/index.js';
import {
  FleetController,
  ModelLoadController,
  VersionRollout,
  type CloudApi,
  type CloudVmList,
  type ControllerStore,
  type EndpointOrderClient,
  type SourceFreshness,
  type LeaseManager,
  type WeightLoadScheduler,
} from '../capacity/index.js';
import type { Clock, Random } from '../core/index.js';
import type { EndpointRegistry, EndpointView, LeavingSet } from '../fleet/index.js';
import type { Deployment, ServiceSettings } from '../settings/index.js';
import type { EventLog } from '../telemetry/index.js';
import { TargetVmEstimator } from './target-vm-estimator.js';

/** Options of {@link ServiceController}. */
export interface ServiceControllerOptions {
  readonly serviceId: string;
  readonly region: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly cloud: CloudApi;
  readonly orders: EndpointOrderClient;
  /** Undefined when no weight store is configured. */
  readonly weightLoads: WeightLoadScheduler | undefined;
  readonly leases: LeaseManager;
  readonly store: ControllerStore;
  readonly isCandidate: () => boolean;
  readonly list: () => CloudVmList | undefined;
  readonly freshness: SourceFreshness;
  readonly registry: EndpointRegistry;
  readonly leaving: LeavingSet;
  readonly deployment: () => Deployment;
}

type ControllerStatus = CapacityStatus['controllers'][number];

/** Assumed duration of a load of tens of gigabytes at the rate of the weight store. */
const weightLoadMs = 60_000;

/** Controls the VMs, models and version of one engine service in one region. */
export class ServiceController {
  readonly #options: ServiceControllerOptions;
  readonly #controller: FleetController;
  readonly #rollout: VersionRollout;
  readonly #models: ModelLoadController;

  constructor(options: ServiceControllerOptions) {
    this.#options = options;
    const { serviceId, region, clock, leases, store, orders, registry, events } = options;
    const targetEstimator = new TargetVmEstimator(clock);
    const leaseName = `control/${serviceId}/${region}`;
    this.#controller = new FleetController({
      ...options,
      random: options.random.fork(),
      intents: store,
      settings: () => this.#settings,
      targetVms: () => targetEstimator.update(this.#views()),
      weightLoadMs: () => weightLoadMs,
      onLeaseAcquired: () => {
        this.#rollout.restore(store.rollout(leaseName));
      },
    });
    this.#rollout = new VersionRollout({
      serviceId,
      region,
      leaseName,
      clock,
      leases,
      orders,
      registry,
      events,
      desiredVersion: () => this.#settings?.version,
      beforeLoad: (view, version) => this.#loadVersion(view, version),
      saveState: (state, fence) => store.recordRollout(leaseName, state, fence),
    });
    this.#models = new ModelLoadController({
      leaseName,
      leases,
      orders,
      events,
      views: () => this.#views(),
      models: () => this.#settings?.models ?? [],
      // New endpoints must not load a failed version either.
      version: () => this.#rollout.state?.version,
      mayOrder: (view) => this.#rollout.mayOrder(view),
      beforeLoad: (view, model, version) => this.#load(view, model, version),
    });
  }

  get isLeaseHolder(): boolean {
    return this.#controller.isLeaseHolder;
  }

  /** Runs one control round. */
  async tick(): Promise<void> {
    await this.#controller.tick();
    if (!this.isLeaseHolder) return;
    // Orders and weight loads can take long and must not delay the control of VMs.
    void this.#rollOut();
    this.#models.tick();
  }

  /** Status for `oriolectl status`; undefined while another daemon holds the lease. */
  status(): ControllerStatus | undefined {
    const { serviceId, region, leases } = this.#options;
    const fence = leases.fence(this.#controller.leaseName);
    if (!this.isLeaseHolder || fence === undefined) return undefined;
    const state = this.#rollout.state;
    const views = this.#views();
    return {
      serviceId,
      region,
      fence,
      refusedStarts: this.#controller.refusedStarts.map((refusedStart) => ({ ...refusedStart })),
      rollout: state
        ? {
            phase: state.phase,
            version: state.version,
            failedVersion: state.failedVersion ?? null,
            reason: state.reason,
            endpointsOnVersion: views.filter(({ version }) => version === state.version).length,
            endpoints: views.length,
          }
        : null,
    };
  }

  get #settings(): ServiceSettings | undefined {
    return this.#options.deployment().services.get(this.#options.serviceId)?.values;
  }

  #views(): readonly EndpointView[] {
    const { registry, serviceId, region } = this.#options;
    return registry.views(serviceId).filter((view) => view.region === region);
  }

  async #rollOut(): Promise<void> {
    try {
      await this.#rollout.tick();
    } catch {
      // The state could not be stored for the next holder, so no order was sent. The controller's
      // own round reports that the log is unavailable.
    }
  }

  async #loadVersion(view: EndpointView, version: string): Promise<void> {
    for (const model of this.#settings?.models ?? []) await this.#load(view, model, version);
  }

  async #load(view: EndpointView, model: string, version: string): Promise<void> {
    await this.#options.weightLoads?.load({
      token: `${view.id}/${model}/${version}`,
      endpointId: view.id,
      failureDomain: view.failureDomain,
      model,
      version,
    });
  }
}
