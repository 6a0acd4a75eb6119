import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { RequestKind, type TrafficRoute } from '../../src/gateway/traffic-config.js';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayHarness, signedHeaders, type EndpointBehaviour } from './gateway-harness.js';

/** Longer than the silence after which another endpoint is asked, probe included. */
const silenceMs = 2_400;

const deadline = { 'oriolestack-deadline-ms': '8000' };

function event(id: number, bytes = 1): string {
  return `id: ${id}\ndata: ${'x'.repeat(bytes)}\n\n`;
}

function streamRoute(changes: Partial<TrafficRoute> = {}): TrafficRoute {
  return trafficRoute({
    kind: RequestKind.Stream,
    timeoutMs: 8_000,
    objectiveBetweenEventsMs: 100,
    ...changes,
  });
}

const resumable = trafficConfig({ routes: [streamRoute({ isResumable: true })] });

/** Streams `before`, falls silent, and goes on with `after`. */
function silentBetween(before: string, after: string, pauseMs = silenceMs): EndpointBehaviour {
  return (request, response) => {
    request.resume();
    response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
    response.write(before);
    setTimeout(() => response.end(after), pauseMs);
  };
}

/** Refuses as an endpoint at capacity does. */
const full: EndpointBehaviour = (request, response) => {
  request.resume();
  const { 'oriolestack-request-id': id } = signedHeaders(request);
  response.writeHead(503, { 'oriolestack-request-id': id, 'oriolestack-not-executed': '1' });
  response.end();
};

// Callers lost streams that their endpoint went on with after a silence of a second or two.
describe('a stream whose endpoint falls silent for a while', () => {
  let harness: GatewayHarness;

  beforeEach(() => {
    harness = new GatewayHarness();
    harness.probe.isResponding = false;
  });

  afterEach(async () => {
    await harness.stop();
  });

  /** Calls the silent endpoint, and adds another one before it is asked to go on. */
  async function callAndAdd(
    first: EndpointBehaviour,
    second: EndpointBehaviour,
  ): ReturnType<GatewayHarness['call']> {
    await harness.start(resumable, first);
    const call = harness.call({ headers: deadline });
    await harness.wait(200);
    await harness.addEndpoint(second);
    return call;
  }

  it('is complete when the silence falls in the middle of an event', async () => {
    const [start, rest] = ['id: 2\nda', 'ta: x\n\n'];
    await harness.start(
      trafficConfig({ routes: [streamRoute()] }),
      silentBetween(event(1) + start, rest, 3_000),
    );
    const response = await harness.call({ headers: deadline });
    expect(response).toMatchObject({ body: event(1) + event(2), isComplete: true });
  });

  it.each<[string, EndpointBehaviour]>([
    ['refuses it', full],
    [
      'breaks before its response',
      (request) => {
        request.socket.destroy();
      },
    ],
    [
      'responds with an error',
      (request, response) => {
        request.resume();
        response.writeHead(500, signedHeaders(request));
        response.end('failed');
      },
    ],
    [
      'is silent too',
      (request) => {
        request.resume();
      },
    ],
  ])('is complete when the endpoint that is to go on with it %s', async (_kind, second) => {
    const response = await callAndAdd(silentBetween(event(1), event(2)), second);
    expect(harness.arrivals).toBe(2);
    expect(response).toMatchObject({ body: event(1) + event(2), isComplete: true });
  });

  it('is handed to a third endpoint when the second one is silent too', async () => {
    const silent: EndpointBehaviour = (request) => {
      request.resume();
    };
    const route = streamRoute({ isResumable: true, maxAttempts: 3, objectiveMs: 2_000 });
    await harness.start(trafficConfig({ routes: [route] }), silent);
    const call = harness.call({ headers: deadline });
    await harness.wait(200);
    await harness.addEndpoint(silent);
    while (harness.arrivals < 2) await harness.wait(20);
    await harness.addEndpoint(silentBetween('', event(1), 0));
    expect(await call).toMatchObject({ body: event(1), isComplete: true });
  });

  it('has each event once when both endpoints go on with it', async () => {
    const response = await callAndAdd(
      silentBetween(event(1), event(2) + event(3), 1_700),
      silentBetween('', event(2) + event(3), 600),
    );
    expect(harness.arrivals).toBe(2);
    expect(response).toMatchObject({ body: event(1) + event(2) + event(3), isComplete: true });
  });

  it('is left to one endpoint as soon as one of the two goes on', async () => {
    const closed: number[] = [];
    const watched = (number: number, behaviour: EndpointBehaviour): EndpointBehaviour => {
      return (request, response) => {
        response.once('close', () => {
          if (!response.writableFinished) closed.push(number);
        });
        behaviour(request, response);
      };
    };
    await callAndAdd(
      watched(1, silentBetween(event(1), event(2), 5_000)),
      watched(2, silentBetween(event(2), '', 10)),
    );
    // The close of its connection may reach the endpoint after the caller has its last byte.
    await vi.waitFor(() => {
      expect(closed).toEqual([1]);
    });
  });
});

// The error of one endpoint ended the attempt that would have been served.
describe('a call whose silent endpoint fails after another one was asked', () => {
  it.each([
    ['a small error', 500, 'failed'],
    ['a large error', 500, 'failed '.repeat(300_000)],
    // The endpoint has not said that the request did not run.
    ['a status without a promise', 429, ''],
  ])('is answered by the other one: %s', async (_kind, status, text) => {
    const harness = new GatewayHarness();
    harness.probe.isResponding = false;
    const after = (ms: number, status: number, body: string): EndpointBehaviour => {
      return (request, response) => {
        request.resume();
        setTimeout(() => {
          response.writeHead(status, signedHeaders(request));
          response.end(body);
        }, ms);
      };
    };
    const routes = [trafficRoute({ timeoutMs: 8_000 })];
    await harness.start(trafficConfig({ routes }), after(2_000, status, text));
    const call = harness.call({ headers: deadline });
    await harness.wait(200);
    await harness.addEndpoint(after(1_800, 200, 'served'));
    expect(await call).toMatchObject({ status: 200, body: 'served' });
    expect(harness.arrivals).toBe(2);
    await harness.stop();
  });
});

// A caller that stopped reading for some seconds lost its stream as if the endpoint had stalled.
describe('a stream that its caller does not read for a while', () => {
  const events = 800;
  const eventBytes = 20_000;

  it('is complete', async () => {
    const harness = new GatewayHarness();
    await harness.start(trafficConfig({ routes: [streamRoute()] }), (request, response) => {
      request.resume();
      response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
      // In one piece, so that what is read ends in the middle of an event.
      const ids = Array.from({ length: events }, (_, index) => index + 1);
      response.end(ids.map((id) => event(id, eventBytes)).join(''));
    });
    const socket = connect({ host: '127.0.0.1', port: harness.gateway.port });
    socket.write(
      'GET /x HTTP/1.1\r\nhost: shop.example\r\noriolestack-request-id: slow\r\n' +
        'oriolestack-deadline-ms: 8000\r\n\r\n',
    );
    await harness.wait(3_000);
    let received = '';
    const ended = new Promise<void>((resolve) => {
      socket.once('close', resolve);
      socket.on('data', (bytes: Buffer) => {
        received = (received + bytes.toString('latin1')).slice(-2 * eventBytes);
        if (received.endsWith('0\r\n\r\n')) resolve();
      });
    });
    await ended;
    expect(received.includes(`id: ${events}\n`)).toBe(true);
    socket.destroy();
    await harness.stop();
  });
});
