import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { SystemClock } from '../core/index.js';
import { LogRefusedError } from '../log/index.js';
import { ListeningServer, readJson, sendJson } from './listening-server.js';
import { MemoryLogService } from './memory-log-service.js';

const newRecord = z.object({ id: z.string().min(1), data: z.string().max(1_048_576) });

/**
 * Stand-in of the platform's log service over HTTP.
 *
 * @example
 * ```ts
 * const server = new LogServer();
 * await server.listen();
 * ```
 */
export class LogServer extends ListeningServer {
  /** The streams; tests and the demonstration set faults on it. */
  readonly log = new MemoryLogService({ clock: new SystemClock() });
  /** While true, every request is left without an answer. */
  isDown = false;

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.isDown) return;
    const url = new URL(request.url ?? '/', 'http://log');
    const match = /^\/streams\/([^/]+)\/records$/.exec(url.pathname);
    const stream = match?.[1];
    if (stream === undefined) {
      sendJson(response, 404, { error: 'unknown path; use /streams/{stream}/records' });
    } else if (request.method === 'POST') {
      await this.#append(decodeURIComponent(stream), request, response);
    } else {
      await this.#read(decodeURIComponent(stream), url.searchParams, response);
    }
  }

  async #append(stream: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const record = newRecord.safeParse(await readJson(request));
    if (!record.success) {
      sendJson(response, 400, { error: 'a record has an id and data of at most 1 MiB' });
      return;
    }
    try {
      sendJson(response, 200, await this.log.append(stream, record.data));
    } catch (error) {
      if (error instanceof LogRefusedError) sendJson(response, 429, { error: error.message });
      else response.destroy();
    }
  }

  async #read(stream: string, query: URLSearchParams, response: ServerResponse): Promise<void> {
    const abort = new AbortController();
    response.on('close', () => {
      abort.abort();
    });
    const page = await this.log.read(stream, Number(query.get('from') ?? 0), {
      limit: Math.min(Number(query.get('limit') ?? 100), 10_000),
      waitMs: Math.min(Number(query.get('wait_ms') ?? 0), 30_000),
      signal: abort.signal,
    });
    if (this.isDown) return;
    sendJson(response, 200, page);
  }
}
