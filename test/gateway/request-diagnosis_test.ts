import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import { KeyedLogFault } from '../../src/standins/memory-keyed-log.js';
import { EventId, TraceRelation, traceRequest, type LogLine } from '../../src/telemetry/index.js';
import { trafficConfig, trafficRoute } from './configs.js';
import {
  GatewayHarness,
  respondWith,
  signedHeaders,
  type EndpointBehaviour,
} from './gateway-harness.js';
import { RecordingEventLog } from './recording-event-log.js';

const id = 'complaint-1';
const headers = { 'oriolestack-request-id': id };

/** Follows the steps of docs/OPERATIONS.md on real failures, with logs and metrics only. */
describe('the diagnosis of a request', () => {
  let recorded: RecordingEventLog;
  let harness: GatewayHarness;

  beforeEach(() => {
    recorded = new RecordingEventLog();
    harness = new GatewayHarness(recorded);
  });

  afterEach(async () => {
    await harness.stop();
  });

  /** Numbers of the events in the request's trace that have the given relation. */
  function traced(relation: TraceRelation): EventId[] {
    return traceRequest(recorded.lines, id)
      .filter((traced) => traced.relation === relation)
      .map(({ line }) => line.event);
  }

  function ownFields(event: EventId): Readonly<Record<string, unknown>> | undefined {
    return traceRequest(recorded.lines, id).find(({ line }) => line.event === event)?.line.fields;
  }

  async function metricLines(): Promise<string[]> {
    harness.gateway.measure();
    return (await harness.metrics.text()).split('\n');
  }

  it('that was refused: all endpoints of its service were leaving', async () => {
    await harness.start(trafficConfig(), respondWith(200, 'ok'));
    harness.drainEndpoint(0);
    const response = await harness.call({ headers });
    expect(response.status).toBe(503);

    expect(ownFields(EventId.RequestRefused)).toMatchObject({
      service: 'orders',
      reason: 'no endpoint is available',
      sends: 0,
      mayHaveRun: false,
    });
    expect(traced(TraceRelation.Daemon)).toContain(EventId.EndpointLeaving);
    const metrics = await metricLines();
    expect(metrics).toContain('oriolestack_gateway_endpoints{service="orders",state="leaving"} 1');
    expect(metrics).toContain('oriolestack_gateway_endpoints{service="orders",state="live"} 0');
    expect(metrics).toContain('oriolestack_gateway_requests{service="orders",outcome="503"} 1');
  });

  it('that was late: its first endpoint closed the connection', async () => {
    const breakOff = (_: unknown, response: { destroy: () => void }): void => {
      response.destroy();
    };
    await harness.start(trafficConfig(), breakOff, breakOff);
    harness.endpoints[1]!.behaviour = respondWith(200, 'ok');
    let response = await harness.call({ headers });
    for (let attempt = 2; traced(TraceRelation.Request).length === 0; attempt++) {
      // Either endpoint may be chosen first; only a request sent to the failing one is logged.
      expect(attempt).toBeLessThan(50);
      response = await harness.call({ headers });
    }
    expect(response.status).toBe(200);

    expect(traced(TraceRelation.Request)).toEqual([EventId.AttemptFailed, EventId.RequestRetried]);
    const failed = ownFields(EventId.AttemptFailed);
    expect(failed).toMatchObject({ end: 'broken', wasSent: true });
    expect(String(failed?.endpoint)).toMatch(/^i-1:/);
    expect(String(ownFields(EventId.RequestRetried)?.endpoint)).toMatch(/^i-2:/);
    expect(await metricLines()).toContain(
      'oriolestack_gateway_attempts{service="orders",end="broken"} 1',
    );
  });

  it('that ended with its endpoint: what its prompt shared with other requests', async () => {
    const routes = [trafficRoute({ kind: RequestKind.Stream, hasPrompt: true })];
    await harness.start(trafficConfig({ routes }), (request, response) => {
      request.resume();
      response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
      response.write(':', () => request.socket.destroy());
    });
    await harness.call({
      headers: { ...headers, 'oriolestack-prompt-prefix': 'aa:800,bb:60,own:20' },
    });

    expect(ownFields(EventId.AttemptFailed)).toMatchObject({
      end: 'broken',
      hasResponse: true,
      sharedParts: ['aa', 'bb'],
    });
  });

  it('that was cut: bytes came, but for too long no event', async () => {
    const routes = [
      trafficRoute({ kind: RequestKind.Stream, objectiveMs: 100, objectiveBetweenEventsMs: 100 }),
    ];
    await harness.start(trafficConfig({ routes }), (request, response) => {
      request.resume();
      response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
      response.write('id: 1\ndata: 1\n\n');
      const timer = setInterval(() => response.write('x'), 100);
      response.once('close', () => {
        clearInterval(timer);
      });
    });
    await harness.call({ headers });

    const { sinceDataMs, sinceEventMs, isBlocked } = ownFields(EventId.AttemptFailed) ?? {};
    expect(sinceDataMs).toBeLessThan(1_200);
    expect(sinceEventMs).toBeGreaterThanOrEqual(2_000);
    expect(isBlocked).toBe(false);
  });

  it('of unknown outcome: its only endpoint received it and sent no response', async () => {
    const routes = [trafficRoute({ kind: RequestKind.AtMostOnce })];
    await harness.start(trafficConfig({ routes }), (request) => request.socket.destroy());
    const response = await harness.call({ method: 'POST', body: 'order', headers });
    expect(response.status).toBe(502);

    expect(ownFields(EventId.RequestBroken)).toMatchObject({
      status: 502,
      sends: 1,
      mayHaveRun: true,
    });
    expect(String(ownFields(EventId.AttemptFailed)?.endpoint)).toMatch(/^i-1:/);
    expect(await metricLines()).toContain(
      'oriolestack_gateway_requests{service="orders",outcome="502"} 1',
    );
  });

  describe('that its caller gave up', () => {
    const streamRoute = trafficRoute({ kind: RequestKind.Stream, isResumable: true });
    const streams = trafficConfig({ routes: [streamRoute] });

    /** Sends two events, and then nothing. */
    const stall: EndpointBehaviour = (incoming, response) => {
      incoming.resume();
      response.writeHead(200, { ...signedHeaders(incoming), 'content-type': 'text/event-stream' });
      response.write('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
    };

    /** Sends the request and disconnects after some time. */
    async function callAndLeave(afterMs: number): Promise<void> {
      const socket = connect({ host: '127.0.0.1', port: harness.gateway.port });
      const head = `POST /x HTTP/1.1\r\nhost: shop.example\r\noriolestack-request-id: ${id}\r\n`;
      socket.write(`${head}content-length: 0\r\n\r\n`);
      await harness.clock.sleepUntil(harness.clock.nowMs() + afterMs);
      socket.destroy();
      while (!ownFields(EventId.CallerLeft)) {
        await harness.clock.sleepUntil(harness.clock.nowMs() + 10);
      }
    }

    it('in the middle of a stream: how far it came, where, and since when nothing had come', async () => {
      await harness.start(streams, stall);
      await callAndLeave(300);
      const fields = ownFields(EventId.CallerLeft);
      expect(fields).toMatchObject({ sends: 1, events: 2, mayHaveRun: true });
      expect(String(fields?.endpoint)).toMatch(/^i-1:/);
      expect(Number(fields?.firstEventMs)).toBeLessThan(250);
      expect(Number(fields?.sinceProgressMs)).toBeGreaterThan(150);
    });

    it('before the first event: it was sent and not answered', async () => {
      await harness.start(streams, (incoming) => incoming.resume());
      await callAndLeave(200);
      const fields = ownFields(EventId.CallerLeft);
      expect(fields).toMatchObject({ sends: 1, events: 0 });
      // Tells a request that was written before its caller left from one that was written after.
      expect(Number(fields?.sinceWrittenMs)).toBeGreaterThan(100);
    });
  });

  it('that was cut at its deadline in the middle of a stream', async () => {
    const route = trafficRoute({ kind: RequestKind.Stream, isResumable: true, timeoutMs: 400 });
    await harness.start(trafficConfig({ routes: [route] }), (incoming, response) => {
      incoming.resume();
      response.writeHead(200, signedHeaders(incoming));
      response.write('id: 1\ndata: a\n\n');
    });
    const response = await harness.call({ method: 'POST', headers });
    expect(response.isComplete).toBe(false);
    expect(ownFields(EventId.RequestBroken)).toMatchObject({
      reason: 'the deadline passed',
      events: 1,
      sends: 1,
    });
  });

  it('during an outage of the store: metrics and logs name what cannot be read', async () => {
    await harness.start(trafficConfig(), respondWith(200, 'ok'));
    harness.store.fault = KeyedLogFault.Down;
    const unreadable = 'oriolestack_gateway_store_readable{topic="servers"} 0';
    // The gauge is also 0 before the first read; the log line distinguishes an outage from a start.
    const isFailing = ({ event, fields }: LogLine): boolean =>
      event === EventId.LogReadFailing && fields.stream === 'servers';
    while (!recorded.lines.some(isFailing)) {
      await harness.clock.sleepUntil(harness.clock.nowMs() + 20);
    }
    expect(await metricLines()).toContain(unreadable);
    expect((await harness.call({ headers })).status).toBe(200);
    expect(await metricLines()).toContain('oriolestack_gateway_config_version 1');
  });
});
