import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind, type TrafficRoute } from '../../src/gateway/traffic-config.js';
import { trafficConfig, trafficRoute } from './configs.js';
import {
  GatewayHarness,
  respondWith,
  signedHeaders,
  type EndpointBehaviour,
} from './gateway-harness.js';

/** More than a response that is kept until it is whole. */
const largeText = 'the endpoint has failed '.repeat(100_000);

const events = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n';

/** Streams two events and breaks. */
const breakingStream: EndpointBehaviour = (request, response) => {
  request.resume();
  response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
  response.write(events, () => setTimeout(() => response.destroy(), 50));
};

/** Responds with a status and a text, in chunks. */
function respondInChunks(status: number, text: string): EndpointBehaviour {
  return (request, response) => {
    request.resume();
    response.writeHead(status, signedHeaders(request));
    response.write(text.slice(0, 10));
    response.end(text.slice(10));
  };
}

/** Responds with a status and a text of a length that is told. */
function respondWithLength(status: number, text: string): EndpointBehaviour {
  return (request, response) => {
    request.resume();
    response.writeHead(status, { ...signedHeaders(request), 'content-length': text.length });
    response.end(text);
  };
}

// Callers found an endpoint's error in the middle of their stream, or were told by a large one that
// their request had not run.
describe('an error response', () => {
  let harness: GatewayHarness;

  beforeEach(() => {
    harness = new GatewayHarness();
  });

  afterEach(async () => {
    await harness.stop();
  });

  describe.each([
    ['small', 'failed'],
    ['large', largeText],
  ])('that is %s', (_size, text) => {
    const errors: [string, EndpointBehaviour][] = [
      ['with a length', respondWithLength(500, text)],
      ['in chunks', respondInChunks(500, text)],
    ];

    it.each(errors)('is no part of a stream that has begun: %s', async (_kind, behaviour) => {
      const route = trafficRoute({ kind: RequestKind.Stream, isResumable: true });
      await harness.start(trafficConfig({ routes: [route] }), breakingStream);
      const call = harness.call();
      await harness.wait(20);
      await harness.addEndpoint(behaviour);
      const response = await call;
      expect(harness.arrivals).toBe(2);
      expect(response.body.length).toBe(events.length);
      expect(response).toMatchObject({ status: 200, body: events, isComplete: false });
    });

    it.each(errors)(
      'leads to another attempt where one is allowed: %s',
      async (_kind, behaviour) => {
        await harness.start(trafficConfig(), behaviour);
        // Whichever endpoint is asked first.
        await harness.addEndpoint(respondWith(200, 'served'));
        for (let call = 0; call < 4; call++) {
          expect((await harness.call()).status).toBe(200);
        }
      },
    );

    it.each([429, 503])('is not passed on as a promise: status %i', async (status) => {
      const route = trafficRoute({ kind: RequestKind.AtMostOnce });
      await harness.start(trafficConfig({ routes: [route] }), respondWithLength(status, text));
      expect((await harness.call({ method: 'POST', body: 'order' })).status).toBe(502);
    });

    it.each<[string, number, Partial<TrafficRoute>]>([
      ['of a request that runs once at most', 500, { kind: RequestKind.AtMostOnce }],
      ['of the last attempt', 500, { maxAttempts: 1 }],
      ['that no attempt would change', 404, {}],
    ])('is passed on whole: one %s', async (_kind, status, changes) => {
      await harness.start(
        trafficConfig({ routes: [trafficRoute(changes)] }),
        respondWithLength(status, text),
      );
      const response = await harness.call({ method: 'POST', body: 'order' });
      expect(response.body.length).toBe(text.length);
      expect(response).toMatchObject({ status, isComplete: true });
    });
  });
});
