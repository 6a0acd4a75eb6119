import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Answer of a {@link JsonHandler}. */
export interface JsonReply {
  readonly status: number;
  readonly body?: unknown;
}

/** A request with its body decoded. */
export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  readonly body: unknown;
}

/** Answers a request; undefined breaks the connection, as a lost answer does. */
export type JsonHandler = (request: JsonRequest) => Promise<JsonReply | undefined>;

/**
 * Loopback HTTP server for stand-ins that speak JSON.
 *
 * @internal
 */
export class JsonServer {
  readonly #server: Server;

  constructor(handler: JsonHandler) {
    this.#server = createServer((request, response) => {
      serve(handler, request, response).catch(() => response.destroy());
    });
  }

  /** @returns the base URL. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }
}

async function serve(
  handler: JsonHandler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  const reply = await handler({
    method: request.method ?? 'GET',
    url: new URL(request.url ?? '/', 'http://127.0.0.1'),
    body: text === '' ? undefined : JSON.parse(text),
  });
  if (!reply) {
    response.destroy();
    return;
  }
  response.writeHead(reply.status, { 'content-type': 'application/json' });
  response.end(reply.body === undefined ? '' : JSON.stringify(reply.body));
}
