import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { ClientRequest } from 'node:http';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { listen } from '../../src/core/listener.js';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayHarness } from './gateway-harness.js';

const streamRoute = trafficRoute({
  kind: RequestKind.Stream,
  isResumable: true,
  timeoutMs: 8_000,
  objectiveBetweenEventsMs: 100,
});
const streams = trafficConfig({ routes: [streamRoute] });

/** How a raw endpoint handles the head of a request; `requestId` is that of the request. */
type RawBehaviour = (socket: Socket, requestId: string) => void;

/** Head of a signed response. */
function head(requestId: string, ...lines: string[]): string {
  return [
    'HTTP/1.1 200 OK',
    `oriolestack-request-id: ${requestId}`,
    'oriolestack-server-seal: seal',
    ...lines,
    '\r\n',
  ].join('\r\n');
}

/** Writes for as long as the receiver takes it. */
function writeForever(socket: Socket, piece: string): void {
  const fill = (): void => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on('drain', fill);
  fill();
}

function every(socket: Socket, intervalMs: number, piece: (count: number) => string): void {
  let count = 0;
  const timer = setInterval(() => socket.write(piece(++count)), intervalMs);
  socket.once('close', () => {
    clearInterval(timer);
  });
}

/** Time that passes on an idle machine: while this process works and while it has nothing to do. */
function stopwatch(): () => number {
  const startedAtIdleMs = performance.eventLoopUtilization().idle;
  const started = process.cpuUsage();
  return () => {
    const { user, system } = process.cpuUsage(started);
    const idleMs = performance.eventLoopUtilization().idle - startedAtIdleMs;
    return idleMs + (user + system) / 1_000;
  };
}

