import type { IncomingMessage } from 'node:http';
import type { Clock, RequestError } from '../core/index.js';
import { processReadTurns, type ReadShare, type ReadTurns } from '../core/read-turns.js';
import { HeldKind, requestBytes, type CallerAccount, type CallerMemory } from './caller-memory.js';
import { CompactBytes } from '../core/compact-bytes.js';
import { refusal } from './refusal.js';

/** Options of {@link RequestBody.read}. */
export interface RequestBodyLimits {
  /** Largest body of one request. */
  readonly maxBytes: number;
  readonly memory: CallerMemory;
  readonly clock: Clock;
  /** Time by which the body has to have come, in epoch milliseconds. */
  readonly deadlineAtMs: number;
  /** `retry-after` of a body that does not fit in the memory beside others, in epoch milliseconds. */
  readonly retryAtMs: () => number;
}

/** Options of {@link RequestBody}. */
export interface RequestBodyOptions {
  /** Counts the body; without it, nothing is counted. */
  readonly account?: CallerAccount | undefined;
  /** Shares the reading of bodies between connections; by default those of the process. */
  readonly readTurns?: ReadTurns;
}

/** Checks one more chunk before it is kept. @returns what refuses the request. */
type ChunkCheck = (chunk: Buffer) => RequestError | undefined;

/**
 * The body of a request, which counts in {@link CallerMemory} until the request ends. It is taken from
 * the connection as it comes, also while the request waits behind another one: left there, each chunk
 * would be an object of its own.
 *
 * @example
 * ```ts
 * const body = new RequestBody(request, { account });
 * const bytes = await body.read(limits);
 * body.release();
 * ```
 */
