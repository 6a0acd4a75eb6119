import type { Clock } from '../core/index.js';
import { EndpointState, type EndpointRegistry, type RegisteredEndpoints } from '../fleet/index.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { Metrics } from '../telemetry/index.js';
import type { ConfigHolder } from './config-holder.js';
import type { WorkRouting } from './work-routing.js';

/** What callers make the process keep. */
export interface CallerGauges {
  /** Bytes of the bodies of open requests, with the objects of the requests. */
  readonly bodyBytes: number;
  /** Bytes of everything that is accounted for. */
  readonly heldBytes: number;
  /** Number of open connections. */
  readonly connections: number;
}

/** Options of {@link GatewayGauges}. */
export interface GatewayGaugesOptions {
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly config: ConfigHolder;
  readonly registry: EndpointRegistry;
  readonly endpoints: RegisteredEndpoints;
  readonly replicas: readonly KeyedReplica[];
  /** Era of the store. */
  readonly storeEra: () => number;
  readonly inFlight: () => number;
  readonly callers: () => CallerGauges;
  readonly liveDaemons: () => number;
  readonly isDutyHolder: () => boolean;
  /** Quarantines of parts of prompts that are in force. */
  readonly quarantines: () => number;
  /** Whether this daemon reads the store itself. */
  readonly isDistributor: () => boolean;
  readonly work: WorkRouting;
}

/** Gauges that are computed from the daemon's current state when metrics are collected. */
export class GatewayGauges {
  readonly #options: GatewayGaugesOptions;

  constructor(options: GatewayGaugesOptions) {
    this.#options = options;
  }

  /** Updates all gauges. */
  measure(): void {
    const { metrics, config, replicas, inFlight, liveDaemons } = this.#options;
    const { isDutyHolder, isDistributor, clock } = this.#options;
    metrics.gauge('gateway_in_flight', inFlight());
    const { bodyBytes, heldBytes, connections } = this.#options.callers();
    metrics.gauge('gateway_buffered_body_bytes', bodyBytes);
    metrics.gauge('gateway_caller_held_bytes', heldBytes);
    metrics.gauge('gateway_caller_connections', connections);
    metrics.gauge('gateway_config_version', config.table?.config.version ?? 0);
    metrics.gauge('gateway_live_daemons', liveDaemons());
    metrics.gauge('gateway_duties_held', Number(isDutyHolder()));
    metrics.gauge('gateway_quarantined_prompts', this.#options.quarantines());
    metrics.gauge('gateway_reads_store_itself', Number(isDistributor()));
    metrics.gauge('gateway_store_era', this.#options.storeEra());
    for (const { topic, endOffset, isFailing, caughtUpAtMs } of replicas) {
      const isReadable = endOffset !== undefined && !isFailing;
      metrics.gauge('gateway_store_readable', Number(isReadable), { topic });
      if (caughtUpAtMs === undefined) continue;
      metrics.gauge('gateway_store_copy_age_ms', clock.nowMs() - caughtUpAtMs, { topic });
    }
    for (const { name } of config.table?.config.services ?? []) this.#measureEndpoints(name);
  }

  #measureEndpoints(service: string): void {
    const { metrics, registry, endpoints } = this.#options;
    const serviceId = endpoints.serviceId(service);
    this.#options.work.measure(metrics, service, serviceId);
    const views = registry.views(serviceId);
    for (const state of Object.values(EndpointState)) {
      const count = views.filter((view) => view.state === state).length;
      metrics.gauge('gateway_endpoints', count, { service, state });
    }
  }
}
