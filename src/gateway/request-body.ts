import type { Clock, RequestError } from '../core/index.js';
import type { BodyMemory } from './body-memory.js';
import type { CallerExchange } from './caller-exchange.js';
import { refusal } from './refusal.js';

/** Options of {@link readRequestBody}. */
export interface RequestBodyLimits {
  /** Largest body of one request. */
  readonly maxBytes: number;
  readonly memory: BodyMemory;
  readonly clock: Clock;
  /** Time by which the body has to have come, in epoch milliseconds. */
  readonly deadlineAtMs: number;
  /** `retry-after` of a body that does not fit in the memory beside others, in epoch milliseconds. */
  readonly retryAtMs: () => number;
}

/**
 * Reads the body of a request, which counts in {@link BodyMemory} until the request ends. One that is
 * announced larger than it may be is refused unread, one that has not come by the deadline then.
 *
 * @throws RequestError when the body is too large, does not fit beside others or does not come.
 */
export async function readRequestBody(
  exchange: CallerExchange,
  { maxBytes, memory, clock, deadlineAtMs, retryAtMs }: RequestBodyLimits,
): Promise<Buffer> {
  const { request } = exchange;
  const tooLarge = (): RequestError =>
    refusal(413, `the body is larger than the limit of ${maxBytes} bytes`);
  const noRoom = (): RequestError =>
    refusal(
      503,
      `the bodies of other requests hold ${memory.usedBytes} bytes, so that this one does not fit`,
      retryAtMs(),
    );
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  if (announcedBytes > maxBytes) throw tooLarge();
  if (!memory.hasRoomFor(announcedBytes)) throw noRoom();
  const hold = memory.hold();
  exchange.onClosed(() => {
    hold.release();
  });
  const late = new AbortController();
  const cancelDeadline = clock.schedule(deadlineAtMs, () => {
    late.abort();
  });
  try {
    const body = await readChunks(exchange, late.signal, (bytes, chunkBytes) => {
      if (bytes > maxBytes) return tooLarge();
      return hold.add(chunkBytes) ? undefined : noRoom();
    });
    // It may have ended before its end was awaited.
    if (exchange.isDisconnected) hold.release();
    return body;
  } catch (error) {
    hold.release();
    throw error;
  } finally {
    cancelDeadline();
  }
}

/**
 * Collects the chunks of a body.
 *
 * @param late - aborted at the deadline of the request.
 * @param check - called with the bytes so far and those of each chunk; what it returns refuses the
 *   request, and the rest of the body is dropped.
 */
function readChunks(
  { request }: CallerExchange,
  late: AbortSignal,
  check: (bytes: number, chunkBytes: number) => RequestError | undefined,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isRefused = false;
    const refuse = (error: RequestError): void => {
      isRefused = true;
      chunks.length = 0;
      reject(error);
    };
    late.addEventListener('abort', () => {
      refuse(refusal(503, 'the deadline passed before the body of the request had come'));
    });
    request.on('data', (chunk: Buffer) => {
      if (isRefused) return;
      bytes += chunk.length;
      const refused = check(bytes, chunk.length);
      if (refused) refuse(refused);
      else chunks.push(chunk);
    });
    request.once('end', () => {
      resolve(Buffer.concat(chunks));
    });
    request.once('close', () => {
      if (!request.complete)
        reject(refusal(400, 'the caller disconnected before its request was complete'));
    });
    request.once('error', () => {
      reject(refusal(400, 'the connection failed before the request was complete'));
    });
  });
}
