import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface OpenStream {
  readonly response: ServerResponse;
  readonly stepMs: number;
  left: number;
  nextAtMs: number;
}

const tickMs = 2;
const eventJson =
  '{"id":"x","object":"chat.completion.chunk","created":0,"model":"bench","choices":' +
  '[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}';
const endJson = '{"id":"x","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}';

/**
 * Sends small server-sent events on many streams at a steady pace, each in a write of its own, so
 * that a relay pays for every event as it does in production. `x-events` and `x-step-ms` of a
 * request set the number and the pace; a step of 0 sends all at once.
 *
 * @internal
 */
export class EventSource {
  readonly #streams = new Set<OpenStream>();
  readonly #timer: NodeJS.Timeout;
  readonly #server: Server = createServer((request, response) => {
    if (request.url !== '/v1/chat/completions') {
      response.end('{"startedAtMs":1}');
      return;
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const { events, stepMs } = this.#paceOf(Buffer.concat(chunks).toString('utf8'));
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      const stream = { response, stepMs, left: events, nextAtMs: performance.now() };
      this.#streams.add(stream);
      response.once('close', () => this.#streams.delete(stream));
      this.#send(stream);
    });
  });

  constructor() {
    this.#timer = setInterval(() => {
      const nowMs = performance.now();
      for (const stream of this.#streams) {
        if (stream.nextAtMs <= nowMs) this.#send(stream);
      }
    }, tickMs);
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()));
    this.#server.closeAllConnections();
    await closed;
  }

  /** The prompt names events and pace as `events=N step_ms=M`. */
  #paceOf(body: string): { events: number; stepMs: number } {
    return {
      events: Number(/events=(\d+)/.exec(body)?.[1] ?? 10),
      stepMs: Number(/step_ms=(\d+)/.exec(body)?.[1] ?? 0),
    };
  }

  #send(stream: OpenStream): void {
    const { response, stepMs } = stream;
    do {
      if (stream.left === 0) {
        response.end(`data: ${endJson}\n\ndata: [DONE]\n\n`);
        this.#streams.delete(stream);
        return;
      }
      response.write(`data: ${eventJson}\n\n`);
      stream.left -= 1;
      stream.nextAtMs += stepMs;
    } while (stepMs === 0);
  }
}
