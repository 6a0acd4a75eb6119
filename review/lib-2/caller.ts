import { connect, type Socket } from 'node:net';

/** How the wait for an answer ended. */
export enum Ending {
  Whole = 'whole',
  /** The gateway closed the connection before the answer was whole. */
  Closed = 'closed',
  /** The client left at its deadline. */
  Left = 'left',
  /** No connection was made within a second, so that nothing was sent. */
  Unsent = 'unsent',
}

/** What became of a request. */
export interface Answer {
  readonly requestId: string;
  /** Undefined when the connection ended, or was not made, before a status came. */
  readonly status: number | undefined;
  readonly ending: Ending;
  /** Whether the answer came whole. */
  readonly isWhole: boolean;
  /** Whether the connection had served a request before. */
  readonly isOnKeptConnection: boolean;
  readonly headers: string;
  readonly body: string;
}

/** A request of a client. */
export interface Call {
  readonly requestId: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly host: string;
  readonly key?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly deadlineMs: number;
}

/** A client with one connection, which it keeps for as long as the gateway does. */
export class Caller {
  readonly #host: string;
  readonly #port: number;
  #socket: Socket | undefined;
  #served = 0;

  constructor(host: string, port: number) {
    this.#host = host;
    this.#port = port;
  }

  /** Sends a request and waits for its answer, or for the end of its time. */
  async call(call: Call): Promise<Answer> {
    const socket = await this.#connected();
    const isOnKeptConnection = this.#served > 0;
    const { requestId } = call;
    if (!socket)
      return {
        requestId,
        status: undefined,
        ending: Ending.Unsent,
        isWhole: false,
        isOnKeptConnection,
        headers: '',
        body: '',
      };
    return new Promise((resolve) => {
      let received = '';
      const finish = (ending: Ending): void => {
        const isWhole = ending === Ending.Whole;
        clearTimeout(timer);
        socket.removeAllListeners('data');
        socket.removeAllListeners('close');
        const { status, headers, body } = parse(received);
        if (isWhole && !/^connection: close\r?$/im.test(headers)) this.#served += 1;
        else this.close();
        resolve({ requestId, status, ending, isWhole, isOnKeptConnection, headers, body });
      };
      const timer = setTimeout(() => finish(Ending.Left), call.deadlineMs);
      socket.on('data', (bytes: Buffer) => {
        received += bytes.toString('latin1');
        if (parse(received).isWhole) finish(Ending.Whole);
      });
      socket.once('close', () => finish(Ending.Closed));
      socket.write(encode(call), 'latin1');
    });
  }

  close(): void {
    this.#socket?.destroy();
    this.#socket = undefined;
    this.#served = 0;
  }

  async #connected(): Promise<Socket | undefined> {
    if (this.#socket && !this.#socket.destroyed) return this.#socket;
    this.#served = 0;
    const socket = connect({ host: this.#host, port: this.#port, noDelay: true });
    socket.on('error', () => undefined);
    const isOpen = await new Promise<boolean>((resolve) => {
      const timer = setTimeout(() => resolve(false), 1_000);
      socket.once('connect', () => {
        clearTimeout(timer);
        resolve(true);
      });
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(false);
      });
    });
    this.#socket = isOpen ? socket : undefined;
    if (!isOpen) socket.destroy();
    return this.#socket;
  }
}

function encode({
  requestId,
  method,
  path,
  host,
  key,
  headers,
  body = '',
  deadlineMs,
}: Call): string {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `Oriolestack-Request-Id: ${requestId}`,
    `Oriolestack-Deadline-Ms: ${deadlineMs}`,
    ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
    ...Object.entries(headers ?? {}).map(([name, value]) => `${name}: ${value}`),
    ...(method === 'POST' ? [`Content-Length: ${body.length}`] : []),
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

interface Parsed {
  readonly status: number | undefined;
  readonly headers: string;
  readonly body: string;
  readonly isWhole: boolean;
}

/** Reads an answer with a length or in chunks, which are all that a gateway sends. */
function parse(text: string): Parsed {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return { status: undefined, headers: '', body: '', isWhole: false };
  const headers = text.slice(0, end);
  const rest = text.slice(end + 4);
  const status = Number(headers.split(' ', 2)[1]);
  const length = /^content-length: (\d+)/im.exec(headers)?.[1];
  if (length !== undefined)
    return { status, headers, body: rest, isWhole: rest.length >= Number(length) };
  const isWhole = rest.endsWith('\r\n0\r\n\r\n') || rest === '0\r\n\r\n';
  return { status, headers, body: rest, isWhole };
}
