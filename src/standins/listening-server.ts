import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/**
 * Base of the HTTP stand-ins: a server on a free loopback port.
 *
 * @internal
 */
export abstract class ListeningServer {
  readonly #server: Server = createServer((request, response) => {
    this.handle(request, response).catch((error: unknown) => {
      if (!response.headersSent) sendJson(response, 500, { error: String(error) });
      else response.destroy();
    });
  });

  /** Starts to listen. @param port - 0 chooses a free one. */
  async listen(port = 0): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** Base URL, such as `http://127.0.0.1:4000`. */
  get baseUrl(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops at once; open connections are destroyed. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()));
    this.#server.closeAllConnections();
    await closed;
  }

  protected abstract handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

/** Sends a JSON answer. @internal */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Reads a whole JSON body. @internal */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}
