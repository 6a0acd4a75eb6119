import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind, type TrafficRoute } from '../../src/gateway/traffic-config.js';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayHarness, signedHeaders, type EndpointBehaviour } from './gateway-harness.js';

/** Longer than the silence after which an endpoint is probed, and than the probe's timeout. */
const pauseMs = 2_600;

const deadline = { 'oriolestack-deadline-ms': '8000' };

function event(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/** Streams two events with a pause between them. */
const pausingStream: EndpointBehaviour = (request, response) => {
  request.resume();
  response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
  response.write(event(1));
  setTimeout(() => response.end(event(2)), pauseMs);
};

/** Goes on after the event that the request names, at once. */
const resumingStream: EndpointBehaviour = (request, response) => {
  request.resume();
  response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
  response.end(event(Number(request.headers['last-event-id']) + 1));
};

function streams(changes: Partial<TrafficRoute> = {}): TrafficRoute {
  return trafficRoute({ kind: RequestKind.Stream, timeoutMs: 8_000, ...changes });
}

// A sound endpoint may send nothing for a while; its callers lost answers that it went on to give.
describe('an endpoint that falls silent for a while and goes on', () => {
  let harness: GatewayHarness;

  beforeEach(() => {
    harness = new GatewayHarness();
    harness.probe.isResponding = false;
  });

  afterEach(async () => {
    await harness.stop();
  });

  it('keeps a stream that cannot be resumed, although its probe gets no response', async () => {
    await harness.start(trafficConfig({ routes: [streams()] }), pausingStream);
    const response = await harness.call({ headers: deadline });
    expect(response).toMatchObject({ body: event(1) + event(2), isComplete: true });
  });

  it('keeps a call that runs once at most, although its probe gets no response', async () => {
    const route = trafficRoute({ kind: RequestKind.AtMostOnce, timeoutMs: 8_000 });
    await harness.start(trafficConfig({ routes: [route] }), (request, response) => {
      request.resume();
      setTimeout(() => {
        response.writeHead(200, signedHeaders(request));
        response.end('confirmed');
      }, pauseMs);
    });
    const response = await harness.call({ method: 'POST', headers: deadline, body: 'order' });
    expect(response).toMatchObject({ status: 200, body: 'confirmed' });
    expect(harness.arrivals).toBe(1);
  });

  it('keeps a stream that no other endpoint can resume', async () => {
    await harness.start(trafficConfig({ routes: [streams({ isResumable: true })] }), pausingStream);
    const response = await harness.call({ headers: deadline });
    expect(response).toMatchObject({ body: event(1) + event(2), isComplete: true });
    expect(harness.arrivals).toBe(1);
  });

  it('hands a stream that can be resumed to another endpoint before its caller leaves', async () => {
    const routes = [streams({ isResumable: true })];
    await harness.start(trafficConfig({ routes }), pausingStream);
    const call = harness.call({ headers: deadline });
    await harness.wait(200);
    await harness.addEndpoint(resumingStream);
    await harness.wait(pauseMs - 400);
    expect(harness.arrivals).toBe(2);
    expect(await call).toMatchObject({ body: event(1) + event(2), isComplete: true });
  });

  it('gets no new requests until it responds to a probe', async () => {
    await harness.start(trafficConfig({ routes: [streams()] }), pausingStream);
    const call = harness.call({ headers: deadline });
    await harness.wait(pauseMs - 400);
    expect((await harness.call({ headers: deadline })).status).toBe(503);
    expect(harness.arrivals).toBe(1);
    await call;
  });

  it('keeps its streams when its registration has ended and it serves on', async () => {
    harness.probe.isResponding = true;
    await harness.start(trafficConfig({ routes: [streams()] }), pausingStream);
    const call = harness.call({ headers: deadline });
    await harness.wait(200);
    harness.gateway.endpoints.remove('i-1');
    expect(await call).toMatchObject({ body: event(1) + event(2), isComplete: true });
  });
});
