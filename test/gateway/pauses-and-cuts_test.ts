import type { IncomingMessage, ServerResponse } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayHarness, respondWith, type CallerResponse } from './gateway-harness.js';

const ok = respondWith(200, 'ok');

function idOf(request: IncomingMessage): string {
  return String(request.headers['oriolestack-request-id']);
}

/** Refuses as not run and asks for a pause. */
function refuse(request: IncomingMessage, response: ServerResponse, seconds: string): void {
  request.resume();
  response.writeHead(503, {
    'oriolestack-request-id': idOf(request),
    'oriolestack-not-executed': '1',
    'retry-after': seconds,
  });
  response.end();
}

/** Health probes come when the machine stands still for a while; they are no caller's requests. */
function isProbe({ url }: IncomingMessage): boolean {
  return url === '/health';
}

describe('pauses beside cuts and restarts', () => {
  let harness: GatewayHarness;

  beforeEach(() => {
    harness = new GatewayHarness(undefined, { asksEndpoints: true });
  });

  afterEach(async () => {
    await harness.stop();
  });

  const pausing = (seconds: string) => (request: IncomingMessage, response: ServerResponse) => {
    refuse(request, response, seconds);
  };

  function callMany(count: number, options = {}): Promise<CallerResponse[]> {
    return Promise.all(Array.from({ length: count }, () => harness.call(options)));
  }

  it('opens no connection to an endpoint that pauses, health probes included', async () => {
    await harness.start(trafficConfig(), pausing('60'), ok);
    const [first] = harness.endpoints;
    while (first!.received.length === 0) await harness.call();
    await harness.wait(100);
    let connections = 0;
    first!.onConnection = () => (connections += 1);
    // A cut in the pause: whoever connected would be reset.
    first!.behaviour = (request) => request.socket.destroy();
    for (let round = 0; round < 10; round++) {
      expect((await callMany(5)).map(({ status }) => status)).toEqual([200, 200, 200, 200, 200]);
      await harness.wait(100);
    }
    expect(connections).toBe(0);
    expect(first!.received).toHaveLength(1);
  });

  it('serves callers from the others when the probe after the pause is cut off', async () => {
    await harness.start(trafficConfig(), pausing('0.5'), ok);
    const [first] = harness.endpoints;
    while (first!.received.length === 0) await harness.call();
    first!.behaviour = (request) => request.socket.destroy();
    await harness.wait(600);
    expect((await callMany(30)).map(({ status }) => status)).toEqual(
      Array.from({ length: 30 }, () => 200),
    );
    // The first probe, and one more by a request or a probe for its health that came meanwhile.
    expect(first!.received.length).toBeLessThanOrEqual(1 + 3);
  });

  it('uses an endpoint that starts again in its pause at once', async () => {
    await harness.start(trafficConfig(), pausing('60'));
    const [first] = harness.endpoints;
    expect((await harness.call()).status).toBe(503);
    first!.behaviour = ok;
    harness.registerEndpoint('i-1', first!.baseUrl, false, 2);
    expect((await harness.call()).status).toBe(200);
  });

  it('keeps a restarted endpoint out of use when it asks for a pause itself', async () => {
    await harness.start(trafficConfig(), pausing('60'));
    const [first] = harness.endpoints;
    await harness.call();
    first!.behaviour = pausing('30');
    harness.registerEndpoint('i-1', first!.baseUrl, false, 2);
    const response = await harness.call();
    expect(response.status).toBe(503);
    const arrived = first!.received.length;
    expect(Number((await harness.call()).headers['retry-after'])).toBeGreaterThan(29);
    expect(first!.received).toHaveLength(arrived);
  });

  describe('the end of a pause that many wait for', () => {
    const kind = RequestKind.AtMostOnce;
    const routes = [0, 3, 5].map((priority) =>
      trafficRoute({ name: `p${priority}`, pathPrefix: `/p${priority}/`, priority, kind }),
    );
    const orders = (): Promise<CallerResponse[]>[] =>
      [5, 3, 0].map((priority) =>
        callMany(10, { method: 'POST', path: `/p${priority}/x`, body: 'order' }),
      );

    it('serves all that waited, each unsafe one once', async () => {
      await harness.start(trafficConfig({ routes }), pausing('0.6'));
      await harness.call({ method: 'POST', path: '/p0/x', body: 'order' });
      const ran: string[] = [];
      harness.endpoints[0]!.behaviour = (request, response) => {
        if (!isProbe(request)) ran.push(idOf(request));
        ok(request, response);
      };
      const responses = (await Promise.all(orders())).flat();
      expect(responses.map(({ status }) => status)).toEqual(responses.map(() => 200));
      expect(new Set(ran).size).toBe(ran.length);
      expect(ran).toHaveLength(30);
    });

    it('sends no unsafe one again when the probe is cut off after it has arrived', async () => {
      await harness.start(trafficConfig({ routes }), pausing('0.6'));
      await harness.call({ method: 'POST', path: '/p0/x', body: 'order' });
      const arrived: string[] = [];
      harness.endpoints[0]!.behaviour = (request, response) => {
        const isFirst = !isProbe(request) && arrived.push(idOf(request)) === 1;
        if (isFirst) request.socket.destroy();
        else ok(request, response);
      };
      const responses = (await Promise.all(orders())).flat();
      const failed = responses.filter(({ status }) => status !== 200);
      expect(new Set(arrived).size).toBe(arrived.length);
      // The caller of the probe learns that it may have run; refusals of others say that they did not.
      expect(failed.filter(({ status }) => status !== 503).map(({ status }) => status)).toEqual([
        502,
      ]);
      expect(arrived).toHaveLength(30 - failed.length + 1);
    });

    it('refuses with the new pause when the probe is refused again', async () => {
      await harness.start(trafficConfig({ routes }), pausing('0.6'));
      await harness.call({ method: 'POST', path: '/p0/x', body: 'order' });
      const [first] = harness.endpoints;
      const before = first!.received.length;
      first!.behaviour = pausing('20');
      const responses = (await Promise.all(orders())).flat();
      expect(responses.map(({ status }) => status)).toEqual(responses.map(() => 503));
      for (const { headers } of responses) {
        expect(Number(headers['retry-after'])).toBeGreaterThan(18);
      }
      expect(first!.received.length - before).toBe(1);
    });
  });
});
