import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** A whole request that a {@link RawEndpoint} has received. */
export interface RawRequest {
  readonly socket: Socket;
  readonly head: string;
  readonly body: string;
}

/** Answers a request; `index` counts the requests over all connections from 0. */
export type RawBehaviour = (request: RawRequest, index: number) => void;

/** When a {@link RawEndpoint} answers. */
export enum AnswerTime {
  AfterRequest = 'after the request',
  /** The endpoint then reads no more of the request. */
  AfterHead = 'after the head of the request',
}

/** Endpoint that answers with the bytes it is told to, also those that no HTTP server would send. */
export class RawEndpoint {
  readonly requests: RawRequest[] = [];
  readonly sockets = new Set<Socket>();
  readonly #server: Server;
  readonly #behaviour: RawBehaviour;
  readonly #answerTime: AnswerTime;

  constructor(
    behaviour: RawBehaviour = () => undefined,
    answerTime: AnswerTime = AnswerTime.AfterRequest,
  ) {
    this.#behaviour = behaviour;
    this.#answerTime = answerTime;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get baseUrl(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.#server.close();
  }

  #accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    let received = '';
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      for (;;) {
        const headEnd = received.indexOf('\r\n\r\n') + 4;
        if (headEnd < 4) return;
        const head = received.slice(0, headEnd);
        if (this.#answerTime === AnswerTime.AfterHead) {
          socket.removeAllListeners('data').pause();
          this.#answer({ socket, head, body: '' });
          return;
        }
        const end = headEnd + Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
        if (received.length < end) return;
        const body = received.slice(headEnd, end);
        received = received.slice(end);
        this.#answer({ socket, head, body });
      }
    });
  }

  #answer(request: RawRequest): void {
    this.requests.push(request);
    this.#behaviour(request, this.requests.length - 1);
  }
}
