import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

const host = '127.0.0.1';

/** How often bytes are passed on, in milliseconds. */
const pumpIntervalMs = 5;

/** Bytes of one connection that are passed on at a time. */
const pieceBytes = 2_048;

/** Send buffer of a connection; the rest waits in the server's process. */
const sendBufferBytes = 65_536;

/** Bytes on their way to one reader. */
interface Passage {
  readonly reader: Socket;
  readonly pieces: Buffer[];
  hasEnded: boolean;
}

/**
 * A proxy through which all responses of a server share one narrow link. When the server closes a
 * connection, what its system would not have had in the send buffer yet is dropped.
 */
export class ThrottledLink {
  readonly #server: Server;
  readonly #passages = new Set<Passage>();
  readonly #bytesPerS: number;
  readonly #timer: NodeJS.Timeout;
  #pumpedAtMs = performance.now();
  #credit = 0;

  constructor(serverPort: number, bytesPerS: number) {
    this.#bytesPerS = bytesPerS;
    this.#server = createServer((reader) => {
      this.#open(reader, connect({ host, port: serverPort }));
    });
    this.#timer = setInterval(() => {
      this.#pump();
    }, pumpIntervalMs);
  }

  /** @returns the address that readers connect to. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, host, resolve));
    return `${host}:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    clearInterval(this.#timer);
    for (const { reader } of this.#passages) reader.destroy();
    this.#server.close();
  }

  #open(reader: Socket, upstream: Socket): void {
    const passage: Passage = { reader, pieces: [], hasEnded: false };
    this.#passages.add(passage);
    const drop = (): void => {
      this.#passages.delete(passage);
      reader.destroy();
      upstream.destroy();
    };
    reader.on('error', drop);
    reader.once('close', drop);
    upstream.on('error', drop);
    upstream.on('data', (bytes: Buffer) => {
      for (let at = 0; at < bytes.length; at += pieceBytes) {
        passage.pieces.push(bytes.subarray(at, at + pieceBytes));
      }
    });
    upstream.once('end', () => {
      passage.hasEnded = true;
      passage.pieces.splice(sendBufferBytes / pieceBytes);
    });
    reader.pipe(upstream);
  }

  /** Passes on a piece of each connection in turn. */
  #pump(): void {
    const nowMs = performance.now();
    this.#credit = Math.min(
      this.#bytesPerS / 10,
      this.#credit + ((nowMs - this.#pumpedAtMs) * this.#bytesPerS) / 1_000,
    );
    this.#pumpedAtMs = nowMs;
    let didPass = true;
    while (this.#credit > 0 && didPass) {
      didPass = false;
      for (const passage of this.#passages) {
        const piece = passage.pieces.shift();
        if (piece) {
          passage.reader.write(piece);
          this.#credit -= piece.length;
          didPass = true;
        } else if (passage.hasEnded) passage.reader.end();
      }
    }
  }
}
