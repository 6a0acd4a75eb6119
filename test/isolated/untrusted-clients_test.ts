import { createServer, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { metricsAddress } from '../../platform/names.js';
import {
  LimitedGateway,
  chunkedHead,
  chunks,
  lastChunk,
  peerPort,
  readyPort,
  received,
  requestHead,
  sent,
  statusOf,
  type GatewayLimits,
} from './limited-gateway.js';

const mib = 1_048_576;

/** Lower than on any deployment, so that a small crowd would exceed them. */
const limits: GatewayLimits = { heapMb: 64, memoryMb: 200, maxFds: 500, maxBodyBytes: mib };

const maxRssBytes = limits.memoryMb * 1_000_000;

/** Time for which a crowd keeps its connections open after it has sent everything. */
const crowdStaysMs = 1_500;

/** Pause between two ordinary requests while a crowd acts. */
const ordinaryPauseMs = 50;

/**
 * How often callers send a request that may be repeated, and how long they wait after a connection that
 * was closed: in the first second of a crowd, none of its connections is known to be slow.
 */
const ordinaryTries = 4;
const ordinaryRetryMs = 400;

const timeoutMs = 90_000;

/** Run one after the other, as vitest does within a file: each starts a process and measures its memory. */
describe('a gateway process with clients that nobody controls', () => {
  let gateway: LimitedGateway;

  beforeEach(async () => {
    gateway = new LimitedGateway(limits);
    await gateway.start();
  });

  afterEach(async () => {
    await gateway.stop();
  });

  /** Lets a crowd of clients act at the same time and then checks the process. */
  async function withstands(
    clients: number,
    act: (client: number) => Promise<void>,
  ): Promise<void> {
    const crowd = Promise.all(Array.from({ length: clients }, (_, client) => act(client)));
    const crowdLeaves = crowd.then(() => sleep(crowdStaysMs));
    const statuses = await ordinaryStatusesUntil(crowdLeaves);
    await crowdLeaves;
    expect(statuses, gateway.log).toContain(200);
    // A refusal says that the request may be sent again; no answer says nothing.
    for (const status of statuses) expect([200, 503], gateway.log).toContain(status);
    expect(gateway.isAlive, gateway.log).toBe(true);
    expect(await gateway.ordinaryStatus()).toBe(200);
    expect(gateway.isAlive, gateway.log).toBe(true);
    expect(gateway.peakRssBytes).toBeLessThan(maxRssBytes);
    expect(gateway.peakFds).toBeLessThanOrEqual(limits.maxFds);
  }

  /** Status that a caller gets in the end who repeats a request whose connection was closed. */
  async function ordinaryStatusWithin(tries: number): Promise<number> {
    const status = await gateway.ordinaryStatus();
    if (status !== 0 || tries === 1) return status;
    await sleep(ordinaryRetryMs);
    return ordinaryStatusWithin(tries - 1);
  }

  /** Statuses of ordinary requests that are sent one after the other while a crowd acts. */
  async function ordinaryStatusesUntil(crowdLeaves: Promise<void>): Promise<number[]> {
    const crowd = { hasLeft: false };
    void crowdLeaves.then(() => (crowd.hasLeft = true));
    const statuses: number[] = [];
    while (!crowd.hasLeft) {
      statuses.push(await ordinaryStatusWithin(ordinaryTries));
      await sleep(ordinaryPauseMs);
    }
    return statuses;
  }

  /** Sends the beginning of a body and keeps the connection open. */
  async function sendOpenBody(bytes: number, chunkBytes: number): Promise<void> {
    const socket = gateway.connect();
    socket.resume();
    await sent(socket, chunkedHead());
    await sent(socket, chunks(bytes, chunkBytes));
  }

  describe('bodies', () => {
    // Each chunk was kept as an object of its own, which cost a hundred times its single byte.
    it(
      'serves one whole body just inside the limit in chunks of one byte',
      async () => {
        const socket = gateway.connect();
        const answer = received(socket);
        await sent(socket, chunkedHead('connection: close\r\n'));
        await sent(socket, chunks(mib - 1, 1));
        await sent(socket, lastChunk);
        expect(statusOf(await answer), gateway.log).toBe(200);
        await withstands(0, async () => undefined);
      },
      timeoutMs,
    );

    // The bytes of the bodies were counted, and not what was kept for them.
    it(
      'lives through open bodies in chunks of one byte',
      () => withstands(12, () => sendOpenBody(mib / 2, 1)),
      timeoutMs,
    );

    // The bound of all bodies was a constant, whatever the memory of the VM.
    it(
      'lives through open bodies in large chunks that stop just short of their end',
      () => withstands(120, () => sendOpenBody(mib - 65_536, 65_536)),
      timeoutMs,
    );

    it(
      'lives through bodies far over the limit that are announced',
      () =>
        withstands(20, async () => {
          const socket = gateway.connect();
          socket.resume();
          await sent(socket, requestHead('POST', '/safe/x', `content-length: ${16 * mib}\r\n`));
          await sent(socket, Buffer.alloc(16 * mib));
        }),
      timeoutMs,
    );

    it(
      'lives through bodies far over the limit that are not announced',
      () => withstands(20, () => sendOpenBody(16 * mib, 65_536)),
      timeoutMs,
    );
  });

  describe('framing', () => {
    it(
      'lives through heads, trailers and chunk extensions without end',
      () =>
        withstands(30, async (client) => {
          const socket = gateway.connect();
          socket.resume();
          const beginnings = [
            'GET /safe/x HTTP/1.1\r\n',
            `${chunkedHead()}1\r\nx\r\n0\r\n`,
            `${chunkedHead()}1;`,
          ];
          await sent(socket, beginnings[client % beginnings.length]!);
          await sent(socket, client % 3 === 2 ? 'x'.repeat(8 * mib) : 'a: b\r\n'.repeat(mib));
        }),
      timeoutMs,
    );

    it(
      'lives through connections whose clients have ended their side',
      () =>
        withstands(300, async (client) => {
          const socket = gateway.connect();
          socket.pause();
          const isWhole = client % 2 === 0;
          await sent(socket, isWhole ? requestHead('GET', '/stream/x') : chunkedHead());
          socket.end();
        }),
      timeoutMs,
    );
  });

  describe('stated sizes', () => {
    // A list with an entry for each 64 stated tokens filled the heap, and the process ended.
    it.each([10_000_000, 200_000_000, 2_000_000_000, 1e308])(
      'lives through prompts whose first part is stated as %d tokens',
      (tokens) =>
        withstands(8, async () => {
          const socket = gateway.connect();
          socket.resume();
          const prompt = `oriolestack-prompt-prefix: 5c1e07a2:${tokens},e4402b7d:250\r\n`;
          const usage = 'oriolestack-token-usage: 1460,80\r\n';
          await sent(socket, requestHead('GET', '/safe/x', prompt + usage));
        }),
      timeoutMs,
    );
  });

  describe('requests and responses', () => {
    // Requests that wait behind another one on their connection were read without a bound.
    it(
      'lives through thousands of requests behind one that is open',
      () =>
        withstands(8, async () => {
          const socket = gateway.connect();
          socket.resume();
          const open = requestHead('POST', '/stream/x', 'content-length: 0\r\n');
          await sent(socket, open);
          const next = requestHead('GET', '/stream/x');
          await Promise.race([sent(socket, next.repeat(20_000)), sleep(3_000)]);
        }),
      timeoutMs,
    );

    // Each of them keeps a response of up to a megabyte in memory.
    it(
      'lives through clients that do not read their responses',
      () =>
        withstands(150, async () => {
          const socket = gateway.connect();
          socket.pause();
          await sent(socket, requestHead('GET', '/bulk/x'));
        }),
      timeoutMs,
    );
  });

  describe('endpoints', () => {
    // Each chunk of a response that is kept until its end was an object of its own.
    it(
      'lives through responses in chunks of one byte that stop just short of their end',
      async () => {
        const server = createServer((socket) => {
          socket.on('error', () => undefined);
          socket.once('data', (request: Buffer) => {
            const [id] = /oriolestack-request-id: .*/.exec(request.toString()) ?? [];
            const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n';
            socket.write(`${head}oriolestack-server-seal: seal\r\n${id}\r\n\r\n`);
            socket.write(chunks(mib / 4, 1));
          });
        });
        await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
        await gateway.registerRaw((server.address() as AddressInfo).port);
        await withstands(16, async () => {
          const socket = gateway.connect();
          socket.resume();
          await sent(socket, requestHead('POST', '/raw/x', 'content-length: 0\r\n'));
          // Until the gateway has taken what the endpoint sends.
          await sleep(6 * crowdStaysMs);
        });
        server.close();
      },
      timeoutMs,
    );
  });

  describe('connections', () => {
    // Each connection takes a descriptor, which connections to endpoints and the store need too.
    it(
      'lives through more connections than it has descriptors',
      () =>
        withstands(900, async () => {
          const socket = gateway.connect();
          socket.resume();
          await sent(socket, 'GET /safe/x HTTP/1.1\r\nhost: sh');
        }),
      timeoutMs,
    );
  });

  describe('listeners that are not meant for callers', () => {
    const read = '/replica/read?topic=keyed.op&from=1000000000&wait_ms=5000';

    // Each read waits for a record that does not come, with all that was read behind it.
    it(
      'lives through thousands of reads of copies on one connection',
      () =>
        withstands(8, async () => {
          const socket = gateway.connect(peerPort);
          socket.resume();
          const text = `GET ${read} HTTP/1.1\r\nhost: x\r\n\r\n`.repeat(20_000);
          await Promise.race([sent(socket, text), sleep(3_000)]);
        }),
      timeoutMs,
    );

    // The body of a read was left on its connection, where each chunk is an object.
    it(
      'lives through reads of copies with bodies in chunks of one byte',
      () =>
        withstands(60, async () => {
          const socket = gateway.connect(peerPort);
          socket.resume();
          const head = `POST ${read} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n`;
          await Promise.race([sent(socket, head + chunks(mib / 4, 1).toString()), sleep(3_000)]);
        }),
      timeoutMs,
    );

    it.each([
      ['of readiness', readyPort],
      ['of metrics', metricsAddress.port],
      ['between daemons', peerPort],
    ])(
      'lives through more connections to the listener %s than it has descriptors',
      (_name, port) =>
        withstands(900, async () => {
          const socket = gateway.connect(port);
          socket.resume();
          await sent(socket, 'GET /x HTTP/1.1\r\nhost: sh');
        }),
      timeoutMs,
    );
  });
});
