import { createServer, type Server } from 'node:http';

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

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port }, resolve);
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
