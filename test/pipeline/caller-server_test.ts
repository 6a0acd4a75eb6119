import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { z } from 'zod';
import { countingIds, SystemClock } from '../../src/core/index.js';
import { listen } from '../../src/core/listener.js';
import { DemoCluster } from '../../src/demo/demo-cluster.js';
import {
  CallerRoute,
  CallerServer,
  CallerServerObserver,
  HealthRoute,
  type CallerRequest,
} from '../../src/pipeline/index.js';
import { Deployment } from '../../src/settings/index.js';
import { wholeAnswer } from '../../src/standins/index.js';

const errorSchema = z.object({ error: z.object({ code: z.string(), next: z.string().min(1) }) });
const confirmationsPath = '/services/orders/confirmations';

async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(10);
}

describe('CallerServer in a complete daemon', () => {
  const cluster = new DemoCluster();

  beforeAll(async () => {
    await cluster.start();
  });

  // A request that remains counted after its end would delay every graceful stop.
  afterEach(async () => {
    await until(() => cluster.daemons.every(({ inFlightIds }) => inFlightIds.length === 0));
  });

  afterAll(async () => {
    await cluster.stop();
  });

  function send(path: string, init: RequestInit = {}): Promise<Response> {
    const headers = new Headers({ authorization: `Bearer ${cluster.callerKey}` });
    new Headers(init.headers).forEach((value, name) => {
      headers.set(name, value);
    });
    return fetch(`${cluster.callerUrl}${path}`, { ...init, headers });
  }

  function post(path: string, body: string, headers: Record<string, string> = {}) {
    return send(path, { method: 'POST', body, headers });
  }

  async function expectRefusal(response: Response, status: number, code: string): Promise<void> {
    expect(response.status).toBe(status);
    expect(errorSchema.parse(await response.json()).error.code).toBe(code);
    expect(response.headers.get('oriolestack-outcome')).toBe('not_run');
  }

  const chatBody = (content: string, stream: boolean): string =>
    JSON.stringify({ model: 'fence-1', messages: [{ role: 'user', content }], stream });

  describe('bad requests', () => {
    const chat = '/v1/chat/completions';

    it('refuses malformed JSON', async () => {
      await expectRefusal(await post(chat, '{"model":'), 400, 'malformed_json');
    });

    it('refuses an unknown model and another team’s model', async () => {
      for (const model of ['none', 'term-1']) {
        const body = JSON.stringify({ model, messages: [{ role: 'user', content: 'x' }] });
        await expectRefusal(await post(chat, body), 404, 'model_not_found');
      }
    });

    it('refuses a wrong key, a missing key and a key of an unknown workspace', async () => {
      for (const authorization of ['Bearer nothing', '', 'Bearer ok_tejidos/none-key_aaaa']) {
        const response = await post(chat, chatBody('x', false), { authorization });
        await expectRefusal(response, 401, 'invalid_api_key');
      }
    });

    it('refuses a body over the limit and delivers the error response', async () => {
      const body = chatBody('x'.repeat(6 * 1_048_576), false);
      await expectRefusal(await post(chat, body), 413, 'body_too_large');
    });

    it('refuses headers over the limit', async () => {
      const response = await send('/v1/models', { headers: { 'x-large': 'x'.repeat(20_000) } });
      await expectRefusal(response, 431, 'headers_too_large');
    });

    it('refuses an unknown service and a path with broken percent-encoding', async () => {
      await expectRefusal(await send('/services/none/x'), 404, 'unknown_service');
      await expectRefusal(await send('/services/%zz/x'), 400, 'malformed_path');
      await expectRefusal(await send('/services/orders/%zz'), 400, 'malformed_path');
    });
  });

  describe('chat', () => {
    it('gives the same answer as SSE and as one JSON object', async () => {
      const content = 'Rolls for a yard? tokens=40';
      const expected = wholeAnswer([{ role: 'user', content }]);
      const whole = await post('/v1/chat/completions', chatBody(content, false));
      const wholeSchema = z.object({
        choices: z.array(z.object({ message: z.object({ content: z.string() }) })),
      });
      expect(wholeSchema.parse(await whole.json()).choices[0]?.message.content).toBe(expected);
      const streamed = await post('/v1/chat/completions', chatBody(content, true));
      const text = await streamed.text();
      expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
      const tokens = [...text.matchAll(/"content":"([^"]*)"/g)].map(([, token]) => token);
      expect(tokens.join('')).toBe(expected);
    });

    it('cancels the engine’s work when the caller disconnects mid-stream', async () => {
      const abort = new AbortController();
      const response = await send('/v1/chat/completions', {
        method: 'POST',
        body: chatBody('Caller leaves. tokens=100000', true),
        signal: abort.signal,
      });
      await response.body?.getReader().read();
      abort.abort();
      const load = z.object({ running_requests: z.number() });
      await until(async () => {
        const loads = await Promise.all(
          cluster.platform.engines.map(async ({ baseUrl }) =>
            load.parse(await (await fetch(`${baseUrl}/load`)).json()),
          ),
        );
        return loads.every(({ running_requests }) => running_requests === 0);
      });
      expect(cluster.daemons[0]?.components.admission.queued).toBe(0);
    });
  });

  describe('non-repeatable calls', () => {
    it.each([
      confirmationsPath,
      '/services/orders//confirmations',
      '/services/orders/Confirmations',
      '/services/orders/%63onfirmations',
      '/services/orders/%2563onfirmations',
      '/services/orders/x/..%2fconfirmations',
      '/services/orders/confirmations;v=1/7?rush=1',
    ])('refuses %s without an idempotency key, in any spelling of the route', async (path) => {
      await expectRefusal(await post(path, '{}'), 400, 'idempotency_key_missing');
    });

    it('replays the response to a repeated call and refuses the key for another body', async () => {
      const headers = { 'idempotency-key': 'caller-server-1' };
      const first = await post(confirmationsPath, '{"rolls":1}', headers);
      expect(first.status).toBe(200);
      const repeated = await post(confirmationsPath, '{"rolls":1}', headers);
      expect(repeated.headers.get('oriolestack-replayed')).toBe('true');
      expect(await repeated.text()).toBe(await first.text());
      const conflicting = await post(confirmationsPath, '{"rolls":2}', headers);
      await expectRefusal(conflicting, 422, 'key_reused');
      const executions = cluster.platform.plainServers.map(
        (server) => server.executions.get('caller-server-1') ?? 0,
      );
      expect(executions.reduce((sum, count) => sum + count, 0)).toBe(1);
    });
  });

  describe('repeatable calls', () => {
    it('refuses calls over the rate limit of the workspace before they run', async () => {
      const path = 'demo/tejidos/limits/rural';
      await cluster.publish([{ path, values: { rate_per_s: '0.01', burst_requests: '1' } }]);
      await until(() =>
        cluster.daemons.every((daemon) => cluster.inForce(daemon, path) !== undefined),
      );
      const key = cluster.platform.callerKeys.get('tejidos/rural') ?? '';
      const headers = { authorization: `Bearer ${key}` };
      let response = await send('/services/orders/stock', { headers });
      for (let calls = 0; response.ok && calls < 10; calls++) {
        response = await send('/services/orders/stock', { headers });
      }
      await expectRefusal(response, 429, 'rate_limited');
    });

    it.each([
      ['/services/orders', '/'],
      ['/services/orders?path=/a/b', '/?path=/a/b'],
      ['/services/orders/stock/7?unit=m', '/stock/7?unit=m'],
    ])('forwards %s as %s', async (path, expected) => {
      const response = await send(path);
      expect(await response.json()).toMatchObject({ path: expected });
    });
  });
});

