import { createServer, type Server } from 'node:http';
import { closeServer, listen } from '../core/listener.js';

/** Answers the balancer's question whether this daemon takes new connections. */
export class ReadinessListener {
  readonly #server: Server;

  /** @param path - that the balancer asks for. */
  constructor(path: string, isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      const status = request.url !== path ? 404 : isReady() ? 200 : 503;
      response.writeHead(status, { 'content-length': 0 });
      response.end();
    });
  }

  /** @throws Error when the address cannot be listened at. */
  async listen(host: string, port: number): Promise<void> {
    await listen(this.#server, host, port);
  }

  close(): Promise<void> {
    return closeServer(this.#server);
  }
}
