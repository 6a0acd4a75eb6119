import type { IncomingMessage, ServerResponse } from 'node:http';
import { ListeningServer, sendJson } from './listening-server.js';

/**
 * Stand-in of a plain service: `GET` looks something up, `POST` runs an effect that is counted, so
 * that a test can tell whether it ran once.
 *
 * @example
 * ```ts
 * const orders = new PlainServer({ name: 'orders', vmId: 'vm-9' });
 * await orders.listen();
 * ```
 */
export class PlainServer extends ListeningServer {
  readonly name: string;
  readonly vmId: string;
  /** Executions by idempotency key; `none` for calls without one. */
  readonly executions = new Map<string, number>();
  readonly #startedAtMs = Date.now();
  /** Time that a call takes. */
  callMs: number;

  constructor(options: { readonly name: string; readonly vmId: string; readonly callMs?: number }) {
    super();
    this.name = options.name;
    this.vmId = options.vmId;
    this.callMs = options.callMs ?? 5;
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === '/health') {
      sendJson(response, 200, { vm_id: this.vmId, startedAtMs: this.#startedAtMs });
      return;
    }
    if (request.url === '/load') {
      sendJson(response, 200, {
        running_requests: 0,
        queued_requests: 0,
        kv_used_ratio: 0,
        observed_at_ms: Date.now(),
      });
      return;
    }
    if (request.method === 'POST') {
      const key = String(request.headers['idempotency-key'] ?? 'none');
      this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    }
    let bodyBytes = 0;
    for await (const chunk of request) bodyBytes += (chunk as Buffer).length;
    await new Promise((resolve) => setTimeout(resolve, this.callMs));
    sendJson(response, 200, {
      service: this.name,
      method: request.method,
      path: request.url,
      body_bytes: bodyBytes,
    });
  }
}
