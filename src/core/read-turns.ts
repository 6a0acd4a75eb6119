import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Chunks of a connection after which it is checked how many of them came in one turn. */
const chunksPerCheck = 256;

/** A connection that delivers chunks. Its reader may resume it at any time, and then emits `resume`. */
export type ChunkSource = Pick<Socket, 'pause' | 'resume' | 'on' | 'off' | 'destroyed'>;

/** Options of {@link ReadTurns}. */
export interface ReadTurnsOptions {
  /** Runs an action after the sockets of the present turn of the event loop have been read. */
  readonly afterTurn?: (action: () => void) => void;
  /** Called with each connection that has to wait. */
  readonly onWait?: (share: ReadShare) => void;
}

/**
 * Shares the turns of the event loop between connections. What a read costs depends on the number of
 * its chunks: 64 KiB in chunks of one byte take as long as a hundred ordinary requests, and up to 32
 * such reads of one connection are handled before the next one is read. A connection that delivers
 * hundreds of chunks in a turn is not read on in that turn. It waits with the others of its kind, of
 * which one goes on in each turn. All other connections are read as always.
 *
 * @example
 * ```ts
 * const reads = turns.shareOf(request, () => 'caller');
 * request.on('data', () => reads.count());
 * ```
 */
export class ReadTurns {
  readonly #afterTurn: (action: () => void) => void;
  readonly #onWait: (share: ReadShare) => void;
  /** Connections that wait, the first to go on first. */
  readonly #waiting = new Set<ReadShare>();
  #turn = 0;
  #isTurnCounted = false;

  constructor(options: ReadTurnsOptions = {}) {
    this.#afterTurn = options.afterTurn ?? setImmediate;
    this.#onWait = options.onWait ?? ((): void => undefined);
  }

  /** Number of connections that wait. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /**
   * Begins to count the chunks of a message on a connection.
   *
   * @param peer - names the other side for the log; asked only if the message waits.
   */
  share(source: ChunkSource, peer: () => string): ReadShare {
    return new ReadShare(this, source, peer);
  }

  /** Like {@link share}, until the message has ended. */
  shareOf(message: IncomingMessage, peer: () => string): ReadShare {
    return new ReadShare(this, message.socket, peer, message);
  }

  /** Drops the body of a message as it comes: left unread, each of its chunks would be kept. */
  discard(message: IncomingMessage): void {
    const share = this.shareOf(message, () => message.socket.remoteAddress ?? '');
    message.on('data', () => {
      share.count();
    });
  }

  /**
   * @internal The turn in which a connection has delivered {@link chunksPerCheck} more chunks. It ends
   * with the reads of the sockets.
   */
  presentTurn(): number {
    if (!this.#isTurnCounted) {
      this.#isTurnCounted = true;
      this.#afterTurn(() => {
        this.#endTurn();
      });
    }
    return this.#turn;
  }

  /** @internal Lets a connection wait for its turn. */
  wait(share: ReadShare): void {
    this.#waiting.add(share);
    this.presentTurn();
    this.#onWait(share);
  }

  /** @internal A connection does not wait any more. */
  leave(share: ReadShare): void {
    this.#waiting.delete(share);
  }

  #endTurn(): void {
    this.#turn += 1;
    this.#isTurnCounted = false;
    const [next] = this.#waiting;
    next?.goOn();
    if (this.#waiting.size > 0) this.presentTurn();
  }
}

/** What one message on a connection takes of the turns of the event loop. */
export class ReadShare {
  readonly #source: ChunkSource;
  readonly #peer: () => string;
  readonly #turns: ReadTurns;
  /** Its end ends the share; undefined if the user of the share does. */
  readonly #message: IncomingMessage | undefined;
  /** The parser of HTTP messages resumes the connection whenever its reader has taken a chunk. */
  readonly #stayPaused = (): void => {
    this.#source.pause();
  };
  readonly #onEnd = (): void => {
    this.end();
  };
  #chunks = 0;
  /** Turn of the last check. */
  #checkedTurn = -1;
  #waits = 0;
  #isWaiting = false;
  #isEnded = false;

  constructor(
    turns: ReadTurns,
    source: ChunkSource,
    peer: () => string,
    message?: IncomingMessage,
  ) {
    this.#turns = turns;
    this.#source = source;
    this.#peer = peer;
    this.#message = message;
  }

  /** Name of the other side. */
  get peer(): string {
    return this.#peer();
  }

  /** How often the message had to wait. */
  get waits(): number {
    return this.#waits;
  }

  /** Counts a chunk; to be called for each. */
  count(): void {
    this.#chunks += 1;
    if (this.#chunks < chunksPerCheck) return;
    this.#chunks = 0;
    if (this.#isWaiting || this.#isEnded) return;
    const turn = this.#turns.presentTurn();
    if (this.#checkedTurn === turn) this.#wait();
    this.#checkedTurn = turn;
  }

  /** The message has ended; what follows on its connection is not held back by it. */
  end(): void {
    this.#isEnded = true;
    this.goOn();
  }

  /** @internal Reads the connection again. */
  goOn(): void {
    if (!this.#isWaiting) return;
    this.#isWaiting = false;
    this.#turns.leave(this);
    this.#source.off('resume', this.#stayPaused);
    if (!this.#source.destroyed) this.#source.resume();
  }

  #wait(): void {
    this.#isWaiting = true;
    // Only now: most messages never wait.
    if (this.#waits === 0) this.#message?.once('end', this.#onEnd).once('close', this.#onEnd);
    this.#waits += 1;
    this.#source.on('resume', this.#stayPaused);
    this.#source.pause();
    this.#turns.wait(this);
  }
}

/** The turns of this process, for readers that are not given others. */
export const processReadTurns = new ReadTurns();
