import type { Clock } from '../core/index.js';
import { HttpEngineClient, type EngineClient } from '../engine/index.js';
import type { EndpointNotices, EndpointView } from '../fleet/index.js';
import { RateLimitedEngineClient } from './rate-limited-engine-client.js';
import type { RegionLinks } from './region-links.js';

/** Options of {@link EnginePool}. */
export interface EnginePoolOptions {
  readonly clock: Clock;
  /** Longest time without data on a stream of the service, in milliseconds. */
  readonly idleTimeoutMs: (serviceId: string) => number;
  readonly links: RegionLinks;
  readonly notices: EndpointNotices;
}

/** One engine client per endpoint identity: a new VM at an old address gets new connections. */
export class EnginePool {
  readonly #options: EnginePoolOptions;
  readonly #clients = new Map<string, HttpEngineClient>();

  constructor(options: EnginePoolOptions) {
    this.#options = options;
  }

  client(view: EndpointView): EngineClient {
    let client = this.#clients.get(view.id);
    if (!client) {
      client = new HttpEngineClient({
        name: view.name,
        baseUrl: view.baseUrl,
        clock: this.#options.clock,
        idleTimeoutMs: () => this.#options.idleTimeoutMs(view.serviceId),
        onNotice: (notice) => {
          this.#options.notices.apply(view.id, notice);
        },
      });
      this.#clients.set(view.id, client);
    }
    const { links } = this.#options;
    return links.isRemote(view.region)
      ? new RateLimitedEngineClient(client, view.region, links)
      : client;
  }

  /** Closes and removes the client of an identity that no longer exists. */
  remove(endpointId: string): void {
    const client = this.#clients.get(endpointId);
    this.#clients.delete(endpointId);
    void client?.close();
  }

  async close(): Promise<void> {
    await Promise.all([...this.#clients.values()].map((client) => client.close()));
    this.#clients.clear();
  }
}
