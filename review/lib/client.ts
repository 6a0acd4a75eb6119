import { request as httpRequest, type Agent } from 'node:http';
import type { Socket } from 'node:net';

/** What a client sends. */
export interface ClientRequest {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly path: string;
  readonly key: string;
  readonly deadlineMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly agent?: Agent;
  /** A connection that stands already. */
  readonly socket?: Socket;
  /** Called as the first bytes of the answer's body arrive. */
  readonly onFirstBytes?: () => void;
}

/** What a client saw of the answer. */
export interface ClientAnswer {
  /** Undefined if no answer came. */
  readonly status: number | undefined;
  readonly body: string;
  /** Whether the answer came whole. */
  readonly isComplete: boolean;
  /** How the connection ended, if the answer is not complete. */
  readonly failure: string;
  /** Whether the client itself gave up at its deadline. */
  readonly gaveUp: boolean;
  readonly elapsedMs: number;
}

/** Sends one request as the pages say; resolves when the answer or the connection has ended. */
export function send(options: ClientRequest): Promise<ClientAnswer> {
  const startedAtMs = performance.now();
  const { socket } = options;
  return new Promise((resolve) => {
    let body = '';
    let status: number | undefined;
    let failure = '';
    let isComplete = false;
    let gaveUp = false;
    const outgoing = httpRequest({
      host: options.host,
      port: options.port,
      path: options.path,
      method: 'POST',
      ...(options.agent ? { agent: options.agent } : {}),
      ...(socket ? { createConnection: () => socket } : {}),
      headers: {
        host: 'ficu95.example',
        'oriolestack-request-id': options.id,
        'oriolestack-deadline-ms': String(options.deadlineMs),
        authorization: `Bearer ${options.key}`,
        'content-length': '2',
        ...options.headers,
      },
    });
    const timer = setTimeout(() => {
      gaveUp = true;
      outgoing.destroy();
    }, options.deadlineMs);
    outgoing.on('response', (response) => {
      status = response.statusCode;
      response.setEncoding('utf8');
      response.on('data', (text: string) => {
        if (body === '') options.onFirstBytes?.();
        body += text;
      });
      response.on('end', () => {
        isComplete = response.complete;
      });
      response.on('error', (error) => {
        failure = error.message;
      });
    });
    outgoing.on('error', (error) => {
      failure = error.message;
    });
    outgoing.on('close', () => {
      clearTimeout(timer);
      const elapsedMs = Math.round(performance.now() - startedAtMs);
      resolve({ status, body, isComplete, failure, gaveUp, elapsedMs });
    });
    outgoing.end('{}');
  });
}
