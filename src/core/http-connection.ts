import {
  Agent,
  request as httpRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import { CompactBytes } from './compact-bytes.js';
import { allSocketsRead, scheduleTimer } from './event-loop.js';
import { processReadTurns } from './read-turns.js';
import { onResetBeforeEnd } from './reset-detection.js';
import { onSoundResponse } from './response-head.js';

/** An IP address with a port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** How a large response may arrive. */
export interface HttpTransfer {
  /** Time without further {@link minBytes} after which the connection is closed, in milliseconds. */
  readonly stalledMs: number;
  /** Bytes that count as progress; fewer are those of a server that sends one now and then. */
  readonly minBytes: number;
  /** Time after the first bytes at which the connection is closed in any case, in milliseconds. */
  readonly maxMs: number;
  /** Called with the first bytes and after each further {@link minBytes}. */
  readonly onBytes: (() => void) | undefined;
}

/** A call over an {@link HttpConnection}. */
export interface HttpCall {
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  /**
   * Time after which the connection is closed if the response is not complete, or with
   * {@link transfer} if it has not begun, in milliseconds.
   */
  readonly timeoutMs: number;
  /** Lets a response that has begun go on while its bytes keep coming. */
  readonly transfer?: HttpTransfer;
  readonly signal?: AbortSignal | undefined;
  /**
   * Whether the call gets a connection of its own. Responses bear no id: on a kept connection, an
   * earlier response that the server writes once more together with the one to this call is taken for
   * it. Set it where a wrong response would count something as done that is not.
   */
  readonly usesOwnConnection?: boolean;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const maxIdleConnections = 8;

/** A server that sends more than this, or a head above Node's limit, is treated as broken. */
const maxResponseBytes = 16 * 1_048_576;

/**
 * Keep-alive connections to one server. Never retries on its own. The time and the size of a
 * response are bounded, so that a server that sends without end costs neither memory nor a slot.
 *
 * @example
 * ```ts
 * const connection = new HttpConnection({ host: '10.0.0.4', port: 8225 });
 * const { status, body } = await connection.call({ method: 'GET', path: '/x', timeoutMs: 500 });
 * ```
 */
export class HttpConnection {
  readonly #address: SocketAddress;
  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: maxIdleConnections });
  readonly #singleUseAgent = new Agent({ keepAlive: false });

  constructor(address: SocketAddress) {
    this.#address = address;
  }

  /**
   * Makes a call.
   *
   * @throws Error when no complete response was received; the call may have been carried out.
   */
  call(call: HttpCall): Promise<HttpResponse> {
    const { method, path, headers, body, timeoutMs, transfer, signal, usesOwnConnection } = call;
    return new Promise((resolve, reject) => {
      const timeOut = (): void => void outgoing.destroy(new Error('response timeout'));
      const fail = (error: Error): void => {
        cancelTimeout();
        reject(error);
      };
      let transferEndsAtMs: number | undefined;
      let newBytes = 0;
      const onBytes = (bytes: number): void => {
        newBytes += bytes;
        if (!transfer || (transferEndsAtMs !== undefined && newBytes < transfer.minBytes)) return;
        newBytes = 0;
        const nowMs = performance.now();
        transferEndsAtMs ??= nowMs + transfer.maxMs;
        cancelTimeout();
        cancelTimeout = scheduleTimer(
          Math.max(0, Math.min(transfer.stalledMs, transferEndsAtMs - nowMs)),
          timeOut,
        );
        transfer.onBytes?.();
      };
      const outgoing = httpRequest({
        agent: usesOwnConnection ? this.#singleUseAgent : this.#agent,
        ...this.#address,
        method,
        path,
        ...(signal ? { signal } : {}),
        headers: { ...headers, ...(body ? { 'content-length': body.length } : {}) },
      });
      const onResponse = (incoming: IncomingMessage): void => {
        if (!isWritten) {
          outgoing.destroy(new Error('a response came before the request was written'));
          return;
        }
        onBytes(0);
        incoming.on('data', (chunk: Buffer) => {
          onBytes(chunk.length);
        });
        readBounded(incoming, (error) => outgoing.destroy(error)).then((received) => {
          cancelTimeout();
          const { statusCode = 0, headers: receivedHeaders } = incoming;
          resolve({ status: statusCode, headers: receivedHeaders, body: received });
        }, fail);
      };
      let isWritten = false;
      let cancelTimeout = scheduleTimer(timeoutMs, timeOut);
      onSoundResponse(outgoing, onResponse, fail);
      outgoing.on('error', fail);
      onResetBeforeEnd(outgoing, fail);
      outgoing.once('socket', () => {
        // What a kept connection has received while it was idle shows before the request is written.
        const read = outgoing.reusedSocket ? allSocketsRead() : Promise.resolve();
        void read.then(() => {
          if (outgoing.destroyed) return;
          isWritten = true;
          outgoing.end(body);
        });
      });
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
    this.#singleUseAgent.destroy();
  }
}

/** Reads a body up to {@link maxResponseBytes}; calls `abort` when it is larger. */
function readBounded(incoming: IncomingMessage, abort: (error: Error) => void): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const bytes = new CompactBytes();
    const reads = processReadTurns.shareOf(incoming, () => 'server');
    incoming.on('data', (chunk: Buffer) => {
      reads.count();
      if (bytes.bytes + chunk.length <= maxResponseBytes) bytes.append(chunk);
      else abort(new Error(`the response is larger than ${maxResponseBytes} bytes`));
    });
    incoming.on('error', reject);
    incoming.on('end', () => {
      resolve(bytes.take());
    });
  });
}
