import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/core/index.js';
import { BodyTooLargeError, readBounded, readControlJson } from '../../src/core/response-body.js';
import { HttpEndpointProbe } from '../../src/fleet/index.js';

// An endpoint in trouble sent a body without end; what called it kept all of it and ran out of memory.
describe('a body without end', () => {
  let server: Server;
  let baseUrl: string;
  let sentBytes = 0;

  beforeEach(async () => {
    sentBytes = 0;
    server = createServer((_request, response) => {
      const piece = Buffer.alloc(65_536, 'x');
      const fill = (): void => {
        let hasRoom = true;
        while (hasRoom && !response.destroyed) {
          hasRoom = response.write(piece);
          sentBytes += piece.length;
        }
      };
      response.on('drain', fill);
      fill();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it('is given up beyond its bound', async () => {
    const { body } = await request(baseUrl);
    await expect(readBounded(body, 100_000)).rejects.toThrow(BodyTooLargeError);
    expect(body.destroyed).toBe(true);
  });

  it('is no load report and no health', async () => {
    await expect(readControlJson(await request(baseUrl))).rejects.toThrow(BodyTooLargeError);
  });

  it('ends a health probe at once, and not at its deadline with all that came', async () => {
    const clock = new SystemClock();
    const target = { id: 'a', name: 't/a', serviceId: 't/chat', baseUrl };
    const probe = new HttpEndpointProbe(clock).probe(target, clock.nowMs() + 3_000);
    await expect(probe).rejects.toThrow('did not answer');
    expect(sentBytes).toBeLessThan(64 * 1_048_576);
  });
});
