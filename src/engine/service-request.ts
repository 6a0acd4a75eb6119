import {
  Agent as HttpAgent,
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import { Agent as HttpsAgent, request as httpsRequest } from 'node:https';
import type { Socket } from 'node:net';
import { onResetBeforeEnd } from '../core/reset-detection.js';
import { onSoundResponse } from '../core/response-head.js';

/** A request to a plain service. */
export interface ServiceRequest {
  /** URL with path and query. */
  readonly url: string;
  readonly method: string;
  readonly headers: OutgoingHttpHeaders;
  /** Body that is streamed; undefined when there is none. */
  readonly body: IncomingMessage | undefined;
  /** Limit for each wait for data of the service, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Thrown when no connection was made in time, so that no byte of the request was sent. */
export class ConnectTimeoutError extends Error {}

const connectTimeoutMs = 2_000;

/**
 * Sends each request on a connection of its own, and never again: on a reused one, what the service
 * still had to say to an earlier request would be taken for the response.
 *
 * @internal
 */
export class SingleUseConnections {
  readonly #httpAgent = new HttpAgent({ keepAlive: false });
  readonly #httpsAgent = new HttpsAgent({ keepAlive: false });

  /**
   * Resolves with the response once its head has arrived. A response that is not whole ends with an
   * error.
   *
   * @throws ConnectTimeoutError, or an error of Node when there is no response.
   */
  send(request: ServiceRequest): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const outgoing = this.#open(request);
      let response: IncomingMessage | undefined;
      const fail = (error: Error): void => {
        reject(error);
        response?.destroy(error);
      };
      outgoing.on('error', fail);
      const onResponse = (received: IncomingMessage): void => {
        response = received;
        // It may fail before its reader listens, who then finds it destroyed.
        received.on('error', () => undefined);
        resolve(received);
      };
      onSoundResponse(outgoing, onResponse, fail);
      outgoing.once('socket', (socket) => {
        limitWaits(outgoing, socket, request, () => response);
      });
      onResetBeforeEnd(outgoing, fail);
      if (request.body) request.body.pipe(outgoing);
      else outgoing.end();
    });
  }

  /** Destroys all connections; requests that are still running fail. */
  close(): void {
    this.#httpAgent.destroy();
    this.#httpsAgent.destroy();
  }

  #open({ url, method, headers, signal }: ServiceRequest): ClientRequest {
    const options = { method, headers, signal };
    return url.startsWith('https:')
      ? httpsRequest(url, { ...options, agent: this.#httpsAgent })
      : httpRequest(url, { ...options, agent: this.#httpAgent });
  }
}

/** Ends a request that waits for its connection or for the service for too long. */
function limitWaits(
  outgoing: ClientRequest,
  socket: Socket,
  { body, timeoutMs }: ServiceRequest,
  response: () => IncomingMessage | undefined,
): void {
  let isConnecting = socket.connecting;
  const onIdle = (): void => {
    const isSending = body?.readableEnded === false && !outgoing.writableNeedDrain;
    const isWaitingForCaller = isSending || response()?.isPaused() === true;
    if (isConnecting) outgoing.destroy(new ConnectTimeoutError('no connection in time'));
    else if (isWaitingForCaller) socket.setTimeout(timeoutMs);
    else outgoing.destroy(new Error(`the service sent nothing for ${timeoutMs} ms`));
  };
  socket.on('timeout', onIdle);
  socket.setTimeout(isConnecting ? connectTimeoutMs : timeoutMs);
  socket.once('connect', () => {
    isConnecting = false;
    socket.setTimeout(timeoutMs);
  });
}
