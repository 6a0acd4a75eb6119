import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import type { CaseRecord } from './record.js';

/** A call of a duty as the platform received it. */
export interface DutyCall {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  /** What the fencing token is for: all windows, or a service with a zone. */
  readonly subject: string;
  readonly body: string;
  /** Epoch milliseconds. */
  readonly atMs: number;
  /** False when a higher fencing token was seen for the same duty and subject. */
  readonly isAccepted: boolean;
}

/** The platform's API for duties: checks the fencing tokens of each subject. */
export class CloudServer {
  readonly calls: DutyCall[] = [];
  readonly #record: CaseRecord;
  readonly #highest = new Map<string, number>();
  readonly #server: Server;

  constructor(record: CaseRecord) {
    this.#record = record;
    this.#server = createServer((request, response) => {
      void this.#handle(request, response).catch(() => response.destroy());
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()));
    this.#server.closeAllConnections();
    await closed;
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await text(request);
    const path = request.url ?? '';
    const fence = Number(request.headers['oriolestack-fencing-token']);
    const holder = String(request.headers['oriolestack-duty-holder']);
    const subject = subjectOf(path, body);
    const isAccepted = fence >= (this.#highest.get(subject) ?? 0);
    if (isAccepted) this.#highest.set(subject, fence);
    this.calls.push({ path, holder, fence, subject, body, atMs: Date.now(), isAccepted });
    this.#record.line(
      `${holder} calls ${path} fence ${fence} ${body} -> ${isAccepted ? 200 : 409}`,
    );
    response.writeHead(isAccepted ? 200 : 409).end();
  }
}

function subjectOf(path: string, body: string): string {
  if (path !== '/scale') return path;
  const { service, zone } = JSON.parse(body) as { service: string; zone: string };
  return `${path} ${service} ${zone}`;
}
