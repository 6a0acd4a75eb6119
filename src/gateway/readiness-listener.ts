import { createServer, type Server } from 'node:http';
import { boundConnections } from '../core/bounded-connections.js';
import { closeServer, listen } from '../core/listener.js';
import { processReadTurns } from '../core/read-turns.js';

/** More than the load balancer and the tools of an operator have open. */
const connectionBounds = { maxConnections: 32, maxOpenRequests: 16 };

/** Serves the load balancer's readiness check: 200 while new connections are accepted, else 503. */
export class ReadinessListener {
  readonly #server: Server;

  /** @param path - path of the load balancer's check. */
  constructor(path: string, isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      processReadTurns.discard(request);
      const status = request.url !== path ? 404 : isReady() ? 200 : 503;
      response.writeHead(status, { 'content-length': 0 });
      response.end();
    });
    boundConnections(this.#server, connectionBounds);
  }

  /** @throws Error when the server cannot listen on the address. */
  async listen(host: string, port: number): Promise<void> {
    await listen(this.#server, host, port);
  }

  close(): Promise<void> {
    return closeServer(this.#server);
  }
}
