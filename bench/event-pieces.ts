import { get, type IncomingMessage } from 'node:http';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { ReadTurns } from '../src/core/read-turns.js';
import { EventSplitter } from '../src/gateway/event-splitter.js';
import { BenchSuite, type BenchRow } from './suite.js';

/** Payloads of the chunks in which engines send their streams, in bytes. */
const pieceSizes = [4, 64, 1_024] as const;

const events = 40_000;
const eventBytes = 256;
const perEvents = 1_000;
const rounds = 5;

/** A way to read the events of a response. */
interface Reader {
  readonly name: string;
  /** @returns what takes each chunk. */
  begin(response: IncomingMessage): (chunk: Buffer) => void;
}

const turns = new ReadTurns();

const readers: readonly Reader[] = [
  { name: 'chunks alone', begin: () => () => undefined },
  {
    name: 'split into events, in turns',
    begin: (response) => {
      const splitter = new EventSplitter();
      const reads = turns.shareOf(response, () => 'endpoint');
      return (chunk) => {
        reads.count();
        splitter.push(chunk);
      };
    },
  },
  {
    // As it was done until 2026-12: the unfinished event is copied for each chunk.
    name: 'split with a copy for each chunk',
    begin: () => {
      const splitter = new EventSplitter();
      let pending: Buffer = Buffer.alloc(0);
      return (chunk) => {
        const all = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
        const end = all.lastIndexOf('\n\n') + 2;
        const isWhole = end >= 2;
        if (isWhole) splitter.push(all.subarray(0, end));
        pending = isWhole ? all.subarray(end) : all;
      };
    },
  },
];

/**
 * Processor time of reading event streams that come in chunks of one size, sending them included. An
 * engine that flushes each token in a chunk of its own is the usual load.
 *
 * @example
 * ```ts
 * const rows = await new EventPiecesSuite().run();
 * ```
 */
export class EventPiecesSuite extends BenchSuite {
  override readonly name = 'event-pieces';

  override async run(): Promise<BenchRow[]> {
    const rows: BenchRow[] = [];
    for (const pieceBytes of pieceSizes) {
      const server = await listen(streamInPieces(pieceBytes));
      for (const reader of readers) {
        const timesMs: number[] = [];
        for (let round = 0; round < rounds; round++) timesMs.push(await readMs(server, reader));
        rows.push({
          name: `${pieceBytes} bytes a chunk, ${reader.name}`,
          value: (Math.min(...timesMs) * perEvents) / events,
          unit: `ms/${perEvents} events`,
        });
      }
      server.close();
    }
    return rows;
  }
}

/** A chunked response with events of {@link eventBytes}, cut into chunks. */
function streamInPieces(pieceBytes: number): Buffer {
  const event = `data: ${'x'.repeat(eventBytes - 8)}\n\n`;
  const text = event.repeat(events);
  const parts = ['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n'];
  for (let at = 0; at < text.length; at += pieceBytes) {
    const piece = text.slice(at, at + pieceBytes);
    parts.push(`${piece.length.toString(16)}\r\n${piece}\r\n`);
  }
  return Buffer.from(`${parts.join('')}0\r\n\r\n`);
}

async function listen(answer: Buffer): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(answer));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

/** Processor time until a whole stream was read, in milliseconds. */
function readMs(server: Server, reader: Reader): Promise<number> {
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const started = process.cpuUsage();
    const request = get({ host: '127.0.0.1', port, agent: false }, (response) => {
      response.on('data', reader.begin(response));
      response.once('end', () => {
        const { user, system } = process.cpuUsage(started);
        resolve((user + system) / 1_000);
      });
    });
    request.once('error', reject);
  });
}
