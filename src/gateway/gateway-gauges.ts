import { EndpointState, type EndpointRegistry, type RegisteredEndpoints } from '../fleet/index.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { Metrics } from '../telemetry/index.js';
import type { ConfigHolder } from './config-holder.js';

/** Options of {@link GatewayGauges}. */
export interface GatewayGaugesOptions {
  readonly metrics: Metrics;
  readonly config: ConfigHolder;
  readonly registry: EndpointRegistry;
  readonly endpoints: RegisteredEndpoints;
  readonly replicas: readonly KeyedReplica[];
  readonly inFlight: () => number;
  readonly liveDaemons: () => number;
  readonly isDutyHolder: () => boolean;
}

/** Gauges that are computed from the daemon's current state when metrics are collected. */
export class GatewayGauges {
  readonly #options: GatewayGaugesOptions;

  constructor(options: GatewayGaugesOptions) {
    this.#options = options;
  }

  /** Updates all gauges. */
  measure(): void {
    const { metrics, config, replicas, inFlight, liveDaemons, isDutyHolder } = this.#options;
    metrics.gauge('gateway_in_flight', inFlight());
    metrics.gauge('gateway_config_version', config.table?.config.version ?? 0);
    metrics.gauge('gateway_live_daemons', liveDaemons());
    metrics.gauge('gateway_duties_held', Number(isDutyHolder()));
    for (const { topic, endOffset, isFailing } of replicas) {
      const isReadable = endOffset !== undefined && !isFailing;
      metrics.gauge('gateway_store_readable', Number(isReadable), { topic });
    }
    for (const { name } of config.table?.config.services ?? []) this.#measureEndpoints(name);
  }

  #measureEndpoints(service: string): void {
    const { metrics, registry, endpoints } = this.#options;
    const views = registry.views(endpoints.serviceId(service));
    for (const state of Object.values(EndpointState)) {
      const count = views.filter((view) => view.state === state).length;
      metrics.gauge('gateway_endpoints', count, { service, state });
    }
  }
}
