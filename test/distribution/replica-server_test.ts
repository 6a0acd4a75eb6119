import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Random, SystemClock } from '../../src/core/index.js';
import { AppendBatcher, HttpReplicaClient, ReplicaServer } from '../../src/distribution/index.js';
import { HistoryTrimmedError } from '../../src/log/keyed-log.js';
import { KeyedReplica } from '../../src/log/keyed-replica.js';
import { LogUnavailableError } from '../../src/log/log-errors.js';
import { KeyedLogFault, MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { NullEventLog } from '../../src/telemetry/index.js';

const host = '127.0.0.1';

describe('ReplicaServer', () => {
  const clock = new SystemClock();
  const events = new NullEventLog();
  let store: MemoryKeyedLog;
  let replica: KeyedReplica;
  let server: ReplicaServer;
  let client: HttpReplicaClient;
  let address: string;

  beforeEach(async () => {
    store = new MemoryKeyedLog();
    store.put('t', 'a', '1');
    replica = new KeyedReplica({
      log: store,
      topic: 't',
      clock,
      random: new Random(1),
      events,
      waitMs: 100,
      minReadIntervalMs: () => 20,
      minOutageMs: 1_200,
    });
    replica.start();
    const batcher = new AppendBatcher({ log: store, topic: 't', clock, maxDelayMs: 10 });
    server = new ReplicaServer({
      replicas: [replica],
      batchers: new Map([['t', batcher]]),
      clock,
      events,
    });
    address = `${host}:${await server.listen(host, 0)}`;
    client = new HttpReplicaClient();
    await clock.sleepUntil(clock.nowMs() + 50);
  });

  afterEach(async () => {
    replica.stop();
    client.close();
    await server.close();
  });

  it('answers a waiting read as soon as a record is there', async () => {
    const read = client.read(address, 't', 1, 1_000);
    store.put('t', 'b', '2');
    const { records, endOffset, copyAgeMs } = await read;
    expect(records.map(({ key, offset }) => [key, offset])).toEqual([['b', 1]]);
    expect(endOffset).toBe(2);
    expect(copyAgeMs).toBeLessThan(500);
  });

  it('refuses to pass a copy on once its reads fail, so that no reader lives on old state', async () => {
    store.fault = KeyedLogFault.Down;
    await clock.sleepUntil(clock.nowMs() + 100);
    await expect(client.read(address, 't', 1, 0)).rejects.toThrow(LogUnavailableError);
  });

  it('tells a reader that is too far behind from a daemon that fails', async () => {
    await expect(client.read(address, 't', 0, 0)).rejects.toThrow(HistoryTrimmedError);
  });

  it('stores what other daemons append', async () => {
    await client.append(address, 't', { key: 'c', value: Buffer.from('3') });
    expect((await store.newest('t')).records.map(({ key }) => key)).toContain('c');
  });

  it.each(['GET /replica/read?topic=t&from=x', 'GET /other', 'POST /replica/append?topic=none'])(
    'outlives a call that makes no sense: %s',
    async (line) => {
      const socket = connect({ host, port: Number(address.split(':')[1]) });
      socket.on('error', () => undefined);
      socket.write(`${line} HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc`);
      const head = await new Promise<string>((resolve) => {
        socket.once('data', (bytes) => {
          resolve(bytes.toString());
        });
      });
      socket.destroy();
      expect(head).toMatch(/^HTTP\/1.1 (400|404|503)/);
      expect((await client.read(address, 't', 1, 0)).records).toEqual([]);
    },
  );

  it('reads elsewhere when a daemon sends a byte now and then, so that no change waits for it', async () => {
    const dripping = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n');
        const timer = setInterval(() => socket.write('x'), 50);
        socket.once('close', () => {
          clearInterval(timer);
        });
      });
    });
    await new Promise<void>((resolve) => dripping.listen(0, host, resolve));
    const { port } = dripping.address() as AddressInfo;
    await expect(client.read(`${host}:${port}`, 't', 1, 0)).rejects.toThrow(LogUnavailableError);
    dripping.close();
  }, 5_000);

  describe('a daemon that sends bytes without end', () => {
    let endless: Server;
    const sockets = new Set<Socket>();

    async function startEndless(head: string, piece: string): Promise<string> {
      endless = createServer((socket) => {
        sockets.add(socket);
        socket.on('error', () => undefined);
        const fill = (): void => {
          while (!socket.destroyed && socket.write(piece));
        };
        socket.once('data', () => {
          socket.write(head);
          fill();
        });
        socket.on('drain', fill);
      });
      await new Promise<void>((resolve) => endless.listen(0, host, resolve));
      return `${host}:${(endless.address() as AddressInfo).port}`;
    }

    afterEach(() => {
      for (const socket of sockets) socket.destroy();
      endless.close();
    });

    it.each([
      ['a body', 'HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(65_536)],
      ['a head', 'HTTP/1.1 200 OK\r\n', `x: ${'y'.repeat(1_000)}\r\n`],
      ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
    ])('fails the call in time and keeps memory flat: %s', async (_kind, head, piece) => {
      const endlessAddress = await startEndless(head, piece);
      const before = process.memoryUsage().rss;
      await expect(client.read(endlessAddress, 't', 1, 300)).rejects.toThrow(LogUnavailableError);
      expect(process.memoryUsage().rss - before).toBeLessThan(150 * 1_048_576);
    });
  });
});
