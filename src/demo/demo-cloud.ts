import type { CloudVm, VmOffer } from '../capacity/index.js';
import type { Clock } from '../core/index.js';
import { CloudServer, EngineServer, MemoryCloud } from '../standins/index.js';
import type { DemoEndpoint } from './team-settings.js';

/** Options of {@link DemoCloud}. */
export interface DemoCloudOptions {
  readonly clock: Clock;
  readonly offers: readonly VmOffer[];
}

/**
 * Near what the router assumes of an endpoint that it has not observed; with faster engines a new one
 * would look dear beside them and get no work in the walk-through.
 */
export const demoTokenGapMs = 25;

/** A VM that the cloud took back. */
export interface ReclaimedVm {
  readonly vmId: string;
  readonly serviceId: string;
  readonly region: string;
  readonly noticeAtMs: number;
}

/** Age of the cloud's list; short, so that the walk-through need not wait long. */
const listLagMs = 500;

/**
 * The demonstration's cloud: a VM is an engine stand-in, which starts without a model and is killed
 * when its VM ends.
 *
 * @example
 * ```ts
 * const cloud = new DemoCloud({ clock, offers });
 * cloud.register(engine, 'tejidos', endpoint);
 * cloud.reclaim(engine.vmId, 2_000);
 * ```
 */
export class DemoCloud {
  readonly vms: MemoryCloud;
  /** Engines by VM id, ended ones included. */
  readonly engines = new Map<string, EngineServer>();
  readonly #server: CloudServer;
  readonly #clock: Clock;
  #baseUrl = '';
  /** The VM reclaimed last; undefined before the first. */
  reclaimed: ReclaimedVm | undefined;

  constructor({ clock, offers }: DemoCloudOptions) {
    this.#clock = clock;
    this.vms = new MemoryCloud({
      clock,
      offers,
      listLagMs,
      onStart: (vm) => this.#start(vm),
      onEnd: ({ vmId }) => void this.engines.get(vmId)?.kill(),
    });
    this.#server = new CloudServer(this.vms);
  }

  get baseUrl(): string {
    return this.#baseUrl;
  }

  async listen(): Promise<void> {
    this.#baseUrl = await this.#server.listen();
  }

  /** Makes a configured engine's VM known to the cloud. */
  register(engine: EngineServer, team: string, endpoint: DemoEndpoint): void {
    this.engines.set(engine.vmId, engine);
    this.vms.adopt({
      vmId: engine.vmId,
      token: `registered/${engine.vmId}`,
      serviceId: `${team}/${endpoint.service}`,
      region: endpoint.region,
      failureDomain: endpoint.failureDomain,
      vmClass: 'standard',
      reclaimable: endpoint.reclaimable,
      priceUsdPerHour: endpoint.priceUsdPerHour,
      startedAtMs: this.#clock.nowMs(),
      leavingAtMs: undefined,
      baseUrls: [engine.baseUrl],
    });
  }

  /** Announces the reclaim of a VM and kills it after `noticeMs`. */
  reclaim(vmId: string, noticeMs: number): void {
    const vm = this.vms.running().find((running) => running.vmId === vmId);
    if (!vm) return;
    const { serviceId, region } = vm;
    this.reclaimed = { vmId, serviceId, region, noticeAtMs: this.#clock.nowMs() };
    this.vms.reclaim(vmId, noticeMs);
  }

  async close(): Promise<void> {
    const running = this.vms.running().map(({ vmId }) => this.engines.get(vmId)?.kill());
    await Promise.all([...running, this.#server.close()]);
  }

  async #start({ vmId }: CloudVm): Promise<readonly string[]> {
    const engine = new EngineServer({
      name: vmId,
      vmId,
      models: [],
      checksFence: true,
      tokenGapMs: demoTokenGapMs,
    });
    await engine.listen();
    this.engines.set(vmId, engine);
    return [engine.baseUrl];
  }
}
