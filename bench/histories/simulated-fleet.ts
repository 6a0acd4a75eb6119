import { Backoff, HedgePolicy, RetryBudget, RetryPolicy } from '../../src/admission/index.js';
import { WorkClass, type Random } from '../../src/core/index.js';
import { EstimatedSpeeds } from '../../src/fleet/estimated-speeds.js';
import { PolicyRetryScheduler } from '../../src/daemon/policy-retry-scheduler.js';
import { RegionLinks } from '../../src/daemon/region-links.js';
import { RoutedSelector } from '../../src/daemon/routed-selector.js';
import {
  EndpointPauses,
  EndpointRegistry,
  DrainRecorder,
  LeavingGossip,
  LeavingSet,
  LeavingSource,
  vmLeavingEntry,
} from '../../src/fleet/index.js';
import { PrefixCacheIndex } from '../../src/fleet/prefix-cache-index.js';
import { SpeedEstimator } from '../../src/fleet/speed-estimator.js';
import { RpcPeerTransport, SwimProtocol } from '../../src/membership/index.js';
import { GenerationRelay, type ChatResponder } from '../../src/pipeline/index.js';
import { Router } from '../../src/routing/index.js';
import type { Deployment } from '../../src/settings/index.js';
import { NullEventLog, NullMetrics } from '../../src/telemetry/index.js';
import type { ProcessPeers } from './process-peers.js';
import type { SimulatedProcess } from './process.js';
import type { EnginePlace, SimulatedEndpoints } from './simulated-endpoints.js';
import type { SimulatedSettings } from './simulated-settings.js';

const serviceId = 'tejidos/chat';
const workspaceId = 'tejidos/quotes';
const pollMs = 1_000;
const listMs = 5_000;
const maxListLagMs = 30_000;

/** Options of {@link SimulatedFleet}. */
export interface SimulatedFleetOptions {
  readonly process: SimulatedProcess;
  readonly random: Random;
  readonly daemon: string;
  /** Name of this run of the daemon. */
  readonly run: string;
  readonly region: string;
  readonly peers: ProcessPeers;
  readonly seedUrls: readonly string[];
  readonly endpoints: SimulatedEndpoints;
  readonly settings: SimulatedSettings;
}

