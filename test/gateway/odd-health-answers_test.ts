import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import { RawEndpoint, type RawBehaviour } from '../raw-endpoint.js';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayHarness, signedHeaders } from './gateway-harness.js';

const event = (id: number): string => `id: ${id}\ndata: x\n\n`;

const healthPath = 'GET /health ';

/** Sends the first event of a stream and nothing more, and answers health checks. */
function silentWith(healthAnswer: string): RawBehaviour {
  return ({ socket, head }) => {
    if (head.startsWith(healthPath)) {
      socket.write(healthAnswer);
      return;
    }
    const [, requestId = ''] = /oriolestack-request-id: (\S+)/i.exec(head) ?? [];
    const lines = [
      'HTTP/1.1 200 OK',
      `oriolestack-request-id: ${requestId}`,
      'oriolestack-server-seal: seal',
      'content-type: text/event-stream',
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n${event(1)}`);
  };
}

// Its streams stayed where they were until their callers left.
describe('a silent endpoint whose health check brings an answer that HTTP does not know', () => {
  let harness: GatewayHarness;
  let silent: RawEndpoint;

  beforeEach(() => {
    harness = new GatewayHarness(new NullEventLog(), { asksEndpoints: true });
  });

  afterEach(async () => {
    await harness.stop();
    silent.close();
  });

  it.each([
    ['status 000', 'HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n'],
    ['a blank in a name', 'HTTP/1.1 200 OK\r\nx check: 1\r\ncontent-length: 0\r\n\r\n'],
  ])('loses its stream to another endpoint: %s', async (_what, healthAnswer) => {
    const route = trafficRoute({
      kind: RequestKind.Stream,
      isResumable: true,
      timeoutMs: 8_000,
      objectiveBetweenEventsMs: 100,
    });
    await harness.start(trafficConfig({ routes: [route] }));
    silent = await new RawEndpoint(silentWith(healthAnswer)).listen();
    harness.registerEndpoint('i-silent', silent.baseUrl);
    const call = harness.call({ headers: { 'oriolestack-deadline-ms': '8000' } });
    await harness.wait(200);
    await harness.addEndpoint((request, response) => {
      request.resume();
      response.writeHead(200, signedHeaders(request));
      response.end(event(2));
    });
    expect(await call).toMatchObject({ body: event(1) + event(2), isComplete: true });
    expect(silent.requests.some(({ head }) => head.startsWith(healthPath))).toBe(true);
  });
});
