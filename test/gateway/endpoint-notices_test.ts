import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import { trafficConfig, trafficRoute } from './configs.js';
import {
  GatewayHarness,
  respondWith,
  signedHeaders,
  type EndpointBehaviour,
} from './gateway-harness.js';

/** Refuses as not run and asks for a pause. */
function pausing(seconds: string): EndpointBehaviour {
  return (request, response) => {
    request.resume();
    response.writeHead(503, {
      'oriolestack-request-id': String(request.headers['oriolestack-request-id']),
      'oriolestack-not-executed': '1',
      'retry-after': seconds,
    });
    response.end();
  };
}

/** Answers with a status, and that the endpoint leaves. */
function leaving(status: number): EndpointBehaviour {
  return (request, response) => {
    request.resume();
    response.writeHead(status, { ...signedHeaders(request), 'server-leaving': '1' });
    response.end('ok');
  };
}

describe('what endpoints say of themselves', () => {
  let harness: GatewayHarness;

  beforeEach(() => {
    harness = new GatewayHarness();
  });

  afterEach(async () => {
    await harness.stop();
  });

  const arrivalsAt = (index: number): number => harness.endpoints[index]?.received.length ?? 0;

  describe('that they leave', () => {
    it.each([200, 500])(
      'keeps further requests away though the registration says ready: status %i',
      async (status) => {
        await harness.start(trafficConfig(), leaving(status), respondWith(200, 'ok'));
        while (arrivalsAt(0) === 0) await harness.call();
        harness.registerEndpoint('i-1', harness.endpoints[0]!.baseUrl);
        for (let number = 0; number < 20; number++) {
          expect((await harness.call()).status).toBe(200);
        }
        expect(arrivalsAt(0)).toBe(1);
      },
    );

    it('is told by the head of a stream, whose events still come', async () => {
      const route = trafficRoute({ kind: RequestKind.Stream });
      await harness.start(trafficConfig({ routes: [route] }), (request, response) => {
        request.resume();
        response.writeHead(200, { ...signedHeaders(request), 'server-leaving': '1' });
        response.write('id: 1\ndata: 1\n\n');
        setTimeout(() => response.end('id: 2\ndata: 2\n\n'), 200);
      });
      expect(await harness.call()).toMatchObject({ status: 200, isComplete: true });
      expect((await harness.call()).status).toBe(503);
      expect(arrivalsAt(0)).toBe(1);
    });

    it('holds for the process: a later start under the same id and address is used', async () => {
      await harness.start(trafficConfig(), leaving(200));
      await harness.call();
      expect((await harness.call()).status).toBe(503);
      harness.endpoints[0]!.behaviour = respondWith(200, 'again');
      harness.registerEndpoint('i-1', harness.endpoints[0]!.baseUrl, false, 2);
      expect((await harness.call()).body).toBe('again');
    });
  });

  describe('that they want a pause', () => {
    it('sends callers to other endpoints, and nothing to the one that pauses', async () => {
      await harness.start(trafficConfig(), pausing('4'), respondWith(200, 'ok'));
      for (let number = 0; number < 40; number++) {
        expect((await harness.call()).status).toBe(200);
      }
      expect(arrivalsAt(0)).toBeLessThanOrEqual(1);
    });

    it('is kept by requests that may run once at most, which are sent again after the refusal', async () => {
      const route = trafficRoute({ kind: RequestKind.AtMostOnce });
      const config = trafficConfig({ routes: [route] });
      await harness.start(config, pausing('4'), respondWith(200, 'ok'));
      for (let number = 0; number < 20; number++) {
        expect((await harness.call({ method: 'POST', body: 'order' })).status).toBe(200);
      }
      expect(arrivalsAt(0)).toBeLessThanOrEqual(1);
    });

    it('refuses at once while all pause, until the earliest end', async () => {
      await harness.start(trafficConfig(), pausing('9'), pausing('4'));
      // The first call meets both.
      await harness.call();
      const startedAtMs = Date.now();
      const response = await harness.call();
      expect(Date.now() - startedAtMs).toBeLessThan(500);
      expect(response.status).toBe(503);
      expect(Number(response.headers['retry-after'])).toBeGreaterThan(3);
      expect(Number(response.headers['retry-after'])).toBeLessThan(5);
      expect(harness.arrivals).toBe(2);
    });

    it('is waited for when it ends soon; one request probes and the others follow', async () => {
      await harness.start(trafficConfig(), pausing('0.6'));
      await harness.call();
      let concurrent = 0;
      let firstTogether = 0;
      harness.endpoints[0]!.behaviour = (request, response) => {
        concurrent += 1;
        if (harness.arrivals === 2) firstTogether = concurrent;
        setTimeout(() => {
          concurrent -= 1;
          respondWith(200, 'ok')(request, response);
        }, 20);
      };
      const responses = await Promise.all(Array.from({ length: 10 }, () => harness.call()));
      expect(responses.map(({ status }) => status)).toEqual(responses.map(() => 200));
      expect(firstTogether).toBe(1);
    });
  });
});