/** The parts of a daemon that follow endpoints and relay chats to them. */
export class SimulatedFleet {
  readonly membership: SwimProtocol;
  readonly #options: SimulatedFleetOptions;
  readonly #leaving = new LeavingSet();
  readonly #registry: EndpointRegistry;
  readonly #gossip: LeavingGossip;
  readonly #relay: GenerationRelay;
  readonly #hedges = new HedgePolicy({ initialDelayMs: 300 });
  readonly #retryBudget = new RetryBudget();
  #deployment: Deployment;
  isReady = false;

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    const { process, random, daemon, region, peers, seedUrls, endpoints } = options;
    this.#deployment = endpoints.deployment();
    const speeds = new SpeedEstimator();
    const caches = new PrefixCacheIndex();
    const leaving = this.#leaving;
    this.#registry = new EndpointRegistry({
      clock: process,
      leaving,
      speeds: new EstimatedSpeeds(speeds),
    });
    this.membership = new SwimProtocol({
      self: {
        id: daemon,
        rpcUrl: peers.url,
        adminUrl: peers.url,
        region,
        failureDomain: `${region}-a`,
      },
      transport: new RpcPeerTransport(peers.caller, peers.methods),
      clock: process,
      random: random.fork(),
      seeds: () => seedUrls,
    });
    this.#gossip = new LeavingGossip({
      leaving,
      membership: this.membership,
      ...peers,
      clock: process,
      random: random.fork(),
    });
    const deployment = (): Deployment => this.#deployment;
    this.#relay = new GenerationRelay({
      selector: new RoutedSelector({
        router: new Router({ daemonId: daemon, region, random: random.fork(), caches }),
        registry: this.#registry,
        pauses: new EndpointPauses({ events: new NullEventLog(), metrics: new NullMetrics() }),
        leaving,
        caches,
        speeds,
        engines: { client: ({ name }) => endpoints.clientFor(name, region, process) },
        isCurrent: () => this.#gossip.isCurrent,
        deployment,
        clock: process,
        links: new RegionLinks({
          clock: process,
          membership: () => this.membership,
          bitsPerS: 20_000_000,
        }),
      }),
      retries: new PolicyRetryScheduler({
        policy: new RetryPolicy(this.#retryBudget, new Backoff({ random: random.fork() })),
        deployment,
        clock: process,
      }),
      clock: process,
      hedges: this.#hedges,
    });
    this.#registry.applyDeployment(this.#deployment);
    leaving.onChange((entries) => {
      endpoints.learned(entries, options.run);
    });
    void this.#start();
  }

  /** Takes the settings in force, as the fold's listener does. */
  applyDeployment(): void {
    this.#deployment = this.#options.endpoints.deployment();
    this.#registry.applyDeployment(this.#deployment);
  }

  /** Takes a reclaim notice from the cloud. */
  notice(vmIds: readonly string[], reclaimAtMs: number): void {
    const nowMs = this.#options.process.nowMs();
    this.#leaving.mergeLocal(
      vmIds.map((vmId) => vmLeavingEntry(vmId, reclaimAtMs, LeavingSource.Notice, nowMs)),
    );
  }

  /** Drains an endpoint for an operator. */
  drain(name: string, byMs: number): void {
    const view = this.#registry.all().find((candidate) => candidate.name === name);
    if (view) this.#registry.drain(view.id, byMs);
  }

  async chat(
    requestId: string,
    maxTokens: number,
    responder: ChatResponder,
    disconnectSignal: AbortSignal,
  ): Promise<void> {
    const { process } = this.#options;
    const { hedge_ratio, retry_ratio } = this.#deployment.routing(serviceId);
    this.#hedges.recordRequest(workspaceId, hedge_ratio);
    this.#retryBudget.recordRequest(workspaceId, retry_ratio);
    await this.#relay.run(
      {
        requestId,
        serviceId,
        workspaceId,
        model: 'm',
        messages: [{ role: 'user', content: requestId }],
        maxTokens,
        expectedOutputTokens: maxTokens,
        workClass: WorkClass.Short,
        deadlineAtMs: process.nowMs() + 30_000,
        isResumable: true,
        passThrough: {},
      },
      responder,
      disconnectSignal,
    );
  }

  /** The last step of a planned stop, as in the daemon. */
  async leave(): Promise<void> {
    await this.#gossip.pushBeforeStop();
    await this.membership.leave();
  }

  async #start(): Promise<void> {
    const { process, random, settings } = this.#options;
    const writer = await settings.ready;
    new DrainRecorder({
      leaving: this.#leaving,
      fold: settings.fold.drains,
      writer,
      clock: process,
      random: random.fork(),
    });
    await this.membership.join();
    this.membership.start();
    await this.#gossip.pullBeforeReady();
    const { places } = this.#options.endpoints;
    // The cloud tells a new watcher the earlier notices too.
    const notices = this.#options.endpoints.notices(this.#options.region);
    for (const [vmId, atMs] of notices) this.notice([vmId], atMs);
    await Promise.all(places.map((place) => this.#poll(place)));
    for (const place of places) {
      process.every(pollMs + random.int(0, 200), () => void this.#poll(place));
    }
    process.every(listMs, () => {
      this.#readList();
    });
    this.isReady = true;
  }

  /** Asks an endpoint for its health, as the daemon's endpoint watch does. */
  async #poll(place: EnginePlace): Promise<void> {
    const { process, endpoints, region, random, run: daemonRun } = this.#options;
    const view = this.#registry.all().find(({ name }) => name === place.name);
    await process.deliver(Promise.resolve());
    await process.sleepUntil(process.nowMs() + random.int(1, 30));
    const { run } = place;
    if (!view || run.isLost || endpoints.isCut(region, place.region)) return;
    this.#registry.observeProcessStart(place.name, run.startedAtMs);
    // As in the endpoint watch, the identity is the one that answered, not the one asked.
    const current = this.#registry.all().find(({ name }) => name === place.name);
    if (!current) return;
    if (run.isDraining) {
      endpoints.signalled(run, daemonRun);
      this.#registry.recordDraining(current.id);
    } else this.#registry.restore(current.id);
  }

  #readList(): void {
    const { process, endpoints, region, random } = this.#options;
    const list = endpoints.list(region, process.nowMs() - random.int(0, maxListLagMs));
    this.#leaving.observeList(list, process.nowMs());
    this.#registry.observeVmStarts(list.vms);
  }
}
