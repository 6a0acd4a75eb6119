import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import { RawEndpoint } from '../raw-endpoint.js';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayHarness, respondWith } from './gateway-harness.js';

/** Time in which another endpoint is added while a request waits for its answer. */
const answerDelayMs = 150;

// Callers were told that an order had not run, on the word of an answer that HTTP does not know.
describe('an endpoint that says "not run" with a status that HTTP does not have', () => {
  const statuses = ['000', '099', '600', '999'];
  let harness: GatewayHarness;
  let endpoint: RawEndpoint;

  async function start(status: string): Promise<void> {
    const route = trafficRoute({ kind: RequestKind.AtMostOnce });
    await harness.start(trafficConfig({ routes: [route] }));
    endpoint = await new RawEndpoint(({ socket, head }) => {
      const [, requestId = ''] = /oriolestack-request-id: (\S+)/i.exec(head) ?? [];
      const lines = [
        `HTTP/1.1 ${status} Odd`,
        `oriolestack-request-id: ${requestId}`,
        'oriolestack-not-executed: 1',
        'server-leaving: 1',
        'content-length: 0',
      ];
      setTimeout(() => socket.write(`${lines.join('\r\n')}\r\n\r\n`), answerDelayMs);
    }).listen();
    harness.registerEndpoint('i-odd', endpoint.baseUrl);
  }

  beforeEach(() => {
    harness = new GatewayHarness();
  });

  afterEach(async () => {
    await harness.stop();
    endpoint.close();
  });

  it.each(statuses)('does not make the gateway say so: %s', async (status) => {
    await start(status);
    expect((await harness.call({ method: 'POST', body: 'order' })).status).toBe(502);
    expect(endpoint.requests.length).toBe(1);
  });

  it.each(statuses)('does not get its order run by another one: %s', async (status) => {
    await start(status);
    const call = harness.call({ method: 'POST', body: 'order' });
    while (endpoint.requests.length === 0) await harness.wait(5);
    const sound = await harness.addEndpoint(respondWith(200, 'done'));
    const { status: received } = await call;
    expect(received).toBe(502);
    expect(sound.received).toEqual([]);
  });

  it.each(statuses)('is not known to leave: %s', async (status) => {
    await start(status);
    for (let sent = 1; sent <= 2; sent++) {
      await harness.call({ method: 'POST', body: 'order' });
      expect(endpoint.requests.length).toBe(sent);
    }
  });
});
