import type { SharedRetryBudget } from '../admission/shared-retry-budget.js';
import type { Clock } from '../core/index.js';
import type { ReadTurns } from '../core/read-turns.js';
import type {
  EndpointNotices,
  EndpointPauses,
  EndpointRegistry,
  RegisteredEndpoints,
  StallDetector,
} from '../fleet/index.js';
import type { PromptGuard } from '../quarantine/prompt-guard.js';
import type { Rollouts } from '../rollout/rollouts.js';
import type { EventLog } from '../telemetry/index.js';
import type { AdmittedRequest, CallerExchange } from './caller-exchange.js';
import type { EndpointConnections } from './endpoint-connections.js';
import type { Placement } from './placement.js';
import { RelayedRequest } from './relayed-request.js';
import type { RequestCodec } from './request-codec.js';
import type { RequestMetrics } from './request-metrics.js';
import type { ScarcityGate } from './scarcity-gate.js';

/** Receives the requests that started to run, to account the usage of workspaces. */
export abstract class UsageObserver {
  abstract began(admitted: AdmittedRequest, atMs: number): void;
}

/** Options of {@link RequestRelay}. */
export interface RequestRelayOptions {
  readonly placement: Placement;
  readonly endpoints: RegisteredEndpoints;
  readonly registry: EndpointRegistry;
  readonly connections: EndpointConnections;
  readonly codec: RequestCodec;
  readonly stallDetector: StallDetector;
  readonly notices: EndpointNotices;
  readonly pauses: EndpointPauses;
  readonly retries: SharedRetryBudget;
  readonly guard: PromptGuard;
  readonly usage: UsageObserver;
  /** Shares the reading of responses between the connections to endpoints. */
  readonly readTurns: ReadTurns;
  /** Undefined where the platform does not order rollouts. */
  readonly rollouts?: Rollouts | undefined;
  /** Learns from each request how fast its service serves; undefined when not used. */
  readonly scarcity?: ScarcityGate | undefined;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: RequestMetrics;
}

/**
 * Relays admitted requests: chooses an endpoint, sends the request, and retries at another endpoint
 * when the kind of the request allows it. Each request ends with exactly one response, or with a
 * closed connection when a response was started that cannot be completed.
 *
 * @example
 * ```ts
 * await relay.relay(exchange, admitted);
 * ```
 */
export class RequestRelay {
  readonly #options: RequestRelayOptions;
  readonly #open = new Set<RelayedRequest>();

  constructor(options: RequestRelayOptions) {
    this.#options = options;
  }

  /** Resolves when the request has ended. */
  async relay(exchange: CallerExchange, admitted: AdmittedRequest): Promise<void> {
    const request = new RelayedRequest(this.#options, exchange, admitted);
    this.#open.add(request);
    this.#options.scarcity?.began(admitted);
    try {
      await request.run();
    } finally {
      this.#open.delete(request);
      this.#options.scarcity?.ended(admitted);
    }
  }

  /**
   * Answers each open request whose response has not begun, as the daemon exits before its endpoint
   * would: its caller learns now what is known of it.
   */
  answerOpenRequests(): void {
    for (const request of this.#open) request.endUnanswered('the daemon is stopping');
  }
}
