import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { headers, topics } from '../../platform/names.js';
import { ListeningServer } from '../../src/standins/listening-server.js';
import type { StoreServer } from '../../platform/standins/store-server.js';
import { heartbeatMs } from './world.js';

const slots = 6;
const workMs = 30;

/** A sound worker of a plain service. */
export class PlainWorker extends ListeningServer {
  readonly #id: string;
  readonly #service: string;
  readonly #store: StoreServer;
  readonly #born = Date.now();
  #sequence = 0;
  #running = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(id: string, service: string, store: StoreServer) {
    super();
    this.#id = id;
    this.#service = service;
    this.#store = store;
  }

  async start(): Promise<void> {
    await this.listen();
    this.#register();
    this.#timer = setInterval(() => {
      this.#register();
    }, heartbeatMs);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.close();
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    request.resume();
    if (request.url === '/health') {
      response.writeHead(200, { [headers.instanceId]: this.#id, ...this.#load }).end();
      return;
    }
    if (request.headers[headers.expectInstance] !== this.#id) {
      response.writeHead(421, { [headers.instanceId]: this.#id }).end();
      return;
    }
    if (this.#running >= slots) {
      response.writeHead(503, { [headers.notExecuted]: '1', ...this.#load }).end();
      return;
    }
    this.#running += 1;
    await sleep(workMs);
    this.#running -= 1;
    const requestId = String(request.headers[headers.requestId]);
    response
      .writeHead(200, {
        [headers.requestId]: requestId,
        [headers.seal]: `${this.#id}.${requestId}`,
        ...this.#load,
      })
      .end(JSON.stringify({ requestId }));
  }

  get #load(): OutgoingHttpHeaders {
    return { [headers.serverLoad]: `${this.#running},0,${slots},100` };
  }

  #register(): void {
    this.#store.put(topics.servers, this.#id, {
      service: this.#service,
      address: `127.0.0.1:${this.port}`,
      zone: 'seoul-a',
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++this.#sequence,
      born: this.#born,
    });
  }
}