export class RequestBody {
  readonly #request: IncomingMessage;
  readonly #account: CallerAccount | undefined;
  readonly #reads: ReadShare;
  readonly #hold: RequestHold;
  readonly #bytes: CompactBytes;
  /** Settles when the body has come whole, or the request is refused. */
  readonly #whole: Promise<void>;
  readonly #resolve: () => void;
  readonly #reject: (error: RequestError) => void;
  #check: ChunkCheck = (chunk) => {
    this.#hold.add(this.#bytes.growthFor(chunk.length));
    return undefined;
  };
  #refuseUnread: (() => void) | undefined;
  /** Whether what still comes is dropped. */
  #isOver = false;

  constructor(
    request: IncomingMessage,
    { account, readTurns = processReadTurns }: RequestBodyOptions = {},
  ) {
    this.#request = request;
    this.#reads = readTurns.shareOf(request, () => request.socket.remoteAddress ?? '');
    this.#account = account;
    this.#hold = new RequestHold(account);
    this.#hold.add(requestBytes + headBytes(request));
    this.#bytes = new CompactBytes(hasLength(request) ? announcedBytes(request) : undefined);
    let resolve: () => void = () => undefined;
    let reject: (error: RequestError) => void = () => undefined;
    this.#whole = new Promise((resolveWhole, rejectWhole) => {
      resolve = resolveWhole;
      reject = rejectWhole;
    });
    // A request that fails before its turn comes is not read any more.
    this.#whole.catch(() => undefined);
    this.#resolve = resolve;
    this.#reject = reject;
    this.#collect();
  }

  /**
   * Resolves with the whole body. One that is announced larger than it may be is refused at once, one
   * that has not come by the deadline then.
   *
   * @throws RequestError when the body is too large, does not fit beside others or does not come.
   */
  async read(limits: RequestBodyLimits): Promise<Buffer> {
    try {
      return await this.#read(limits);
    } catch (error) {
      this.release();
      throw error;
    } finally {
      this.#refuseUnread = undefined;
    }
  }

  /** Refuses the request if its body is being read. @returns whether it is. */
  refuseUnread(): boolean {
    const isReading = this.#refuseUnread !== undefined;
    this.#refuseUnread?.();
    return isReading;
  }

  /** Gives the memory back and drops what still comes; later calls have no effect. */
  release(): void {
    this.#isOver = true;
    this.#bytes.clear();
    this.#hold.release();
  }

  async #read({
    maxBytes,
    memory,
    clock,
    deadlineAtMs,
    retryAtMs,
  }: RequestBodyLimits): Promise<Buffer> {
    const tooLarge = (): RequestError =>
      refusal(413, `the body is larger than the limit of ${maxBytes} bytes`);
    const noRoom = (): RequestError =>
      refusal(
        503,
        `callers hold ${memory.usedBytes} bytes of memory, so that this request does not fit`,
        retryAtMs(),
      );
    const lackingBytes = Math.max(0, announcedBytes(this.#request) - this.#bytes.heldBytes);
    if (this.#bytes.bytes + lackingBytes > maxBytes) throw tooLarge();
    if (!this.#hold.tryMove(HeldKind.Incoming)) throw noRoom();
    if (this.#account && !memory.hasRoomFor(this.#account, lackingBytes)) throw noRoom();
    this.#check = (chunk) => {
      if (this.#bytes.bytes + chunk.length > maxBytes) return tooLarge();
      return this.#hold.tryAdd(this.#bytes.growthFor(chunk.length)) ? undefined : noRoom();
    };
    const cancelDeadline = clock.schedule(deadlineAtMs, () => {
      this.#refuse(refusal(503, 'the deadline passed before the body of the request had come'));
    });
    this.#refuseUnread = () => {
      const reason = 'memory is short, and the body of the request is slow';
      this.#refuse(refusal(503, reason, retryAtMs()));
    };
    try {
      await this.#whole;
    } finally {
      cancelDeadline();
    }
    const body = this.#bytes.take();
    if (!this.#isOver) this.#hold.complete(body.length);
    return body;
  }

  #collect(): void {
    const request = this.#request;
    request.on('data', (chunk: Buffer) => {
      this.#reads.count();
      if (this.#isOver) return;
      const refused = this.#check(chunk);
      if (refused) this.#refuse(refused);
      else this.#bytes.append(chunk);
    });
    request.once('end', () => {
      this.#resolve();
    });
    request.once('close', () => {
      if (!request.complete)
        this.#refuse(refusal(400, 'the caller disconnected before its request was complete'));
    });
    request.once('error', () => {
      this.#refuse(refusal(400, 'the connection failed before the request was complete'));
    });
  }

  #refuse(error: RequestError): void {
    this.#isOver = true;
    this.#reject(error);
  }
}

/** What one request holds in the account of its connection. */
class RequestHold {
  readonly #account: CallerAccount | undefined;
  #kind = HeldKind.Waiting;
  #bytes = 0;
  #isReleased = false;

  constructor(account: CallerAccount | undefined) {
    this.#account = account;
  }

  /** Counts memory that is taken already. */
  add(bytes: number): void {
    if (this.#isReleased || bytes === 0) return;
    this.#bytes += bytes;
    this.#account?.add(this.#kind, bytes);
  }

  /** @returns false when the bytes do not fit; then none are added. */
  tryAdd(bytes: number): boolean {
    if (this.#isReleased) return false;
    if (bytes === 0) return true;
    if (this.#account && !this.#account.tryAdd(this.#kind, bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Counts everything as another kind. @returns false if it does not fit as that. */
  tryMove(kind: HeldKind): boolean {
    if (this.#isReleased) return false;
    const bytes = this.#bytes;
    this.#account?.add(this.#kind, -bytes);
    this.#kind = kind;
    this.#bytes = 0;
    return this.tryAdd(bytes);
  }

  /** The body has come whole, so that only its request's end is awaited. */
  complete(bodyBytes: number): void {
    if (this.#isReleased) return;
    this.#account?.add(this.#kind, -this.#bytes);
    this.#kind = HeldKind.Body;
    this.#bytes = 0;
    this.add(requestBytes + bodyBytes);
  }

  /** Gives everything back; later calls have no effect. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#account?.add(this.#kind, -this.#bytes);
  }
}

function hasLength({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] === undefined;
}

function announcedBytes({ headers }: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}

/** Bytes of the strings of a request's head, roughly. */
function headBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}
