import type { DutyClient } from '../capacity/duty-client.js';
import { DutyLease } from '../capacity/duty-lease.js';
import { EndpointScaler, type ScaledService } from '../capacity/endpoint-scaler.js';
import { endpointsFor } from '../capacity/engine-sizing.js';
import type { UsageCounter } from '../capacity/usage-counter.js';
import { UsageReporter } from '../capacity/usage-reporter.js';
import type { Clock } from '../core/index.js';
import type { RegisteredEndpoints } from '../fleet/index.js';
import type { PrefillBacklog } from '../fleet/prefill-backlog.js';
import type { KeyedLog } from '../log/keyed-log.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { DaemonSamples, SampleContent } from '../membership/daemon-samples.js';
import type { Rollouts } from '../rollout/rollouts.js';
import type { EventLog } from '../telemetry/index.js';
import type { ConfigHolder } from './config-holder.js';
import type { ScalingLimits } from './traffic-config.js';

/** Options of {@link GatewayDuties}. */
export interface GatewayDutiesOptions {
  readonly daemon: string;
  readonly incarnation: number;
  readonly store: KeyedLog;
  readonly topic: string;
  readonly replica: KeyedReplica;
  readonly samples: DaemonSamples;
  /** Load and usage of this daemon, as it publishes them. */
  readonly ownSample: () => SampleContent;
  readonly counter: UsageCounter;
  readonly endpoints: RegisteredEndpoints;
  readonly backlog: PrefillBacklog;
  readonly config: ConfigHolder;
  readonly duties: DutyClient;
  /** Undefined where the platform does not order rollouts. */
  readonly rollouts: Rollouts | undefined;
  readonly leaseMs: number;
  /** A usage report is due this long after the end of its window, in milliseconds. */
  readonly usageDueMs: number;
  /** Whether this daemon reads the store itself, and not another daemon's copies. */
  readonly readsStore: () => boolean;
  readonly clock: Clock;
  readonly wallNowMs: () => number;
  readonly events: EventLog;
}

/**
 * Target before the first load, relative to the endpoints found at start. Surplus endpoints cost
 * money for a few seconds only.
 */
const initialHeadroomRatio = 1.5;

/** Time after the first load during which the smoothed demand may be below the actual demand. */
const warmUpMs = 15_000;

/** Time after a start until the daemons know which of them read the store. */
const settlingMs = 2_500;

/**
 * Duties that one daemon performs on behalf of all while it holds a lease: it reports usage and
 * scales endpoints, and it decides on rollouts of versions.
 */
export class GatewayDuties {
  readonly #options: GatewayDutiesOptions;
  readonly #lease: DutyLease;
  readonly #usage: UsageReporter;
  readonly #scaler: EndpointScaler;
  /** Highest number of on-demand endpoints seen, by scaled service. */
  readonly #initialCounts = new Map<string, number>();
  #firstLoadAtMs: number | undefined;

  constructor(options: GatewayDutiesOptions) {
    this.#options = options;
    const { daemon, replica, samples, clock, events, duties } = options;
    const eligibleAtMs = clock.nowMs() + settlingMs;
    const isEligible = (): boolean => clock.nowMs() >= eligibleAtMs && options.readsStore();
    this.#lease = new DutyLease({ ...options, log: options.store, isEligible });
    const lease = this.#lease;
    options.rollouts?.decideWith(lease);
    this.#usage = new UsageReporter({
      counter: options.counter,
      samples,
      lease,
      replica,
      duties,
      daemon,
      clock,
      events,
      dueMs: options.usageDueMs,
    });
    this.#scaler = new EndpointScaler({
      lease,
      duties,
      daemon,
      services: () => this.#scaledServices(),
      clock,
      events,
    });
  }

  /** Whether this daemon holds the lease. */
  get isHolder(): boolean {
    return this.#lease.fence !== undefined;
  }

  /** Acquires or renews the lease, and performs the duties that are due while it is held. */
  async tick(): Promise<void> {
    await this.#lease.tick();
    await Promise.all([this.#usage.tick(), this.#scaler.tick(), this.#options.rollouts?.decide()]);
  }

  /** Releases the lease, so that another daemon can take over at once. */
  async release(): Promise<void> {
    await this.#lease.release();
  }

  #scaledServices(): ScaledService[] {
    const services = this.#options.config.table?.config.services ?? [];
    return services.flatMap(({ name, scaling }) => (scaling ? [this.#scaled(name, scaling)] : []));
  }

  #scaled(serviceName: string, scaling: ScalingLimits): ScaledService {
    const { endpoints, rollouts } = this.#options;
    const ready = endpoints
      .registrationsOf(serviceName)
      .filter(({ isDraining }) => !isDraining)
      .filter(({ version }) => rollouts?.countsAsCapacity(serviceName, version) ?? true);
    const onDemand = ready.filter(({ reclaimable }) => !reclaimable).length;
    const known = this.#initialCounts.get(serviceName) ?? 0;
    this.#initialCounts.set(serviceName, Math.max(known, onDemand));
    return {
      serviceName,
      ...scaling,
      target: this.#targetOf(serviceName, ready[0]?.batchSlots ?? 1),
      live: (failureDomain, reclaimable) =>
        ready.filter(
          (endpoint) =>
            endpoint.failureDomain === failureDomain && endpoint.reclaimable === reclaimable,
        ).length,
    };
  }

  /**
   * Endpoints that the load of all daemons needs. Until the demand has settled after the first
   * load, at least the endpoints found at start with some headroom.
   */
  #targetOf(serviceName: string, batchSlots: number): number {
    const { clock, endpoints, samples, ownSample, backlog } = this.#options;
    const nowMs = clock.nowMs();
    const serviceId = endpoints.serviceId(serviceName);
    const all = [ownSample(), ...samples.livePeers()];
    const sum = (select: (sample: SampleContent) => Record<string, number>): number =>
      all.reduce((total, sample) => total + (select(sample)[serviceId] ?? 0), 0);
    const needed = endpointsFor({
      prefillTokensPerS: sum(({ prefillTokensPerS }) => prefillTokensPerS),
      inFlight: sum(({ inFlight }) => inFlight),
      batchSlots,
      prefillRateTokensPerS: backlog.tokensPerMs * 1_000,
    });
    if (needed > 0) this.#firstLoadAtMs ??= nowMs;
    const initial = Math.ceil((this.#initialCounts.get(serviceName) ?? 0) * initialHeadroomRatio);
    const isWarmingUp = nowMs < (this.#firstLoadAtMs ?? Infinity) + warmUpMs;
    return isWarmingUp ? Math.max(needed, initial) : needed;
  }
}
