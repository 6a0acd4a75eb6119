import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { boundConnections } from '../core/bounded-connections.js';
import { CompactBytes } from '../core/compact-bytes.js';
import type { Clock } from '../core/index.js';
import { closeServer, listen } from '../core/listener.js';
import { processReadTurns } from '../core/read-turns.js';
import { HistoryTrimmedError } from '../log/keyed-log.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { AppendBatcher } from './append-batcher.js';
import { decodeEntries, encodePage } from './page-codec.js';
import { PageTransfers } from './page-transfers.js';
import { ReadRefusedError, ReplicaReader } from './replica-reader.js';

/** Paths of a {@link ReplicaServer}. */
export const replicaPaths = {
  read: '/replica/read',
  newest: '/replica/newest',
  append: '/replica/append',
} as const;

/** Query parameter of a reader that understands compressed values; earlier builds do not send it. */
export const compressedParameter = 'compressed';

/**
 * Query parameter with the era of the store as the reader knows it. Earlier builds do not send it and
 * are taken to be in era 0: they cannot read pages of another one.
 */
export const eraParameter = 'era';

/** Options of {@link ReplicaServer}. */
export interface ReplicaServerOptions {
  readonly replicas: readonly KeyedReplica[];
  /** Batchers of the topics to which other daemons append, by topic. */
  readonly batchers: ReadonlyMap<string, AppendBatcher>;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Connections that are open at the same time; default 2,048. */
  readonly maxConnections?: number;
}

/** Longest wait of a read, whatever the reader asks for. */
const maxWaitMs = 5_000;

/** Largest body of an append. */
const maxAppendBytes = 262_144;

/** Longer than the time between two calls of a daemon, so that none meets a closing connection. */
const keepAliveTimeoutMs = 60_000;

const defaultMaxConnections = 2_048;

/** A daemon sends its next call on a connection after the response to the one before. */
const maxOpenRequests = 8;

/**
 * Serves this daemon's copies of the store's topics to the daemons whose distributor it is, by
 * {@link ReplicaReader}, and appends for them.
 */
export class ReplicaServer {
  readonly #options: ReplicaServerOptions;
  readonly #server = createServer((request, response) => void this.#handle(request, response));
  readonly #reader: ReplicaReader;
  readonly #transfers = new PageTransfers();

  constructor(options: ReplicaServerOptions) {
    this.#options = options;
    this.#reader = new ReplicaReader(options.clock);
    this.#server.keepAliveTimeout = keepAliveTimeoutMs;
    const { maxConnections = defaultMaxConnections } = options;
    boundConnections(this.#server, { maxConnections, maxOpenRequests });
  }

  /**
   * Starts to listen.
   *
   * @returns the port.
   * @throws Error when the server cannot listen on the address.
   */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  close(): Promise<void> {
    return closeServer(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    // The rest of what was read before the connection was closed.
    if (request.socket.destroyed) return;
    this.#transfers.end(request.socket);
    try {
      const url = new URL(request.url ?? '/', 'http://daemon');
      const topic = url.searchParams.get('topic') ?? '';
      const { pathname } = url;
      // The body of a read is none of its parts.
      if (pathname !== replicaPaths.append) processReadTurns.discard(request);
      if (pathname === replicaPaths.read) await this.#read(topic, url.searchParams, response);
      else if (pathname === replicaPaths.newest) this.#newest(topic, url.searchParams, response);
      else if (pathname === replicaPaths.append) await this.#append(topic, request, response);
      else respond(response, 404);
    } catch (error) {
      const status = error instanceof HistoryTrimmedError ? 410 : 503;
      this.#options.events.debug(EventId.DistributionFailed, 'call of another daemon failed', {
        reason: error instanceof Error ? error.message : String(error),
      });
      respond(response, status);
    }
  }

  async #read(topic: string, query: URLSearchParams, response: ServerResponse): Promise<void> {
    const replica = this.#replicaOf(topic);
    const fromOffset = Number(query.get('from'));
    const waitMs = Math.min(maxWaitMs, Number(query.get('wait_ms')));
    const era = Number(query.get(eraParameter) ?? 0);
    const isReadable = Number.isSafeInteger(fromOffset) && Number.isSafeInteger(era);
    if (!replica || !isReadable || !(waitMs >= 0)) {
      respond(response, 400);
      return;
    }
    const gone = new AbortController();
    response.once('close', () => {
      gone.abort();
    });
    const deadlineAtMs = this.#options.clock.nowMs() + waitMs;
    const page = await this.#reader.read(replica, fromOffset, deadlineAtMs, gone.signal, era);
    if (page.era > 0 && !query.has(eraParameter)) throw new ReadRefusedError(topic);
    respond(response, 200, encodePage(page, query.has(compressedParameter)));
    if (response.socket) this.#transfers.watch(replica, page.records, response.socket);
  }

  #newest(topic: string, query: URLSearchParams, response: ServerResponse): void {
    const replica = this.#replicaOf(topic);
    const era = Number(query.get(eraParameter) ?? 0);
    if (!replica || !Number.isSafeInteger(era)) {
      respond(response, 400);
      return;
    }
    const page = this.#reader.newest(replica, era);
    respond(response, 200, encodePage(page, query.has(compressedParameter)));
  }

  async #append(topic: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const batcher = this.#options.batchers.get(topic);
    const replica = this.#replicaOf(topic);
    if (!batcher || !replica || !this.#reader.isCurrent(replica)) {
      processReadTurns.discard(request);
      respond(response, 503);
      return;
    }
    const entries = decodeEntries(await readBody(request));
    await Promise.all(entries.map((entry) => batcher.append(entry)));
    respond(response, 200);
  }

  #replicaOf(topic: string): KeyedReplica | undefined {
    return this.#options.replicas.find((candidate) => candidate.topic === topic);
  }
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const bytes = new CompactBytes();
  for await (const chunk of request as AsyncIterable<Buffer>) {
    if (bytes.bytes + chunk.length > maxAppendBytes)
      throw new Error(`more than ${maxAppendBytes} bytes to append`);
    bytes.append(chunk);
  }
  return bytes.take();
}

function respond(response: ServerResponse, status: number, body: Buffer = Buffer.alloc(0)): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, { 'content-length': body.length });
  response.end(body);
}
