import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayHarness, respondWith } from './gateway-harness.js';

/** Bytes that one read of a connection brings at most. */
const readBytes = 65_536;

const crowd = 4;

/** Chunks of one byte each, and the bytes that they take on the connection. */
const chunkCount = 350_000;
const chunks = Buffer.from('1\r\nx\r\n'.repeat(chunkCount));
const lastChunk = Buffer.from('0\r\n\r\n');

/** Long enough for all chunks on a busy machine: a body that is refused at its deadline is not read whole. */
const timeoutMs = 60_000;
const route = trafficRoute({ timeoutMs, objectiveMs: timeoutMs, maxAttempts: 1 });

/** Counts the turns of the event loop. */
class TurnCounter {
  turns = 0;
  #isOver = false;

  constructor() {
    const count = (): void => {
      this.turns += 1;
      if (!this.#isOver) setImmediate(count);
    };
    setImmediate(count);
  }

  stop(): void {
    this.#isOver = true;
  }
}

describe('many connections that deliver chunks of one byte', () => {
  let harness: GatewayHarness;
  let counter: TurnCounter;
  const sockets: Socket[] = [];
  const servers: Server[] = [];

  beforeEach(() => {
    harness = new GatewayHarness();
  });

  afterEach(async () => {
    counter.stop();
    for (const socket of sockets.splice(0)) socket.destroy();
    for (const server of servers.splice(0)) server.close();
    await harness.stop();
  });

  function open(port: number): Socket {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    return socket;
  }

  /** Sends a request and resolves with the first bytes of its answer. */
  function answerTo(head: string, body: Buffer): Promise<string> {
    const socket = open(harness.gateway.port);
    socket.write(head);
    socket.write(body);
    return new Promise((resolve) => {
      socket.once('data', (bytes: Buffer) => {
        resolve(bytes.toString());
      });
    });
  }

  /** An endpoint that answers in chunks of one byte. @returns its address. */
  async function rawEndpoint(): Promise<string> {
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', (request: Buffer) => {
        const [id] = /oriolestack-request-id: .*/.exec(request.toString()) ?? [];
        socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n`);
        socket.write(`oriolestack-server-seal: seal\r\n${id}\r\n\r\n`);
        socket.write(Buffer.concat([chunks, lastChunk]));
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Turns that the reading of the whole crowd takes if one read is handled in each. */
  const fairTurns = (crowd * chunks.length) / readBytes;

  // Up to 32 reads of each were handled before the next connection got its turn, so that nobody else
  // was answered for seconds.
  it('are read in turns as callers, one read in each', async () => {
    await harness.start(trafficConfig({ routes: [route] }), respondWith(200, 'done'));
    counter = new TurnCounter();
    const answers = Array.from({ length: crowd }, (_, caller) =>
      answerTo(
        `POST /x HTTP/1.1\r\nhost: shop.example\r\noriolestack-request-id: crowd-${caller}\r\n` +
          `oriolestack-deadline-ms: ${timeoutMs}\r\ntransfer-encoding: chunked\r\n\r\n`,
        Buffer.concat([chunks, lastChunk]),
      ),
    );
    for (const answer of await Promise.all(answers)) expect(answer).toMatch(/^HTTP\/1.1 200/);
    expect(counter.turns).toBeGreaterThan(fairTurns / 2);
  });

  // The same for endpoints that send their answers so.
  it('are read in turns as endpoints, one read in each', async () => {
    await harness.start(trafficConfig({ routes: [route] }));
    counter = new TurnCounter();
    const answers = Array.from({ length: crowd }, async (_, caller) => {
      harness.registerEndpoint(`i-${caller}`, await rawEndpoint(), false);
      return harness.call({ headers: { 'oriolestack-deadline-ms': String(timeoutMs) } });
    });
    for (const { status, body } of await Promise.all(answers))
      expect([status, body.length]).toEqual([200, chunkCount]);
    expect(counter.turns).toBeGreaterThan(fairTurns / 2);
  });
});
