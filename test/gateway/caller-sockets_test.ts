import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { afterEach, describe, expect, it } from 'vitest';
import { CallerSockets } from '../../src/gateway/caller-sockets.js';

const request = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';

/** Resolves once all events have been handled. */
const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** A connection whose other end reads only when the test says so. */
class SlowSocket extends Duplex {
  bytesRead = 0;
  readonly #pending: (() => void)[] = [];

  override _read(): void {
    // Bytes come by `receive`.
  }

  override _write(_chunk: unknown, _encoding: string, callback: () => void): void {
    this.#pending.push(callback);
  }

  setTimeout(): this {
    return this;
  }

  receive(text: string): void {
    this.bytesRead += text.length;
    this.push(text);
  }

  /** Reads until no more comes. */
  async drain(): Promise<void> {
    while (this.#pending.length > 0) {
      for (const callback of this.#pending.splice(0)) callback();
      await nextTurn();
    }
  }
}

describe('CallerSockets', () => {
  let server: Server;

  afterEach(() => {
    server.close();
  });

  /** Connects a slow socket to a server whose connections are kept in `sockets`. */
  function connect(sockets: CallerSockets): SlowSocket {
    server = createServer((incoming, response) => {
      sockets.requestBegan(incoming.socket);
      response.once('close', () => {
        sockets.requestEnded(incoming.socket);
      });
      response.end('answer');
    });
    const slow = new SlowSocket();
    sockets.add(slow as unknown as Socket);
    server.emit('connection', slow);
    return slow;
  }

  it('cuts no response that has been ended but not sent, as a stop beside slow callers did', async () => {
    const sockets = new CallerSockets();
    const slow = connect(sockets);
    slow.receive(request);
    await nextTurn();
    sockets.closeIdle();
    expect(slow.destroyed).toBe(false);
    await slow.drain();
    sockets.closeIdle();
    expect(slow.destroyed).toBe(true);
  });

  it('leaves connections open whose first or next request is awaited or half read', async () => {
    const sockets = new CallerSockets();
    const slow = connect(sockets);
    sockets.closeIdle();
    expect(slow.destroyed).toBe(false);
    slow.receive(request);
    await nextTurn();
    await slow.drain();
    slow.receive(request.slice(0, 5));
    sockets.closeIdle();
    expect(slow.destroyed).toBe(false);
  });
});
