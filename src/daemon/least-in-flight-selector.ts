import { Outcome, RequestError, Step, type Clock } from '../core/index.js';
import { HttpEngineClient, type EngineClient } from '../engine/index.js';
import { EndpointLease, EndpointSelector, type SelectionRequest } from '../pipeline/index.js';
import type { Deployment } from '../settings/index.js';

/** Chooses the endpoint with the fewest of this daemon's own requests. */
export class LeastInFlightSelector extends EndpointSelector {
  readonly #deployment: () => Deployment;
  readonly #clock: Clock;
  readonly #clients = new Map<string, HttpEngineClient>();
  readonly #inFlight = new Map<string, number>();

  constructor(deployment: () => Deployment, clock: Clock) {
    super();
    this.#deployment = deployment;
    this.#clock = clock;
  }

  override select(request: SelectionRequest): Promise<EndpointLease> {
    const candidates = this.#deployment()
      .endpointsOf(request.serviceId)
      .filter(({ id }) => !request.excludedIds.has(id))
      .sort((a, b) => this.#load(a.id) - this.#load(b.id));
    const chosen = candidates[0];
    if (!chosen) {
      return Promise.reject(
        new RequestError(`no endpoint of ${request.serviceId} can take the request`, {
          step: Step.Route,
          peer: request.serviceId,
          status: 503,
          code: 'no_endpoint',
          next: 'Send the request again later.',
          outcome: request.excludedIds.size === 0 ? Outcome.NotRun : Outcome.Unknown,
          retryAtMs: this.#clock.nowMs() + 1_000,
        }),
      );
    }
    this.#inFlight.set(chosen.id, this.#load(chosen.id) + 1);
    const client = this.#clientOf(chosen.id, chosen.values.base_url);
    return Promise.resolve(
      new InFlightLease(chosen.id, client, () => {
        this.#inFlight.set(chosen.id, this.#load(chosen.id) - 1);
      }),
    );
  }

  #load(id: string): number {
    return this.#inFlight.get(id) ?? 0;
  }

  #clientOf(id: string, baseUrl: string): EngineClient {
    let client = this.#clients.get(id);
    if (!client) {
      client = new HttpEngineClient({
        name: id,
        baseUrl,
        clock: this.#clock,
        silenceMs: () => 3_000,
      });
      this.#clients.set(id, client);
    }
    return client;
  }
}

class InFlightLease extends EndpointLease {
  override readonly endpointId: string;
  override readonly client: EngineClient;
  override readonly shouldMove = new AbortController().signal;
  readonly #release: () => void;

  constructor(endpointId: string, client: EngineClient, release: () => void) {
    super();
    this.endpointId = endpointId;
    this.client = client;
    this.#release = release;
  }

  override get endpointName(): string {
    return this.endpointId;
  }

  override token(): void {
    // Speed is not estimated here.
  }

  override end(): void {
    this.#release();
  }
}
