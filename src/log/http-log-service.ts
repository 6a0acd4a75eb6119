import { Agent } from 'undici';
import { z } from 'zod';
import { requireFramed } from '../core/response-framing.js';
import { sendRequest, type SendOptions } from '../core/send-request.js';
import { LogRefusedError, LogUnavailableError } from './log-errors.js';
import {
  LogService,
  type NewRecord,
  type Offset,
  type ReadOptions,
  type ReadPage,
} from './log-service.js';

const appendResponseSchema = z.object({ offset: z.number().int().nonnegative() });

const readResponseSchema = z.object({
  records: z.array(
    z.object({
      offset: z.number().int().nonnegative(),
      id: z.string(),
      appendedAtMs: z.number(),
      data: z.string(),
    }),
  ),
  earliestOffset: z.number().int().nonnegative(),
  nextOffset: z.number().int().nonnegative(),
});

/** Body of a 410 response: the records asked for have been trimmed. */
const goneResponseSchema = z.object({ earliestOffset: z.number().int().nonnegative() });

/** Options of {@link HttpLogService}. */
export interface HttpLogServiceOptions {
  /** Base URL such as `http://10.0.0.1:9000`. */
  readonly baseUrl: string;
  /** Timeout of an append in milliseconds; its outcome is then unknown. */
  readonly appendTimeoutMs?: number;
  /** Time that a read may take beyond its `waitMs` before it times out, in milliseconds. */
  readonly readGraceMs?: number;
}

/**
 * {@link LogService} over HTTP.
 *
 * A timeout destroys its connection, so that an unresponsive connection is never reused.
 *
 * @example
 * ```ts
 * const log = new HttpLogService({ baseUrl: 'http://127.0.0.1:9000' });
 * ```
 */
export class HttpLogService extends LogService {
  readonly #baseUrl: string;
  readonly #appendTimeoutMs: number;
  readonly #readGraceMs: number;
  readonly #agent = new Agent({ pipelining: 1, connections: 32, connect: { timeout: 2_000 } });

  constructor(options: HttpLogServiceOptions) {
    super();
    this.#baseUrl = options.baseUrl;
    this.#appendTimeoutMs = options.appendTimeoutMs ?? 5_000;
    this.#readGraceMs = options.readGraceMs ?? 5_000;
  }

  override async append(
    stream: string,
    record: NewRecord,
    signal?: AbortSignal,
  ): Promise<{ readonly offset: Offset }> {
    const answer = await this.#send(`/streams/${encodeURIComponent(stream)}/records`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(record),
      signal: timeoutSignal(this.#appendTimeoutMs, signal),
    });
    if (answer.status >= 400 && answer.status < 500) {
      throw new LogRefusedError(
        `the log service refused an append to stream "${stream}" with status ${answer.status}; ` +
          'check the record size and the append rate',
        this.#baseUrl,
      );
    }
    return this.#decode(appendResponseSchema, answer, true);
  }

  override async read(stream: string, fromOffset: Offset, options: ReadOptions): Promise<ReadPage> {
    const answer = await this.#get(stream, fromOffset, options);
    if (answer.status !== 410) return this.#decode(readResponseSchema, answer, false);
    // The records asked for were trimmed; a page then starts at the oldest record kept.
    const { earliestOffset } = this.#decode(goneResponseSchema, { ...answer, status: 200 }, false);
    return this.#decode(
      readResponseSchema,
      await this.#get(stream, earliestOffset, options),
      false,
    );
  }

  /** Closes all connections; requests in flight fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #get(
    stream: string,
    fromOffset: Offset,
    options: ReadOptions,
  ): Promise<{ status: number; text: string }> {
    const query = new URLSearchParams({
      from: String(fromOffset),
      limit: String(options.limit),
      wait_ms: String(options.waitMs),
    });
    return this.#send(`/streams/${encodeURIComponent(stream)}/records?${query.toString()}`, {
      method: 'GET',
      signal: timeoutSignal(options.waitMs + this.#readGraceMs, options.signal),
    });
  }

  async #send(path: string, options: SendOptions): Promise<{ status: number; text: string }> {
    const isAppend = options.method === 'POST';
    try {
      const response = await sendRequest(`${this.#baseUrl}${path}`, {
        ...options,
        dispatcher: this.#agent,
      });
      const text = await response.body.text();
      if (isAppend) requireFramed(response.statusCode, response.headers);
      return { status: response.statusCode, text };
    } catch (error) {
      throw new LogUnavailableError(
        `the log service did not answer: ${error instanceof Error ? error.message : String(error)}`,
        this.#baseUrl,
        isAppend && !isConnectError(error),
        error,
      );
    }
  }

  #decode<T>(schema: z.ZodType<T>, answer: { status: number; text: string }, isAppend: boolean): T {
    if (answer.status === 200) {
      try {
        return schema.parse(JSON.parse(answer.text));
      } catch (error) {
        throw new LogUnavailableError(
          'the log service sent an answer that does not match its format',
          this.#baseUrl,
          isAppend,
          error,
        );
      }
    }
    throw new LogUnavailableError(
      `the log service answered with status ${answer.status}`,
      this.#baseUrl,
      isAppend,
    );
  }
}

function timeoutSignal(timeoutMs: number, signal?: AbortSignal): AbortSignal {
  const timeout = AbortSignal.timeout(timeoutMs);
  return signal ? AbortSignal.any([timeout, signal]) : timeout;
}

/** True when no connection was made, so that no byte of the request can have been sent. */
function isConnectError(error: unknown): boolean {
  const code = (error as { code?: unknown } | null)?.code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH';
}