describe('an endpoint that misbehaves', () => {
  let harness: GatewayHarness;
  const servers: Server[] = [];
  const sockets = new Set<Socket>();

  /** Adds an endpoint that writes raw bytes. */
  async function addRawEndpoint(behaviour: RawBehaviour): Promise<string> {
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      let received = '';
      socket.on('data', (bytes: Buffer) => {
        received += bytes.toString();
        if (!received.includes('\r\n\r\n')) return;
        const [, requestId = ''] = /oriolestack-request-id: (\S+)/.exec(received) ?? [];
        received = '';
        behaviour(socket, requestId);
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const baseUrl = `http://127.0.0.1:${port}`;
    harness.registerEndpoint('raw', baseUrl);
    return baseUrl;
  }

  beforeEach(() => {
    harness = new GatewayHarness();
  });

  afterEach(async () => {
    await harness.stop();
    for (const socket of sockets) socket.destroy();
    for (const server of servers.splice(0)) server.close();
  });

  const callStream = (): ReturnType<GatewayHarness['call']> =>
    harness.call({
      method: 'POST',
      body: 'prompt',
      headers: { 'oriolestack-deadline-ms': '8000' },
    });

  describe('sends bytes without end', () => {
    it.each<[string, RawBehaviour]>([
      [
        'an event',
        (socket, id) => {
          socket.write(head(id, 'content-type: text/event-stream') + 'data: ');
          writeForever(socket, 'x'.repeat(65_536));
        },
      ],
      [
        'header lines',
        (socket) => {
          socket.write('HTTP/1.1 200 OK\r\n');
          writeForever(socket, `a: ${'x'.repeat(1_000)}\r\n`);
        },
      ],
      [
        'interim responses',
        (socket) => {
          writeForever(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n');
        },
      ],
      [
        'a chunk extension',
        (socket, id) => {
          socket.write(head(id, 'transfer-encoding: chunked') + '5;');
          writeForever(socket, 'x'.repeat(65_536));
        },
      ],
    ])(
      'its request fails within a second and memory stays flat: %s',
      async (_kind, behaviour) => {
        await harness.start(streams);
        await addRawEndpoint(behaviour);
        const beforeBytes = process.memoryUsage().rss;
        const elapsedMs = stopwatch();
        const response = await callStream();
        expect(elapsedMs()).toBeLessThan(1_000);
        expect(response.status).toBe(502);
        expect(process.memoryUsage().rss - beforeBytes).toBeLessThan(150 * 1_048_576);
      },
      10_000,
    );

    it('interim responses that were read together end the request once, so that they hold up no others', async () => {
      await harness.start(streams);
      await addRawEndpoint((socket) => {
        socket.write('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2_000));
      });
      const destroy = vi.spyOn(ClientRequest.prototype, 'destroy');
      expect((await callStream()).status).toBe(502);
      // Once for the limit, once by the attempt that ends.
      expect(destroy.mock.calls.length).toBeLessThanOrEqual(2);
      destroy.mockRestore();
    });

    it('a body is passed on no faster than its caller reads, so that memory stays flat', async () => {
      await harness.start(trafficConfig());
      await addRawEndpoint((socket, id) => {
        socket.write(head(id));
        writeForever(socket, 'x'.repeat(65_536));
      });
      const beforeBytes = process.memoryUsage().rss;
      const caller = connect({ host: '127.0.0.1', port: harness.gateway.port });
      caller.write('GET /x HTTP/1.1\r\nhost: shop.example\r\noriolestack-request-id: r\r\n\r\n');
      await new Promise((resolve) => setTimeout(resolve, 1_000));
      expect(process.memoryUsage().rss - beforeBytes).toBeLessThan(150 * 1_048_576);
      caller.destroy();
    });
  });

  describe('stalls a stream', () => {
    const firstEvent = 'id: 1\ndata: 1\n\n';

    it.each([
      ['a byte now and then', () => 'x'],
      ['comments', () => ': wait\n\n'],
    ])(
      'its stream ends soon after callers would leave: %s',
      async (_kind, piece) => {
        await harness.start(streams);
        await addRawEndpoint((socket, id) => {
          socket.write(head(id, 'content-type: text/event-stream') + firstEvent);
          every(socket, 100, piece);
        });
        const startedAtMs = Date.now();
        const response = await callStream();
        expect(response.isComplete).toBe(false);
        expect(Date.now() - startedAtMs).toBeLessThan(4_000);
      },
      10_000,
    );

    it('a slow but sound stream is never cut', async () => {
      await harness.start(streams);
      await addRawEndpoint((socket, id) => {
        socket.write(head(id, 'content-type: text/event-stream', 'connection: close') + firstEvent);
        every(socket, 1_400, (count) => {
          // After its own fifth event, however late its timer is.
          if (count === 4) setImmediate(() => socket.end());
          return `id: ${count + 1}\ndata: x\n\n`;
        });
      });
      const response = await callStream();
      expect(response.isComplete).toBe(true);
      expect(response.body).toContain('id: 5\n');
    }, 10_000);
  });

  it('sends an answer before it was asked: no caller gets it', async () => {
    await harness.start(trafficConfig());
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.write(head('nobody', 'content-length: 2').replace(/oriolestack-request-id.*\r\n/, ''));
      socket.write('ok');
    });
    servers.push(server);
    const port = await listen(server, '127.0.0.1', 0);
    harness.registerEndpoint('i-1', `http://127.0.0.1:${port}`);
    for (let number = 0; number < 5; number++) {
      expect((await harness.call()).status).toBe(503);
    }
  });

  describe('sends a second copy of an answer on a kept connection', () => {
    const answerTo = (id: string, body: string): string =>
      `${head(id, `content-length: ${body.length}`)}${body}`;

    it.each<[string, (id: string) => string]>([
      ['with its id', (id) => answerTo(id, `for ${id}`)],
      [
        'without an id',
        (id) => answerTo(id, `for ${id}`).replace(/oriolestack-request-id.*\r\n/, ''),
      ],
    ])('the next caller does not get it: %s', async (_kind, copyOf) => {
      await harness.start(trafficConfig());
      await addRawEndpoint((socket, id) => {
        // The copy comes while the connection is idle, or while the next request waits.
        setTimeout(() => socket.write(answerTo(id, `for ${id}`)), 40);
        setTimeout(() => socket.write(copyOf(id)), 60);
      });
      for (let number = 0; number < 8; number++) {
        const response = await harness.call();
        if (response.status === 200) expect(response.body).toBe(`for request-${number}`);
        await new Promise((resolve) => setTimeout(resolve, number % 2 === 0 ? 0 : 60));
      }
    });
  });

  describe('writes a refusal that is not of this request', () => {
    const refusal = (...lines: string[]): string =>
      [
        'HTTP/1.1 503 Unavailable',
        'oriolestack-not-executed: 1',
        'content-length: 0',
        ...lines,
        '\r\n',
      ].join('\r\n');
    const repeats: [string, (previousId: string) => string][] = [
      ['with the id of an earlier one', (id) => refusal(`oriolestack-request-id: ${id}`)],
      ['without an id', () => refusal()],
    ];

    // Callers were told 'not run, try again' for requests that had run.
    it.each(repeats)('no caller gets it from a kept connection: %s', async (_kind, repeat) => {
      await harness.start(trafficConfig({ routes: [trafficRoute({ maxAttempts: 1 })] }));
      const answered: string[] = [];
      await addRawEndpoint((socket, id) => {
        const previousId = answered.at(-1) ?? '';
        answered.push(id);
        const isRepeat = answered.length % 2 === 0;
        if (isRepeat) socket.write(repeat(previousId));
        socket.write(`${head(id, 'content-length: 2')}ok`);
        // Also while the connection is idle.
        if (!isRepeat) setTimeout(() => socket.write(repeat(id)), 30);
      });
      const statuses: number[] = [];
      for (let number = 0; number < 8; number++) {
        statuses.push((await harness.call()).status);
        await harness.wait(number % 4 === 0 ? 50 : 0);
      }
      expect(statuses.filter((status) => ![200, 502].includes(status))).toEqual([]);
    });

    it('an order that ran is not reported as refused, and runs once', async () => {
      const route = trafficRoute({ kind: RequestKind.AtMostOnce });
      await harness.start(trafficConfig({ routes: [route] }));
      let arrivals = 0;
      await addRawEndpoint((socket, id) => {
        arrivals += 1;
        socket.write(refusal('oriolestack-request-id: another'));
        socket.write(`${head(id, 'content-length: 2')}ok`);
      });
      expect((await harness.call({ method: 'POST', body: 'order' })).status).toBe(502);
      expect(arrivals).toBe(1);
    });

    it('a connection that bore a refusal bears no other request', async () => {
      await harness.start(trafficConfig());
      const connections = new Set<Socket>();
      let arrivals = 0;
      await addRawEndpoint((socket, id) => {
        arrivals += 1;
        connections.add(socket);
        socket.write(refusal(`oriolestack-request-id: ${id}`));
      });
      for (let number = 0; number < 4; number++) {
        expect((await harness.call()).status).toBe(503);
      }
      expect(connections.size).toBe(arrivals);
    });
  });

  // Callers got a 200 with an empty or short body, framed as whole.
  describe('breaks off in the middle of its answer', () => {
    const framings: [string, string, string][] = [
      ['with a length', 'content-length: 5', 'whole'],
      ['in chunks', 'transfer-encoding: chunked', '5\r\nwhole\r\n0\r\n\r\n'],
      [
        'in chunks with a trailer',
        'transfer-encoding: chunked',
        '5\r\nwhole\r\n0\r\nx-check: 1\r\n\r\n',
      ],
    ];
    const ends: [string, (socket: Socket) => void][] = [
      ['closed', (socket) => socket.end()],
      ['reset', (socket) => socket.resetAndDestroy()],
    ];

    it.each(framings.flatMap((framing) => ends.map((end) => [...framing, ...end] as const)))(
      'no part of it counts as whole: %s, %s %s, then %s',
      async (_framing, header, body, _end, end) => {
        await harness.start(trafficConfig({ routes: [trafficRoute({ maxAttempts: 1 })] }));
        let cutAt = 0;
        let whole = '';
        const baseUrl = await addRawEndpoint((socket, id) => {
          whole = head(id, header) + body;
          socket.write(whole.slice(0, cutAt), () => {
            end(socket);
          });
        });
        const broken: string[] = [];
        do {
          cutAt += 1;
          // A later start is another endpoint, of which no failures are known.
          harness.registerEndpoint('raw', baseUrl, false, cutAt + 1);
          const response = await harness.call();
          if (response.status !== 502 && cutAt < whole.length)
            broken.push(`${cutAt}: ${response.status} "${response.body}"`);
        } while (cutAt < whole.length - 1);
        expect(broken).toEqual([]);
      },
      30_000,
    );

    it('a stream without a length is not complete when its connection is reset', async () => {
      await harness.start(trafficConfig({ routes: [{ ...streamRoute, maxAttempts: 1 }] }));
      await addRawEndpoint((socket, id) => {
        socket.write(`${head(id, 'content-type: text/event-stream')}id: 1\ndata: 1\n\n`, () => {
          setTimeout(() => socket.resetAndDestroy(), 20);
        });
      });
      expect(await callStream()).toMatchObject({ status: 200, isComplete: false });
    });
  });
});
