import { createServer, type IncomingMessage, type Server } from 'node:http';
import { z } from 'zod';
import { boundConnections } from '../core/bounded-connections.js';
import { closeServer, listen } from '../core/listener.js';
import { readBounded } from '../core/response-body.js';
import type { RequestExplainer } from './request-explainer.js';

/** Path of the query, which is a JSON body of a POST. */
export const explainPath = '/explain';

/** Larger than the headers that any configuration allows. */
const maxQueryBytes = 131_072;

/** More than the operators on one VM have open. */
const connectionBounds = { maxConnections: 8, maxOpenRequests: 2 };

const querySchema = z.object({
  host: z.string().min(1),
  path: z.string().startsWith('/'),
  headers: z.record(z.string().toLowerCase(), z.string()).default({}),
  workspaceName: z.string().min(1).optional(),
});

/**
 * HTTP listener for operators on the VM itself. It has no authentication and must listen on a
 * loopback address only. Its answers hold no keys.
 */
export class OperatorListener {
  readonly #explainer: RequestExplainer;
  readonly #server: Server;

  constructor(explainer: RequestExplainer) {
    this.#explainer = explainer;
    this.#server = createServer((request, response) => {
      void this.#answer(request).then(({ status, body }) => {
        const bytes = Buffer.from(JSON.stringify(body));
        const headers = { 'content-type': 'application/json', 'content-length': bytes.length };
        response.writeHead(status, headers).end(bytes);
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

  async #answer(request: IncomingMessage): Promise<{ status: number; body: unknown }> {
    if (request.method !== 'POST' || request.url !== explainPath)
      return { status: 404, body: { error: `POST ${explainPath} is the only query` } };
    try {
      const text = (await readBounded(request, maxQueryBytes)).toString();
      return { status: 200, body: this.#explainer.explain(querySchema.parse(JSON.parse(text))) };
    } catch (error) {
      const reason = error instanceof z.ZodError ? z.prettifyError(error) : String(error);
      return { status: 400, body: { error: reason } };
    }
  }
}
