import { CallerRoute, type CallerRequest } from './caller-server.js';

/**
 * Health checks: `GET /healthz` returns 200 while the process runs. `GET /readyz` returns 200 while
 * the platform's load balancer should send new requests, and 503 otherwise.
 */
export class HealthRoute extends CallerRoute {
  override readonly isServedWhileStopping = true;
  readonly #isReady: () => boolean;

  constructor(isReady: () => boolean) {
    super();
    this.#isReady = isReady;
  }

  override matches(method: string, path: string): boolean {
    return method === 'GET' && (path === '/healthz' || path === '/readyz');
  }

  override handle({ path, response }: CallerRequest): Promise<void> {
    const isOk = path === '/healthz' || this.#isReady();
    response.writeHead(isOk ? 200 : 503, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ok: isOk }));
    return Promise.resolve();
  }
}
