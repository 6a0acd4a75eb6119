import { EventEmitter, once } from 'node:events';
import { Agent, get } from 'node:http';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind, QuotaUnit } from '../../src/gateway/traffic-config.js';
import { trafficConfig, trafficRoute } from './configs.js';
import {
  GatewayHarness,
  TestEndpoint,
  respondWith,
  signedHeaders,
  type EndpointBehaviour,
} from './gateway-harness.js';

const breakOff: EndpointBehaviour = (_request, response) => response.destroy();

const refuse: EndpointBehaviour = (request, response) => {
  request.resume();
  response.writeHead(503, { 'oriolestack-not-executed': '1' });
  response.end();
};

const streamRoute = trafficRoute({ kind: RequestKind.Stream, isResumable: true });

/** Sends events `first` to `last`; if `isBroken`, closes the connection within the next one. */
function events(first: number, last: number, isBroken: boolean): EndpointBehaviour {
  return (request, response) => {
    request.resume();
    response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
    for (let id = first; id <= last; id++) response.write(`id: ${id}\ndata: ${id}\n\n`);
    if (!isBroken) response.end();
    else response.write(`id: ${last + 1}\nda`, () => setImmediate(() => response.destroy()));
  };
}

describe('RequestRelay', () => {
  let harness: GatewayHarness;

  beforeEach(() => {
    harness = new GatewayHarness();
  });

  afterEach(async () => {
    await harness.stop();
  });

  describe('idempotent requests', () => {
    it('are retried at another endpoint when the first one closes the connection', async () => {
      await harness.start(trafficConfig(), breakOff, breakOff, respondWith(200, 'stock'));
      harness.endpoints[1]!.behaviour = respondWith(200, 'stock');
      const response = await harness.call();
      expect(response).toMatchObject({ status: 200, body: 'stock', isComplete: true });
      expect(response.headers['oriolestack-server-seal']).toBe('seal');
    });

    it('are sent to no more endpoints than the route allows', async () => {
      await harness.start(trafficConfig(), breakOff, breakOff, breakOff);
      expect((await harness.call()).status).toBe(502);
      expect(harness.arrivals).toBe(2);
    });

    it('never get a response that carries the id of another request', async () => {
      await harness.start(trafficConfig(), (request, response) => {
        request.resume();
        response.writeHead(200, { ...signedHeaders(request), 'oriolestack-request-id': 'other' });
        response.end('crossed');
      });
      expect(await harness.call()).toMatchObject({ status: 502, body: '' });
    });

    it.each([0, 20])(
      'never get a part of a response whose connection was reset after %i ms',
      async (afterMs) => {
        await harness.start(trafficConfig(), (request, response) => {
          const socket = response.socket!;
          const head = Object.entries(signedHeaders(request)).map(
            ([name, value]) => `${name}: ${value}\r\n`,
          );
          socket.write(`HTTP/1.1 200 OK\r\n${head.join('')}connection: close\r\n\r\npart`, () => {
            if (afterMs === 0) socket.resetAndDestroy();
            else setTimeout(() => socket.resetAndDestroy(), afterMs);
          });
        });
        expect(await harness.call()).toMatchObject({ status: 502, body: '' });
      },
    );

    it('get a framed response that was complete before its connection was reset', async () => {
      await harness.start(trafficConfig(), (request, response) => {
        const socket = response.socket!;
        const head = Object.entries(signedHeaders(request)).map(
          ([name, value]) => `${name}: ${value}\r\n`,
        );
        socket.write(`HTTP/1.1 200 OK\r\n${head.join('')}content-length: 5\r\n\r\nwhole`, () => {
          socket.resetAndDestroy();
        });
      });
      expect(await harness.call()).toMatchObject({ status: 200, body: 'whole', isComplete: true });
    });

    it('get a response without a length whose connection was closed in order', async () => {
      await harness.start(trafficConfig(), (request, response) => {
        const head = Object.entries(signedHeaders(request)).map(
          ([name, value]) => `${name}: ${value}\r\n`,
        );
        response.socket!.end(`HTTP/1.1 200 OK\r\n${head.join('')}connection: close\r\n\r\nwhole`);
      });
      expect(await harness.call()).toMatchObject({ status: 200, body: 'whole', isComplete: true });
    });

    it('never get a successful response without a signature', async () => {
      await harness.start(trafficConfig(), (request, response) => response.end(request.url));
      expect((await harness.call()).status).toBe(502);
    });
  });

  describe('streams without a length or chunks, which end with their connection', () => {
    const config = trafficConfig({ routes: [streamRoute] });

    /** Sends the head of a stream, then the text, and ends the connection in order. */
    function endAfter(text: string): EndpointBehaviour {
      return (request, response) => {
        request.resume();
        const head = Object.entries(signedHeaders(request)).map(
          ([name, value]) => `${name}: ${value}\r\n`,
        );
        response.socket!.end(`HTTP/1.1 200 OK\r\n${head.join('')}connection: close\r\n\r\n${text}`);
      };
    }

    it('are whole when they end between two events', async () => {
      await harness.start(config, endAfter('id: 1\ndata: a\n\n'));
      expect(await harness.call()).toMatchObject({ status: 200, isComplete: true });
    });

    it('are whole when they resume after their last event', async () => {
      await harness.start(config, endAfter(''));
      const headers = { 'last-event-id': '12' };
      expect(await harness.call({ headers })).toMatchObject({ status: 200, isComplete: true });
    });

    it.each(['', ':', 'id: 1\nda', 'id: 1\ndata: a\n\nid: 2'])(
      'never look whole when they end before their first event or inside one: %j',
      async (text) => {
        await harness.start(config, endAfter(text), endAfter(text));
        const { status, isComplete } = await harness.call();
        expect(status === 200 && isComplete).toBe(false);
      },
    );
  });

  describe('at-most-once requests', () => {
    const config = trafficConfig({ routes: [trafficRoute({ kind: RequestKind.AtMostOnce })] });

    it('are not retried after a broken connection, and the status leaves the outcome open', async () => {
      await harness.start(config, breakOff, breakOff);
      expect((await harness.call({ method: 'POST', body: 'order' })).status).toBe(502);
      expect(harness.arrivals).toBe(1);
    });

    it('are retried elsewhere when the endpoint states that it did not run them', async () => {
      await harness.start(config, refuse, refuse);
      const refused = await harness.call({ method: 'POST', body: 'order' });
      expect(refused.status).toBe(503);
      expect(refused.headers['retry-after']).toBeDefined();
      expect(harness.arrivals).toBe(2);
    });

    it('are not retried when their endpoint stops responding after it received them', async () => {
      await harness.start(
        config,
        () => undefined,
        () => undefined,
      );
      harness.probe.isResponding = false;
      expect((await harness.call({ method: 'POST', body: 'order' })).status).toBe(504);
      expect(harness.arrivals).toBe(1);
    });

    it('get 502 when an endpoint responds with 503 without that statement', async () => {
      await harness.start(config, respondWith(503, 'busy?'));
      const response = await harness.call({ method: 'POST', body: 'order' });
      expect(response.status).toBe(502);
      expect(response.headers['oriolestack-server-seal']).toBeUndefined();
    });

    it('are refused as not run when no endpoint is known', async () => {
      await harness.start(config);
      const refused = await harness.call({ method: 'POST', body: 'order' });
      expect(refused.status).toBe(503);
      // New endpoints take seconds to start; the caller keeps most of its time for the next attempt.
      expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0.6);
      expect(Number(refused.headers['retry-after'])).toBeLessThan(1);
    });
  });

  describe('resumable streams', () => {
    it('resume elsewhere after the last complete event, with none missing or duplicated', async () => {
      const arrivals = new EventEmitter();
      const arrived = once(arrivals, 'first');
      await harness.start(trafficConfig({ routes: [streamRoute] }), (request, response) => {
        arrivals.emit('first');
        events(1, 2, true)(request, response);
      });
      const [first] = harness.endpoints;
      const pendingResponse = harness.call({ method: 'POST', body: 'prompt' });
      await arrived;
      await harness.addEndpoint((request, response) => {
        expect(request.headers['last-event-id']).toBe('2');
        events(3, 4, false)(request, response);
      });
      const response = await pendingResponse;
      expect(first!.received).toHaveLength(1);
      expect(response.body).toBe([1, 2, 3, 4].map((id) => `id: ${id}\ndata: ${id}\n\n`).join(''));
      expect(response.isComplete).toBe(true);
    });

    it.each([204, 205, 304])(
      'end, and do not hang, when the endpoint that resumes them answers %i',
      async (status) => {
        const arrivals = new EventEmitter();
        const arrived = once(arrivals, 'first');
        await harness.start(trafficConfig({ routes: [streamRoute] }), (request, response) => {
          arrivals.emit('first');
          events(1, 2, true)(request, response);
        });
        const pendingResponse = harness.call({ method: 'POST', body: 'prompt' });
        await arrived;
        await harness.addEndpoint((request, response) => {
          request.resume();
          response.writeHead(status, signedHeaders(request)).end();
        });
        const response = await pendingResponse;
        expect(response.isComplete).toBe(false);
        expect(response.body).toBe('id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
      },
    );

    it('never look complete when no endpoint can resume them', async () => {
      await harness.start(trafficConfig({ routes: [streamRoute] }), events(1, 2, true));
      const response = await harness.call({ method: 'POST', body: 'prompt' });
      expect(response.isComplete).toBe(false);
      expect(response.body).toBe('id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
    });
  });

  describe('streams that are not resumable', () => {
    it('end incomplete where their endpoint closed the connection', async () => {
      const route = trafficRoute({ kind: RequestKind.Stream });
      await harness.start(
        trafficConfig({ routes: [route] }),
        events(1, 1, true),
        events(1, 9, false),
      );
      harness.endpoints[1]!.behaviour = events(1, 1, true);
      expect((await harness.call({ method: 'POST', body: 'prompt' })).isComplete).toBe(false);
      expect(harness.arrivals).toBe(1);
    });
  });

  describe('a caller that disconnects', () => {
    it('before its request is complete causes no request to an endpoint', async () => {
      await harness.start(trafficConfig(), respondWith(200, 'ok'));
      const socket = connect({ host: '127.0.0.1', port: harness.gateway.port });
      await new Promise((resolve) => socket.once('connect', resolve));
      socket.write(
        'POST /x HTTP/1.1\r\nhost: shop.example\r\noriolestack-request-id: r\r\n' +
          'content-length: 10\r\n\r\nhalf',
      );
      await new Promise<void>((resolve) => {
        socket.end(resolve);
      });
      expect((await harness.call()).status).toBe(200);
      expect(harness.arrivals).toBe(1);
    });

    it('has its repeatable request stopped at the endpoint', async () => {
      let stopped: () => void = () => undefined;
      const whenStopped = new Promise<void>((resolve) => (stopped = resolve));
      await harness.start(trafficConfig(), (request, response) => {
        request.resume();
        response.once('close', stopped);
        caller.destroy();
      });
      const caller = connect({ host: '127.0.0.1', port: harness.gateway.port });
      caller.write('GET /x HTTP/1.1\r\nhost: shop.example\r\noriolestack-request-id: r\r\n\r\n');
      await whenStopped;
      expect(harness.arrivals).toBe(1);
    });
  });

  describe('the deadline', () => {
    it('of the route ends a request at once with a status that leaves the outcome open', async () => {
      const route = trafficRoute({ timeoutMs: 80 });
      await harness.start(trafficConfig({ routes: [route] }), () => undefined);
      expect((await harness.call()).status).toBe(504);
    });
  });

  describe('an endpoint at an address that no request can go to', () => {
    it('is left out for another one, and keeps no request counted', async () => {
      await harness.start(trafficConfig(), respondWith(200, 'ok'));
      harness.registerEndpoint('odd', 'http://127.0.0.1:99999');
      for (let number = 0; number < 10; number++) expect((await harness.call()).status).toBe(200);
      const [odd] = harness.gateway.endpoints.registrationsOf('orders').slice(-1);
      expect(odd?.instanceId).toBe('odd');
      expect(harness.arrivals).toBe(10);
    });
  });

  describe('headers', () => {
    const workspaces = [
      {
        name: 'tenders',
        callerKeys: ['secret'],
        priority: undefined,
        unit: QuotaUnit.Requests,
        defaultTokens: 0,
        ratePerS: 0,
        burst: 0,
      },
    ];

    it('name the workspace of the key, never the one that the caller claims, and not the key', async () => {
      await harness.start(trafficConfig({ workspaces }), respondWith(200, 'ok'));
      await harness.call({
        headers: {
          authorization: 'Bearer secret',
          'oriolestack-tenant': 'forged',
          'oriolestack-hold': 'forged',
          'kv-from': 'forged',
        },
      });
      const { headers } = harness.endpoints[0]!.received[0]!;
      expect(headers['oriolestack-tenant']).toBe('tenders');
      expect(headers['oriolestack-expect-instance']).toBe('i-1');
      expect(headers.authorization).toBeUndefined();
      expect(headers['oriolestack-hold']).toBeUndefined();
      expect(headers['kv-from']).toBeUndefined();
      expect(Number(headers['oriolestack-deadline-ms'])).toBeLessThanOrEqual(3_000);
    });

    it('beyond the configured size are refused before anything is sent', async () => {
      await harness.start(trafficConfig(), respondWith(200, 'ok'));
      const response = await harness.call({ headers: { 'x-long': 'x'.repeat(20_000) } });
      expect(response.status).toBe(431);
      expect(harness.arrivals).toBe(0);
    });

    it('without a known key are refused before anything is sent', async () => {
      await harness.start(trafficConfig({ workspaces }), respondWith(200, 'ok'));
      const response = await harness.call({ headers: { authorization: 'Bearer wrong' } });
      expect(response.status).toBe(401);
      expect(harness.arrivals).toBe(0);
    });

    it('are refused when the last workspace was taken away, as then no key is known', async () => {
      await harness.start(trafficConfig({ workspaces }), respondWith(200, 'ok'));
      harness.gateway.config.update(trafficConfig({ version: 2, requiresKeys: true }));
      const headers = { authorization: 'Bearer secret' };
      expect((await harness.call({ headers })).status).toBe(401);
      expect((await harness.call()).status).toBe(401);
      expect(harness.arrivals).toBe(0);
    });
  });

  describe('the configuration', () => {
    it('is required: before the first version, requests are refused as not run', async () => {
      await harness.gateway.start();
      expect((await harness.call()).status).toBe(503);
    });

    it('never goes back to an older version', async () => {
      await harness.start(trafficConfig({ version: 7 }), respondWith(200, 'ok'));
      harness.gateway.config.update(trafficConfig({ version: 6, routes: [] }));
      expect((await harness.call()).status).toBe(200);
    });
  });

  describe('an endpoint that begins to leave while the connection to it opens', () => {
    it('does not get the request, which goes to another one', async () => {
      const route = trafficRoute({ kind: RequestKind.AtMostOnce });
      await harness.start(trafficConfig({ routes: [route] }), respondWith(200, 'leaving'));
      harness.endpoints[0]!.onConnection = () => {
        harness.drainEndpoint(0);
        harness.registerEndpoint('i-2', other.baseUrl);
      };
      const other = new TestEndpoint(respondWith(200, 'staying'));
      await other.start();
      const response = await harness.call();
      other.stop();
      expect(harness.arrivals).toBe(0);
      expect(response).toMatchObject({ status: 200, body: 'staying' });
    });
  });

  describe('an endpoint that closes a kept connection', () => {
    it('gets the request that is about to use it on another connection, so that none is lost', async () => {
      await harness.start(trafficConfig(), respondWith(200, 'ok'));
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      const call = (number: number): Promise<number> =>
        new Promise((resolve) => {
          const { port } = harness.gateway;
          const headers = { host: 'shop.example', 'oriolestack-request-id': `r${number}` };
          get({ host: '127.0.0.1', port, agent, path: '/x', headers }, (response) => {
            response.resume().once('end', () => resolve(response.statusCode ?? 0));
          });
        });
      await call(0);
      const statuses: number[] = [];
      for (let number = 1; number <= 10; number++) {
        await new Promise((resolve) => setTimeout(resolve, 5));
        const answered = call(number);
        // The request of the caller and the end of the connection are read in the same turn.
        process.nextTick(() => harness.endpoints[0]!.received.at(-1)!.socket.destroy());
        statuses.push(await answered);
      }
      agent.destroy();
      expect(new Set(statuses)).toEqual(new Set([200]));
    });
  });
});
