import {
  JSONRPCErrorCode,
  createJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { Agent } from 'undici';
import type { ConnectionOptions } from 'node:tls';
import { scheduleTimer, type Clock } from '../core/index.js';
import { requireFramed } from '../core/response-framing.js';
import { sendRequest } from '../core/send-request.js';
import { PeerCaller, type PeerCallOptions } from './peer-caller.js';
import { RpcError } from './rpc-error.js';
import { rpcPath } from './rpc-server.js';

/** Error codes which show that the peer did not run the method. */
const notRunCodes: readonly number[] = [
  JSONRPCErrorCode.ParseError,
  JSONRPCErrorCode.InvalidRequest,
  JSONRPCErrorCode.MethodNotFound,
];

/** Options of {@link RpcClient}. */
export interface RpcClientOptions {
  readonly clock: Clock;
  /** Shared secret of the deployment; absent when client certificates are used. */
  readonly secret?: string;
  /** Client certificate and authorities for `https` peers. */
  readonly tls?: ConnectionOptions;
}

/**
 * {@link PeerCaller} over HTTP.
 *
 * A call that times out destroys its connection: a stalled connection may never recover, although
 * new connections to the peer succeed. Calls are not retried.
 *
 * @example
 * ```ts
 * const peers = new RpcClient({ clock: new SystemClock(), secret });
 * await peers.call('http://10.0.0.2:7000', 'status.get', {}, { deadlineAtMs: clock.nowMs() + 500 });
 * ```
 */
export class RpcClient extends PeerCaller {
  readonly #clock: Clock;
  readonly #headers: Record<string, string>;
  #agent: Agent;
  #nextId = 1;

  constructor(options: RpcClientOptions) {
    super();
    this.#clock = options.clock;
    this.#headers = { 'content-type': 'application/json' };
    if (options.secret !== undefined) this.#headers.authorization = `Bearer ${options.secret}`;
    this.#agent = createAgent(options.tls);
  }

  override async call(
    peerUrl: string,
    method: string,
    params: unknown,
    { deadlineAtMs }: PeerCallOptions,
  ): Promise<unknown> {
    const remainingMs = Math.ceil(deadlineAtMs - this.#clock.nowMs());
    if (remainingMs <= 0) {
      throw new RpcError(`deadline of "${method}" passed before it was sent`, peerUrl, false);
    }
    const id = this.#nextId++;
    const { status, text } = await this.#send(
      peerUrl,
      method,
      JSON.stringify(createJSONRPCRequest(id, method, params)),
      remainingMs,
    );
    if (status !== 200) {
      throw new RpcError(
        `peer answered "${method}" with status ${status}; check the shared secret or certificate`,
        peerUrl,
        status >= 500,
      );
    }
    return resultOf(decode(text, method, peerUrl), id, method, peerUrl);
  }

  /** Uses the certificates for new connections; calls in flight finish on existing connections. */
  reloadTls(tls: ConnectionOptions): void {
    const previousAgent = this.#agent;
    this.#agent = createAgent(tls);
    previousAgent.close().catch(() => undefined);
  }

  /** Closes all connections; calls in flight fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    peerUrl: string,
    method: string,
    body: string,
    remainingMs: number,
  ): Promise<{ status: number; text: string }> {
    const timeout = new AbortController();
    const cancelTimeout = scheduleTimer(remainingMs, () => {
      timeout.abort();
    });
    try {
      // Aborting destroys the socket; with `pipelining: 1` no other call shares it.
      const response = await sendRequest(`${peerUrl}${rpcPath}`, {
        method: 'POST',
        headers: this.#headers,
        body,
        dispatcher: this.#agent,
        signal: timeout.signal,
      });
      const text = await response.body.text();
      requireFramed(response.statusCode, response.headers);
      return { status: response.statusCode, text };
    } catch (error) {
      const reason = timeout.signal.aborted ? `no answer within ${remainingMs} ms` : String(error);
      throw new RpcError(
        `call of "${method}" failed: ${reason}`,
        peerUrl,
        !isConnectError(error),
        error,
      );
    } finally {
      cancelTimeout();
    }
  }
}

function createAgent(tls: ConnectionOptions | undefined): Agent {
  return new Agent({
    pipelining: 1,
    // In a group of n peers, each is probed about every n seconds. Idle connections to 460 peers
    // would cost more memory than reconnecting.
    keepAliveTimeout: 15_000,
    connect: { timeout: 2_000, ...tls },
  });
}

function decode(text: string, method: string, peerUrl: string): JSONRPCResponse {
  try {
    const answer: unknown = JSON.parse(text);
    if (isJSONRPCResponse(answer)) return answer;
  } catch (error) {
    throw new RpcError(`answer to "${method}" is not JSON`, peerUrl, true, error);
  }
  throw new RpcError(`answer to "${method}" is not a JSON-RPC response`, peerUrl, true);
}

function resultOf(answer: JSONRPCResponse, id: number, method: string, peerUrl: string): unknown {
  // The error for a call that the peer could not read has no id; it may be that of an earlier call.
  const isErrorWithoutId = answer.error !== undefined && answer.id === null;
  if (answer.id !== id && !isErrorWithoutId) {
    throw new RpcError(`answer to "${method}" carries the id of another call`, peerUrl, true);
  }
  if (answer.error) {
    const { code, message } = answer.error;
    throw new RpcError(
      `"${method}" failed at the peer: ${message}`,
      peerUrl,
      isErrorWithoutId || !notRunCodes.includes(code),
    );
  }
  return answer.result as unknown;
}

/** True when no connection was established, so no byte of the call was sent. */
function isConnectError(error: unknown): boolean {
  const code = (error as { code?: unknown } | null)?.code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH';
}
