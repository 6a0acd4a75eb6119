import { once } from 'node:events';
import { createServer, request as httpRequest, type IncomingMessage } from 'node:http';
import type { Server } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { closeServer, listen } from '../../src/core/listener.js';
import type { EndpointNotice } from '../../src/fleet/index.js';
import { ServiceClient } from '../../src/engine/index.js';

describe('ServiceClient', () => {
  const servers: Server[] = [];
  let client: ServiceClient;

  beforeEach(() => {
    client = new ServiceClient();
  });

  afterEach(async () => {
    await Promise.all(servers.splice(0).map(closeServer));
    await client.close();
  });

  async function serve(server: Server): Promise<number> {
    servers.push(server);
    return listen(server, '127.0.0.1', 0);
  }

  it('streams both bodies at the same time, without buffering either', async () => {
    const echoPort = await serve(
      createServer((request, response) => {
        request.pipe(response);
      }),
    );
    const port = await serve(
      createServer((request, response) => {
        void client.relay(request, response, {
          name: 'echo',
          baseUrl: `http://127.0.0.1:${echoPort}`,
          path: '/echo',
          requestId: 'r-1',
          timeoutMs: 10_000,
          signal: new AbortController().signal,
        });
      }),
    );
    const caller = httpRequest({ port, method: 'POST', path: '/' });
    // The second part is sent only after the first was echoed.
    caller.write('first');
    const [response] = (await once(caller, 'response')) as [IncomingMessage];
    const ended = once(response, 'end');
    const [first] = (await once(response, 'data')) as [Buffer];
    expect(first.toString()).toBe('first');
    caller.end('second');
    const [second] = (await once(response, 'data')) as [Buffer];
    expect(second.toString()).toBe('second');
    await ended;
  });

  it('tells what a service says of itself, so that a pause is kept by the daemon too', async () => {
    const servicePort = await serve(
      createServer((_request, response) => {
        response.writeHead(503, { 'retry-after': '4' }).end();
      }),
    );
    const notices: EndpointNotice[] = [];
    const port = await serve(
      createServer((request, response) => {
        void client.relay(request, response, {
          name: 'orders',
          baseUrl: `http://127.0.0.1:${servicePort}`,
          path: '/',
          requestId: 'r-1',
          timeoutMs: 10_000,
          signal: new AbortController().signal,
          onNotice: (notice) => notices.push(notice),
        });
      }),
    );
    expect((await fetch(`http://127.0.0.1:${port}/`)).status).toBe(503);
    expect(notices).toEqual([{ isLeaving: false, pauseMs: 4_000, unreadable: [] }]);
  });
});
