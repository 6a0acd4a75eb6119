import type { Clock } from '../core/index.js';
import type { Metrics } from '../telemetry/index.js';
import type { AttemptEnd } from './attempt.js';
import type { AdmittedRequest, CallerExchange } from './caller-exchange.js';

/** Label of requests that were refused before their service was known. */
const noService = 'none';

/** Counts requests by outcome and records their latency, by service. */
export class RequestMetrics {
  readonly #metrics: Metrics;
  readonly #clock: Clock;

  constructor(metrics: Metrics, clock: Clock) {
    this.#metrics = metrics;
    this.#clock = clock;
  }

  /**
   * Records a request until it ends.
   *
   * @returns a function to call once the request is admitted, which sets its service.
   */
  track(exchange: CallerExchange): (admitted: AdmittedRequest) => void {
    const metrics = this.#metrics;
    const { receivedAtMs } = exchange;
    let service = noService;
    exchange.onHeadSent(() => {
      metrics.timing('gateway_first_byte_ms', this.#clock.nowMs() - receivedAtMs, { service });
    });
    exchange.onClosed((outcome) => {
      metrics.count('gateway_requests', 1, { service, outcome });
      metrics.timing('gateway_request_ms', this.#clock.nowMs() - receivedAtMs, { service });
    });
    return (admitted) => {
      service = admitted.service.name;
    };
  }

  /** Counts an attempt at an endpoint by how it ended. */
  countAttempt(service: string, end: AttemptEnd): void {
    this.#metrics.count('gateway_attempts', 1, { service, end });
  }
}
