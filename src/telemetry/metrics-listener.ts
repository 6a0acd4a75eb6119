import { createServer, type Server } from 'node:http';
import { closeServer, listen } from '../core/listener.js';
import type { PrometheusMetrics } from './prometheus-metrics.js';

/** Options of {@link MetricsListener}. */
export interface MetricsListenerOptions {
  readonly metrics: PrometheusMetrics;
  readonly path: string;
  /** Brings metrics up to date that nobody sends by themselves. */
  readonly measure: () => void;
}

/** Serves metrics as text to whoever collects them. */
export class MetricsListener {
  readonly #server: Server;

  constructor({ metrics, path, measure }: MetricsListenerOptions) {
    this.#server = createServer((request, response) => {
      if (request.url !== path) {
        response.writeHead(404, { 'content-length': 0 }).end();
        return;
      }
      measure();
      void metrics.text().then((text) => {
        response.writeHead(200, { 'content-type': metrics.contentType }).end(text);
      });
    });
  }

  /** Port that is listened at; useful when the system chose it. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** @throws Error when the address cannot be listened at. */
  async listen(host: string, port: number): Promise<void> {
    await listen(this.#server, host, port);
  }

  close(): Promise<void> {
    return closeServer(this.#server);
  }
}
