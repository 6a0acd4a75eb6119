import { request as httpRequest, type IncomingMessage } from 'node:http';
import { connect as connectTcp, type Socket } from 'node:net';
import { connect as connectTls } from 'node:tls';
import type { Clock } from '../core/index.js';
import { onResetBeforeEnd } from '../core/reset-detection.js';
import { onSoundResponse } from '../core/response-head.js';
import {
  BackEndCaller,
  BackEndCallError,
  type BackEndAnswer,
  type BackEndCallOptions,
  type BackEndRequest,
} from './back-end-caller.js';

/** Options of {@link HttpBackEndCaller}. */
export interface HttpBackEndCallerOptions {
  /** Name of the endpoint in error messages. */
  readonly name: string;
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly connectTimeoutMs?: number;
  /** Larger answers end the call with an unknown outcome. */
  readonly maxAnswerBytes?: number;
}

/**
 * {@link BackEndCaller} on Node's `http`, which never retries a request by itself. Each call opens
 * its own connection: the peer may have closed a reused one, and it would be unknown whether the
 * peer read the request.
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
      socket.destroy(new Error('no complete answer by the deadline'));
    });
    try {
      return await this.#send(socket, request, options);
    } catch (error) {
      if (error instanceof BackEndCallError) throw error;
      throw this.#error('no complete answer received', error);
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
        socket.destroy(new Error('no connection by the connect deadline'));
      });
      socket.once('error', (error) => {
        cancelTimer();
        reject(this.#error('connection failed', error));
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
        reject(this.#error('call not started: its start time has passed or its claim is resolved'));
        return;
      }
      const outgoing = httpRequest({
        createConnection: () => socket,
        method: request.method,
        path: request.path,
        headers: { ...request.headers, connection: 'close' },
      });
      const onAnswer = (answer: IncomingMessage): void => {
        this.#readAnswer(answer).then(resolve, reject);
      };
      onSoundResponse(outgoing, onAnswer, reject);
      outgoing.on('error', reject);
      onResetBeforeEnd(outgoing, reject);
      outgoing.end(request.body);
    });
  }

  async #readAnswer(answer: IncomingMessage): Promise<BackEndAnswer> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of answer) {
      bytes += (chunk as Buffer).length;
      if (bytes > this.#options.maxAnswerBytes)
        throw this.#error('answer exceeds the maximum size');
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
