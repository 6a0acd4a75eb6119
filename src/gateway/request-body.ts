import type { RequestError } from '../core/index.js';
import type { BodyMemory } from './body-memory.js';
import type { CallerExchange } from './caller-exchange.js';
import { refusal } from './refusal.js';

/** Options of {@link readRequestBody}. */
export interface RequestBodyLimits {
  /** Largest body of one request. */
  readonly maxBytes: number;
  readonly memory: BodyMemory;
  /** `retry-after` of a body that does not fit in the memory beside others, in epoch milliseconds. */
  readonly retryAtMs: () => number;
}

/**
 * Reads the body of a request, which counts in {@link BodyMemory} until the request ends. One that is
 * announced larger than it may be is refused unread.
 *
 * @throws RequestError when the body is too large, does not fit beside others or does not come.
 */
export async function readRequestBody(
  exchange: CallerExchange,
  { maxBytes, memory, retryAtMs }: RequestBodyLimits,
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
  try {
    const body = await readChunks(exchange, (bytes, chunkBytes) => {
      if (bytes > maxBytes) return tooLarge();
      return hold.add(chunkBytes) ? undefined : noRoom();
    });
    // It may have ended before its end was awaited.
    if (exchange.isDisconnected) hold.release();
    return body;
  } catch (error) {
    hold.release();
    throw error;
  }
}

/**
 * Collects the chunks of a body.
 *
 * @param check - called with the bytes so far and those of each chunk; what it returns refuses the
 *   request, and the rest of the body is dropped.
 */
function readChunks(
  { request }: CallerExchange,
  check: (bytes: number, chunkBytes: number) => RequestError | undefined,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isRefused = false;
    request.on('data', (chunk: Buffer) => {
      if (isRefused) return;
      bytes += chunk.length;
      const refused = check(bytes, chunk.length);
      if (!refused) {
        chunks.push(chunk);
        return;
      }
      isRefused = true;
      chunks.length = 0;
      reject(refused);
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
