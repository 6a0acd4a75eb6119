import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  JSONRPCErrorCode,
  JSONRPCServer,
  createJSONRPCErrorResponse,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { PeerMethodRegistry, type PeerMethodHandler } from './peer-caller.js';
import type { PeerAuthenticator } from './peer-authenticator.js';

/** Path of the JSON-RPC listener. */
export const rpcPath = '/rpc';

/** Options of {@link RpcServer}. */
export interface RpcServerOptions {
  readonly authenticator: PeerAuthenticator;
  /** Requests with a larger body are answered with 413. */
  readonly maxBodyBytes?: number;
}

/**
 * Serves JSON-RPC 2.0 as a request handler of Node's `http` or `https` server.
 *
 * @example
 * ```ts
 * const rpc = new RpcServer({ authenticator: sharedSecretAuthenticator(secret) });
 * rpc.register('status.get', async () => ({ ready: true }));
 * createServer(rpc.handle).listen(7000, '127.0.0.1');
 * ```
 */
export class RpcServer extends PeerMethodRegistry {
  // Without a listener the library prints handler errors to the console; the caller receives them.
  readonly #server = new JSONRPCServer({ errorListener: () => undefined });
  readonly #authenticator: PeerAuthenticator;
  readonly #maxBodyBytes: number;

  constructor(options: RpcServerOptions) {
    super();
    this.#authenticator = options.authenticator;
    this.#maxBodyBytes = options.maxBodyBytes ?? 8 * 1_048_576;
  }

  override register(method: string, handler: PeerMethodHandler): void {
    if (this.#server.hasMethod(method)) {
      throw new Error(`RPC method "${method}" is registered already; register it once`);
    }
    this.#server.addMethod(method, async (params: unknown) => (await handler(params)) ?? null);
  }

  /** Handler to pass to `createServer`. */
  readonly handle = (request: IncomingMessage, response: ServerResponse): void => {
    this.#serve(request, response).catch(() => response.destroy());
  };

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.#authenticator(request)) {
      refuse(request, response, 401);
      return;
    }
    if (request.method !== 'POST' || request.url !== rpcPath) {
      refuse(request, response, 404);
      return;
    }
    const body = await this.#readBody(request);
    if (body === undefined) {
      refuse(request, response, 413);
      return;
    }
    const answer = await this.#answer(body);
    if (answer === null) response.writeHead(204).end();
    else sendJson(response, answer);
  }

  async #answer(body: string): Promise<JSONRPCResponse | JSONRPCResponse[] | null> {
    try {
      return await this.#server.receiveJSON(body);
    } catch (error) {
      return createJSONRPCErrorResponse(null, JSONRPCErrorCode.InternalError, String(error));
    }
  }

  async #readBody(request: IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > this.#maxBodyBytes) return undefined;
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString('utf8');
  }
}

function sendJson(response: ServerResponse, value: unknown): void {
  const text = JSON.stringify(value);
  response
    .writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    .end(text);
}

/** Responds and closes the connection, because the rest of the request body is not read. */
function refuse(request: IncomingMessage, response: ServerResponse, status: number): void {
  response.writeHead(status, { connection: 'close' }).end(() => request.destroy());
}
