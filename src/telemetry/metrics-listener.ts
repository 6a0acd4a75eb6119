import { createServer, type Server } from 'node:http';
import { boundConnections } from '../core/bounded-connections.js';
import { closeServer, listen } from '../core/listener.js';
import { processReadTurns } from '../core/read-turns.js';
import type { PrometheusMetrics } from './prometheus-metrics.js';

/** Options of {@link MetricsListener}. */
export interface MetricsListenerOptions {
  readonly metrics: PrometheusMetrics;
  readonly path: string;
  /** Updates the metrics that are only sampled on request; called before each response. */
  readonly measure: () => void;
}

/** More than those who collect metrics have open. */
const connectionBounds = { maxConnections: 32, maxOpenRequests: 4 };

/** HTTP listener that serves metrics in the Prometheus text format. */
export class MetricsListener {
  readonly #server: Server;

  constructor({ metrics, path, measure }: MetricsListenerOptions) {
    this.#server = createServer((request, response) => {
      processReadTurns.discard(request);
      if (request.url !== path) {
        response.writeHead(404, { 'content-length': 0 }).end();
        return;
      }
      measure();
      void metrics.text().then((text) => {
        response.writeHead(200, { 'content-type': metrics.contentType }).end(text);
      });
    });
    boundConnections(this.#server, connectionBounds);
  }

  /** Port of the listener, for instance one that the system chose; 0 while it does not listen. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** @throws Error when the listener cannot bind to the address. */
  async listen(host: string, port: number): Promise<void> {
    await listen(this.#server, host, port);
  }

  close(): Promise<void> {
    return closeServer(this.#server);
  }
}
