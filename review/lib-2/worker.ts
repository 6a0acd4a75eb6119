import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

/** A request as a worker received it. */
export interface WorkerRun {
  readonly worker: string;
  readonly requestId: string;
  readonly tenant: string;
  /** Epoch milliseconds. */
  readonly atMs: number;
}

/** Options of {@link Worker}. */
export interface WorkerOptions {
  readonly id: string;
  readonly slots: number;
  /** Time that a plain request takes, in milliseconds. */
  readonly workMs: number;
  /** Events of a stream, and the time between two, in milliseconds. */
  readonly events: number;
  readonly gapMs: number;
  /** Prompt tokens that fit in its memory; a larger request is rejected as if it were full. */
  readonly kvTokens: number;
  /** Called with each request that it begins to run. */
  readonly onRun: (run: WorkerRun) => void;
  /** Called with each request that it has run to the end, as the last byte was written. */
  readonly onDone: (run: WorkerRun) => void;
}

/** A sound worker: one service, whole answers, streams with increasing ids. */
export class Worker {
  readonly id: string;
  readonly #options: WorkerOptions;
  readonly #server: Server;
  #running = 0;
  /** Sent without end on each stream that runs, while it is in trouble. */
  #noise: Buffer | undefined;

  constructor(options: WorkerOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      void this.#handle(request, response).catch(() => response.destroy());
    });
  }

  /** Address as IP:PORT. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  /**
   * Falls into trouble: from now on, bytes that are no answer come without end in the body of each
   * stream, until the caller closes: in chunks of four bytes, as an engine writes that flushes each token.
   */
  fallIntoTrouble(): void {
    this.#noise = Buffer.from('4\r\nxxxx\r\n'.repeat(6_000));
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Requests that run and wait, slots, and the speed of the machine. */
  get #load(): Record<string, string> {
    return { 'oriolestack-server-load': `${this.#running},0,${this.#options.slots},100` };
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { id, kvTokens, workMs, onRun, onDone } = this.#options;
    await buffer(request);
    if (request.url === '/health') {
      response.writeHead(200, { 'oriolestack-instance-id': id, ...this.#load }).end();
      return;
    }
    const requestId = textOf(request, 'oriolestack-request-id');
    if (textOf(request, 'oriolestack-expect-instance') !== id) {
      response.writeHead(421, { 'oriolestack-instance-id': id }).end();
      return;
    }
    const tokens = textOf(request, 'oriolestack-prompt-prefix')
      .split(',')
      .reduce((sum, part) => sum + Number(part.split(':')[1] ?? 0), 0);
    const usage = Number(textOf(request, 'oriolestack-token-usage').split(',')[0]);
    if (Math.max(tokens, usage) > kvTokens) {
      response.writeHead(503, { 'oriolestack-not-executed': '1' }).end();
      return;
    }
    const tenant = textOf(request, 'oriolestack-tenant');
    const run = { worker: id, requestId, tenant, atMs: Date.now() };
    this.#running += 1;
    response.once('close', () => {
      this.#running -= 1;
    });
    onRun(run);
    const head = {
      'oriolestack-request-id': requestId,
      'oriolestack-server-seal': `${id}.${requestId}`,
      ...this.#load,
    };
    if (request.url?.includes('/stream/') === true) {
      await this.#stream(request, response, head);
    } else {
      await sleep(workMs);
      const body = `${id} ran ${requestId}`;
      response.writeHead(200, { ...head, 'content-length': body.length }).end(body);
    }
    onDone(run);
  }

  async #stream(
    request: IncomingMessage,
    response: ServerResponse,
    head: Readonly<Record<string, string>>,
  ): Promise<void> {
    const { events, gapMs } = this.#options;
    const first = Number(textOf(request, 'last-event-id')) + 1;
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
    for (let event = first; event <= events; event += 1) {
      await sleep(gapMs);
      if (this.#noise) await this.#sendNoise(response, this.#noise);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
    }
    response.end();
  }

  async #sendNoise(response: ServerResponse, noise: Buffer): Promise<void> {
    const { socket } = response;
    while (socket && !socket.destroyed) {
      if (!socket.write(noise))
        await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(() => undefined);
    }
  }
}

function textOf({ headers }: IncomingMessage, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}
