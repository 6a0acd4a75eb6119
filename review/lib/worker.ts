import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { headers } from '../../platform/names.js';

/** One request at a worker. */
export interface WorkerRequest {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Number of the first event to send: the one after `Last-Event-Id`. */
  readonly firstEvent: number;
}

/** Options of {@link Worker}. */
export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  /** Runs a request; the worker has taken it up. */
  readonly run: (request: WorkerRequest, worker: Worker) => Promise<void>;
}

/** Stand-in for a worker that keeps to the pages: names its id, echoes request ids, signs answers. */
export class Worker {
  readonly options: WorkerOptions;
  readonly born = Date.now();
  /** Requests at work now. */
  running = 0;
  readonly #server: Server;
  #sequence = 0;

  constructor(options: WorkerOptions) {
    this.options = options;
    this.#server = createServer((request, response) => void this.#handle(request, response));
  }

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Ends at once, with all connections, as a process that crashes. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** What the worker says of itself in the platform's store. */
  entry(): Record<string, unknown> {
    const { service, zone, slots } = this.options;
    const { port } = this.#server.address() as AddressInfo;
    return {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: 1,
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++this.#sequence,
      born: this.born,
    };
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { id, run } = this.options;
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    await new Promise((resolve) => request.once('end', resolve));
    if (request.url === '/health') {
      response.writeHead(200, { [headers.instanceId]: id }).end();
      return;
    }
    const requestId = String(request.headers[headers.requestId] ?? '');
    const echo = { [headers.requestId]: requestId };
    if (request.headers[headers.expectInstance] !== id) {
      response.writeHead(421, { ...echo, [headers.notExecuted]: '1' }).end();
      return;
    }
    for (const [name, value] of Object.entries(echo)) response.setHeader(name, value);
    response.setHeader(headers.seal, `${id}.${requestId}`);
    const firstEvent = Number(request.headers[headers.lastEventId] ?? 0) + 1;
    this.running += 1;
    try {
      await run({ id: requestId, request, response, firstEvent }, this);
    } finally {
      this.running -= 1;
    }
  }
}
