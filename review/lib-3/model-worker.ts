import { once } from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { headers, topics } from '../../platform/names.js';
import type { StoreServer } from '../../platform/standins/store-server.js';
import type { Record } from './record.js';
import { expiryMs, heartbeatMs } from './world.js';

/** A request that began to run at a worker. */
export interface Run {
  readonly requestId: string;
  readonly instanceId: string;
  readonly atMs: number;
}

/** The end of a worker's process, and the requests that it had. */
export interface Crash {
  readonly instanceId: string;
  readonly atMs: number;
  /** Other requests that were in progress there. */
  readonly cut: readonly string[];
}

/** Options of {@link ModelWorker}. */
export interface ModelWorkerOptions {
  readonly name: string;
  readonly service: string;
  readonly store: StoreServer;
  readonly record: Record;
  /** Id of the part of a prompt on which it crashes as it begins to write; none without trouble. */
  readonly poison: string | undefined;
  readonly onArrival: (run: Run) => void;
  readonly onCrash: (crash: Crash) => void;
}

const slots = 64;

/**
 * From the sheet: time to the first token, and prompt tokens that are read in a millisecond. Shared parts
 * count as kept, so that only the request's own part is read.
 */
const firstTokenMs = 53;
const promptTokensPerMs = 140;

/** A step of some tokens, and a short answer. */
const eventGapMs = 25;
const events = 12;

/** A worker that has crashed is back after some seconds. */
const backMs = 3_000;

/** Stand-in for a model worker, which crashes as it begins to write on a part of a prompt. */
export class ModelWorker {
  readonly #options: ModelWorkerOptions;
  #server: Server | undefined;
  #port = 0;
  #starts = 0;
  #sequence = 0;
  #born = 0;
  #registeredAtMs = 0;
  #isStopped = false;
  readonly #sockets = new Set<Socket>();
  readonly #open = new Set<string>();
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(options: ModelWorkerOptions) {
    this.#options = options;
  }

  get #id(): string {
    return `i-${this.#options.name}-${this.#starts}`;
  }

  /** As the sheet's services tell it: running, waiting, slots and time of work in percent. */
  get #load(): OutgoingHttpHeaders {
    return { [headers.serverLoad]: `${this.#open.size},0,${slots},100` };
  }

  async start(): Promise<void> {
    this.#starts += 1;
    this.#sequence = 0;
    this.#born = Date.now();
    const server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    server.listen(this.#port, '127.0.0.1');
    await once(server, 'listening');
    this.#server = server;
    this.#port = (server.address() as AddressInfo).port;
    this.#register();
    if (this.#timers.length === 0) {
      this.#timers.push(
        setInterval(() => {
          if (this.#server) this.#register();
        }, heartbeatMs),
      );
    }
  }

  stop(): void {
    this.#isStopped = true;
    for (const timer of this.#timers) clearInterval(timer);
    this.#end();
  }

  #end(): void {
    this.#server?.close();
    this.#server = undefined;
    for (const socket of this.#sockets) socket.destroy();
    this.#open.clear();
  }

  #register(): void {
    const { store, service } = this.#options;
    this.#registeredAtMs = Date.now();
    store.put(topics.servers, this.#id, {
      service,
      address: `127.0.0.1:${this.#port}`,
      zone: 'seoul-a',
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++this.#sequence,
      born: this.#born,
    });
  }

  /** Ends as a process does, with all its connections; its entry expires, and it is back later. */
  #crash(requestId: string): void {
    if (!this.#server) return;
    const { onCrash, store, record } = this.#options;
    const id = this.#id;
    const atMs = Date.now();
    const cut = [...this.#open].filter((other) => other !== requestId);
    record.note(`worker ${id} crashes under ${requestId}, with ${cut.length} other requests`);
    onCrash({ instanceId: id, atMs, cut });
    this.#end();
    setTimeout(
      () => {
        if (!this.#isStopped) store.put(topics.servers, id, undefined);
      },
      this.#registeredAtMs + expiryMs - atMs,
    );
    setTimeout(() => {
      if (!this.#isStopped) void this.start();
    }, backMs);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { onArrival, poison, record } = this.#options;
    const id = this.#id;
    request.resume();
    response.on('error', () => undefined);
    if (request.url === '/health') {
      response.writeHead(200, { [headers.instanceId]: id, ...this.#load }).end();
      return;
    }
    if (request.headers[headers.expectInstance] !== id) {
      response.writeHead(421, { [headers.instanceId]: id }).end();
      return;
    }
    if (this.#open.size >= slots) {
      response.writeHead(503, { [headers.notExecuted]: '1', ...this.#load }).end();
      return;
    }
    const requestId = String(request.headers[headers.requestId]);
    const parts = String(request.headers[headers.promptPrefix]).split(',');
    const isPoisoned =
      poison !== undefined && parts.slice(0, -1).some((part) => part.startsWith(`${poison}:`));
    onArrival({ requestId, instanceId: id, atMs: Date.now() });
    record.note(`worker ${id} has ${requestId}`);
    this.#open.add(requestId);
    response.once('close', () => this.#open.delete(requestId));
    const signed = { [headers.requestId]: requestId, [headers.seal]: `${id}.${requestId}` };
    const ownTokens = Number(parts.at(-1)?.split(':')[1] ?? 0);
    const firstEventMs = firstTokenMs + ownTokens / promptTokensPerMs;
    const leftMs = Number(request.headers[headers.deadlineMs]);
    await sleep(Math.min(leftMs, firstEventMs));
    if (response.destroyed || this.#id !== id) return;
    if (leftMs < firstEventMs) {
      response.writeHead(504, { ...signed, ...this.#load }).end();
      return;
    }
    response.writeHead(200, { ...signed, ...this.#load, 'content-type': 'text/event-stream' });
    if (isPoisoned) {
      response.flushHeaders();
      await sleep(2);
      if (this.#id === id) this.#crash(requestId);
      return;
    }
    const first = Number(request.headers[headers.lastEventId] ?? 0) + 1;
    for (let event = first; event <= events && this.#open.has(requestId); event++) {
      response.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
      await sleep(eventGapMs);
    }
    if (this.#open.has(requestId)) response.end();
  }
}

/** Number of events of a whole answer. */
export const answerEvents = events;
