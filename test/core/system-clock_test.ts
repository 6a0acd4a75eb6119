import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/core/index.js';
import { HttpConnection } from '../../src/core/http-connection.js';

/** Keeps the event loop from running. */
function standStill(ms: number): void {
  const untilMs = Date.now() + ms;
  while (Date.now() < untilMs);
}

describe('after a stall of the event loop', () => {
  let server: Server;
  let accepted: Socket;
  let port: number;

  beforeEach(async () => {
    server = createServer((socket) => (accepted = socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    ({ port } = server.address() as AddressInfo);
  });

  afterEach(() => {
    accepted.destroy();
    server.close();
  });

  it('a deadline passes after what arrived before it is read, so that no response is given up', async () => {
    const clock = new SystemClock();
    const socket = connect({ host: '127.0.0.1', port });
    await once(server, 'connection');
    const order: string[] = [];
    socket.on('data', () => order.push('response'));
    const passed = new Promise<void>((resolve) => {
      clock.schedule(clock.nowMs() + 100, () => {
        order.push('deadline');
        resolve();
      });
    });
    accepted.write('x');
    standStill(300);
    await passed;
    expect(order).toEqual(['response', 'deadline']);
    socket.destroy();
  });

  it('a cancelled deadline does not pass, although its time has come', async () => {
    const clock = new SystemClock();
    const socket = connect({ host: '127.0.0.1', port });
    await once(server, 'connection');
    let hasPassed = false;
    const cancel = clock.schedule(clock.nowMs() + 100, () => (hasPassed = true));
    socket.on('data', cancel);
    accepted.write('x');
    standStill(300);
    await clock.sleepUntil(clock.nowMs() + 100);
    expect(hasPassed).toBe(false);
    socket.destroy();
  });

  it('a call over a connection gets the response that arrived before its timeout', async () => {
    const connection = new HttpConnection({ host: '127.0.0.1', port });
    const called = connection.call({ method: 'GET', path: '/', timeoutMs: 300 });
    await once(server, 'connection');
    await once(accepted, 'data');
    accepted.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
    standStill(500);
    expect((await called).status).toBe(200);
    connection.close();
  });
});