/** Ignores failures; the tests check the responses instead. */
class IgnoringObserver extends CallerServerObserver {
  override failed(): void {
    // Not observed by these tests.
  }
}

/** Starts work that never ends. */
class SilentRoute extends CallerRoute {
  override matches(): boolean {
    return true;
  }

  override async handle(): Promise<void> {
    await new Promise(() => undefined);
  }
}

describe('CallerServer on a plain HTTP server', () => {
  let server: Server | undefined;

  afterEach(() => {
    server?.close();
    server?.closeAllConnections();
  });

  /** Serves callers by some routes, and connects to the server. */
  async function connectTo(httpServer: Server, routes: readonly CallerRoute[]) {
    const callerServer = new CallerServer({
      routes,
      deployment: () => new Deployment(),
      observer: new IgnoringObserver(),
      clock: new SystemClock(),
      newId: countingIds('r'),
    });
    callerServer.serve(httpServer);
    const port = await listen(httpServer, '127.0.0.1', 0);
    return { callerServer, socket: connect(port, '127.0.0.1') };
  }

  it('responds with 408 and closes the connection when the headers time out', async () => {
    server = createServer({ headersTimeout: 100, connectionsCheckingInterval: 20 });
    const { callerServer, socket } = await connectTo(server, []);
    socket.write('GET /v1/models HTTP/1.1\r\nhost: x\r\n');
    let rawResponse = '';
    for await (const chunk of socket) rawResponse += String(chunk);
    expect(rawResponse).toMatch(/^HTTP\/1\.1 408 /);
    expect(rawResponse).toContain('oriolestack-outcome: not_run');
    expect(callerServer.inFlightIds).toEqual([]);
  });

  it('forgets two requests on one connection when their caller leaves, so that a stop does not wait', async () => {
    server = createServer();
    const { callerServer, socket } = await connectTo(server, [new SilentRoute()]);
    socket.write('GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n'.repeat(2));
    await until(() => callerServer.inFlightIds.length > 0);
    await sleep(50);
    socket.destroy();
    await sleep(200);
    expect(callerServer.inFlightIds).toEqual([]);
  });

  it('refuses requests once it drains, also the first one of an open connection, and stays alive', async () => {
    server = createServer();
    const routes = [new HealthRoute(() => false), new SilentRoute()];
    const { callerServer, socket } = await connectTo(server, routes);
    await new Promise((resolve) => socket.once('connect', resolve));
    await callerServer.drain(Date.now());
    socket.write('GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n');
    let rawResponse = '';
    for await (const chunk of socket) rawResponse += String(chunk);
    expect(rawResponse).toMatch(/^HTTP\/1\.1 503 /);
    expect(rawResponse).toContain('oriolestack-outcome: not_run');
    const { port } = server.address() as AddressInfo;
    expect((await fetch(`http://127.0.0.1:${port}/healthz`)).status).toBe(200);
  });

  // Those behind the first one got neither an answer nor a refusal.
  it('refuses each of the requests that came together on a connection while it drains', async () => {
    server = createServer();
    const routes = [new HealthRoute(() => false), new SilentRoute()];
    const { callerServer, socket } = await connectTo(server, routes);
    await new Promise((resolve) => socket.once('connect', resolve));
    await callerServer.drain(Date.now());
    socket.write('GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n'.repeat(3));
    let rawResponse = '';
    for await (const chunk of socket) rawResponse += String(chunk);
    expect(rawResponse.match(/HTTP\/1\.1 503 /g)).toHaveLength(3);
  });

  // The drain ended while they had not had their turn, and the end of the daemon cut them.
  it('waits for the requests that were read behind an open one', async () => {
    let finish: () => void = () => undefined;
    class OpenRoute extends CallerRoute {
      override matches(): boolean {
        return true;
      }

      override handle({ response }: CallerRequest): Promise<void> {
        finish = () => response.end('ok');
        return Promise.resolve();
      }
    }
    server = createServer();
    const { callerServer, socket } = await connectTo(server, [new OpenRoute()]);
    socket.write('GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n'.repeat(3));
    await until(() => callerServer.inFlightIds.length === 1);
    const received = (async (): Promise<string> => {
      let text = '';
      for await (const chunk of socket) text += String(chunk);
      return text;
    })();
    const drained = callerServer.drain(Date.now() + 5_000);
    finish();
    await drained;
    server.closeAllConnections();
    expect((await received).match(/HTTP\/1\.1 \d+/g)).toEqual([
      'HTTP/1.1 200',
      'HTTP/1.1 503',
      'HTTP/1.1 503',
    ]);
  });

  // The refusal stood in the middle of the open response, and ended it.
  it.each([
    ['whose head does not come whole in time', 'GET /v1/models HTTP/1.1\r\nhost: x', 408],
    ['that cannot be read', 'nonsense\r\n\r\n', 400],
  ])('ends an open response before it refuses a request %s', async (_kind, next, status) => {
    class StreamRoute extends CallerRoute {
      override matches(): boolean {
        return true;
      }

      override handle({ response }: CallerRequest): Promise<void> {
        response.write('data: 1\n\n');
        setTimeout(() => response.end('data: 2\n\n'), 1_000);
        return Promise.resolve();
      }
    }
    server = createServer({ headersTimeout: 300, connectionsCheckingInterval: 50 });
    const { callerServer, socket } = await connectTo(server, [new StreamRoute()]);
    socket.write('GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n');
    await until(() => callerServer.inFlightIds.length === 1);
    socket.write(next);
    let text = '';
    for await (const chunk of socket) text += String(chunk);
    expect(text).toMatch(new RegExp(`data: 2[^]*HTTP/1\\.1 ${status} `));
  });
});
