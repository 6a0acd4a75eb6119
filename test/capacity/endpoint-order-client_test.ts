import { expect, it, describe } from 'vitest';
import { HttpEndpointOrderClient, OrderError, OrderKind } from '../../src/capacity/index.js';
import { JsonServer } from '../../src/standins/json-server.js';
import { RawEndpoint } from '../raw-endpoint.js';

describe('HttpEndpointOrderClient', () => {
  it('sends the fence and distinguishes a stale fence from other failures', async () => {
    const bodies: unknown[] = [];
    let status = 200;
    const server = new JsonServer(async ({ body }) => {
      bodies.push(body);
      return { status };
    });
    const url = await server.listen();
    const orders = new HttpEndpointOrderClient();
    const order = { kind: OrderKind.SetVersion, version: '8' } as const;
    await orders.send(url, order, 7);
    expect(bodies).toEqual([{ ...order, fence: 7 }]);
    for (const [answer, isFenceStale] of [
      [409, true],
      [500, false],
    ] as const) {
      status = answer;
      const error: unknown = await orders.send(url, order, 7).catch((e: unknown) => e);
      expect(error).toBeInstanceOf(OrderError);
      expect((error as OrderError).isFenceStale).toBe(isFenceStale);
    }
    await orders.close();
    await server.close();
  });

  // A controller that was replaced has to stop, also where the answer that says so is cut.
  it.each([
    ['ends with its connection', ''],
    ['is cut', 'content-length: 10\r\n'],
  ])('takes a stale fence from an answer that %s', async (_how, framing) => {
    const endpoint = await new RawEndpoint(({ socket }) => {
      socket.end(`HTTP/1.1 409 Conflict\r\n${framing}\r\nstale`);
    }).listen();
    const orders = new HttpEndpointOrderClient();
    const order = { kind: OrderKind.SetVersion, version: '8' } as const;
    const sent = orders.send(endpoint.baseUrl, order, 7);
    await expect(sent).rejects.toMatchObject({ isFenceStale: true });
    await orders.close();
    endpoint.close();
  });
});
