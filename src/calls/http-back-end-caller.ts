import { request as httpRequest, type IncomingMessage } from 'node:http';
import { connect as connectTcp, type Socket } from 'node:net';
import { connect as connectTls } from 'node:tls';
import type { Clock } from '../core/index.js';
import {
  BackEndCaller,
  BackEndCallError,
  type BackEndAnswer,
  type BackEndCallOptions,
  type BackEndRequest,
} from './back-end-caller.js';

/** Options of {@link HttpBackEndCaller}. */
export interface HttpBackEndCallerOptions {
  /** Endpoint name, for errors. */
  readonly name: string;
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly connectTimeoutMs?: number;
  /** Larger answers end the call with an unknown outcome. */
  readonly maxAnswerBytes?: number;
}

/**
 * {@link BackEndCaller} on Node's `http`, which never repeats a request by itself, over a connection
 * made for this call alone: a reused one may have been closed by the peer, and whether the peer then
 * read the request cannot be told.
 *
 * @example
 * ```ts
 * const caller = new HttpBackEndCaller({ name: 'orders-1', baseUrl, clock });
 * ```
 */
export class HttpBackEndCaller extends BackEndCaller {
  readonly #options: Required<HttpBackEndCallerOptions>;

  constructor(options: HttpBackEndCallerOptions) {
    super();
    this.#options = { connectTimeoutMs: 2_000, maxAnswerBytes: 8 * 1_048_576, ...options };
  }

  override async call(
    request: BackEndRequest,
    options: BackEndCallOptions,
  ): Promise<BackEndAnswer> {
    const socket = await this.#connect(options.deadlineAtMs);
    const cancelDeadline = this.#options.clock.schedule(options.deadlineAtMs, () => {
      socket.destroy(new Error('no whole answer by the deadline'));
    });
    try {
      return await this.#send(socket, request, options);
    } catch (error) {
      if (error instanceof BackEndCallError) throw error;
      throw this.#error('no whole answer came', error);
    } finally {
      cancelDeadline();
      socket.destroy();
    }
  }

  #connect(deadlineAtMs: number): Promise<Socket> {
    const { baseUrl, clock, connectTimeoutMs } = this.#options;
    const { protocol, hostname, port } = new URL(baseUrl);
    const isTls = protocol === 'https:';
    const target = { host: hostname, port: Number(port || (isTls ? 443 : 80)) };
    const socket = isTls ? connectTls(target) : connectTcp(target);
    const connectDeadlineAtMs = Math.min(deadlineAtMs, clock.nowMs() + connectTimeoutMs);
    return new Promise((resolve, reject) => {
      const cancelTimer = clock.schedule(connectDeadlineAtMs, () => {
        socket.destroy(new Error('no connection in time'));
      });
      socket.once('error', (error) => {
        cancelTimer();
        reject(this.#error('no connection could be made', error));
      });
      socket.once(isTls ? 'secureConnect' : 'connect', () => {
        cancelTimer();
        resolve(socket);
      });
    });
  }

  #send(
    socket: Socket,
    request: BackEndRequest,
    options: BackEndCallOptions,
  ): Promise<BackEndAnswer> {
    return new Promise((resolve, reject) => {
      socket.once('error', reject);
      if (!options.tryStart()) {
        reject(this.#error('the call was not started, since its time to start has passed'));
        return;
      }
      const outgoing = httpRequest(
        {
          createConnection: () => socket,
          method: request.method,
          path: request.path,
          headers: { ...request.headers, connection: 'close' },
        },
        (answer) => {
          this.#readAnswer(answer).then(resolve, reject);
        },
      );
      outgoing.once('error', reject);
      outgoing.end(request.body);
    });
  }

  async #readAnswer(answer: IncomingMessage): Promise<BackEndAnswer> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of answer) {
      bytes += (chunk as Buffer).length;
      if (bytes > this.#options.maxAnswerBytes) throw this.#error('the answer is too large');
      chunks.push(chunk as Buffer);
    }
    const type = answer.headers['content-type'];
    return {
      status: answer.statusCode ?? 0,
      headers: type === undefined ? {} : { 'content-type': type },
      body: Buffer.concat(chunks),
    };
  }

  #error(message: string, cause?: unknown): BackEndCallError {
    const { name } = this.#options;
    return new BackEndCallError(`endpoint ${name}: ${message}`, name, cause);
  }
}
