import { createServer, type Server } from 'node:http';
import { closeServer, listen } from '../core/listener.js';

/** Serves the load balancer's readiness check: 200 while new connections are accepted, else 503. */
export class ReadinessListener {
  readonly #server: Server;

  /** @param path - path of the load balancer's check. */
  constructor(path: string, isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      const status = request.url !== path ? 404 : isReady() ? 200 : 503;
      response.writeHead(status, { 'content-length': 0 });
      response.end();
    });
  }

  /** @throws Error when the server cannot listen on the address. */
  async listen(host: string, port: number): Promise<void> {
    await listen(this.#server, host, port);
  }

  close(): Promise<void> {
    return closeServer(this.#server);
  }
}
