import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** An answer as it came, on a connection that has ended. */
export interface RawAnswer {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly isWhole: boolean;
}

/** Options of {@link sendPipelined}. */
export interface PipelinedOptions {
  readonly host: string;
  readonly port: number;
  /** Requests as they go over the wire; the last one asks for the end of the connection. */
  readonly requests: readonly string[];
  /** Time for which the caller stops reading after the first bytes, in milliseconds. */
  readonly readPauseMs: number;
  /** Epoch milliseconds. */
  readonly giveUpAtMs: number;
}

/** What became of pipelined requests. */
export interface PipelinedResult {
  /** Whether there was a connection to send them on. */
  readonly isSent: boolean;
  readonly answers: readonly RawAnswer[];
}

const headEnd = '\r\n\r\n';

/**
 * Sends requests on one connection without waiting for answers, and reads until it ends. HTTP clients
 * stop reading at `connection: close`; here everything counts that a gateway sends.
 */
export async function sendPipelined(options: PipelinedOptions): Promise<PipelinedResult> {
  const { host, port, requests, readPauseMs, giveUpAtMs } = options;
  const chunks: Buffer[] = [];
  let isSent = false;
  await new Promise<void>((resolve) => {
    const socket = connect({ host, port, noDelay: true }, () => {
      isSent = true;
      for (const request of requests) socket.write(request);
    });
    const timer = setTimeout(() => socket.destroy(), giveUpAtMs - Date.now());
    socket.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      if (chunks.length > 1 || readPauseMs === 0) return;
      socket.pause();
      void sleep(readPauseMs).then(() => socket.resume());
    });
    socket.on('error', () => undefined); // The end of the connection is judged, however it comes.
    socket.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
  return { isSent, answers: answersOf(Buffer.concat(chunks)) };
}

/** Answers in the bytes of a connection; the last one may be cut. */
export function answersOf(bytes: Buffer): RawAnswer[] {
  const answers: RawAnswer[] = [];
  for (let at = 0; ;) {
    const endOfHead = bytes.indexOf(headEnd, at);
    if (endOfHead < 0) return answers;
    const [statusLine = '', ...lines] = bytes.toString('latin1', at, endOfHead).split('\r\n');
    const headers = new Map(lines.map(headerOf));
    const bodyAt = endOfHead + headEnd.length;
    const isChunked = headers.get('transfer-encoding') === 'chunked';
    const { body, isWhole, endAt } = isChunked
      ? chunkedBody(bytes, bodyAt)
      : sizedBody(bytes, bodyAt, Number(headers.get('content-length') ?? 0));
    answers.push({ status: Number(statusLine.split(' ')[1]), headers, body, isWhole });
    at = endAt;
  }
}

interface Body {
  readonly body: Buffer;
  readonly isWhole: boolean;
  readonly endAt: number;
}

function sizedBody(bytes: Buffer, at: number, size: number): Body {
  const body = bytes.subarray(at, at + size);
  return { body, isWhole: body.length === size, endAt: at + body.length };
}

function chunkedBody(bytes: Buffer, from: number): Body {
  const parts: Buffer[] = [];
  for (let at = from; ;) {
    const endOfSize = bytes.indexOf('\r\n', at);
    const size = endOfSize < 0 ? NaN : parseInt(bytes.toString('latin1', at, endOfSize), 16);
    const dataAt = endOfSize + 2;
    if (!(dataAt + size + 2 <= bytes.length)) {
      const rest = endOfSize < 0 ? Buffer.alloc(0) : bytes.subarray(dataAt);
      return { body: Buffer.concat([...parts, rest]), isWhole: false, endAt: bytes.length };
    }
    at = dataAt + size + 2;
    if (size === 0) return { body: Buffer.concat(parts), isWhole: true, endAt: at };
    parts.push(bytes.subarray(dataAt, dataAt + size));
  }
}

function headerOf(line: string): [string, string] {
  const colon = line.indexOf(':');
  return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
}
