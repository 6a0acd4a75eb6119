import { createServer, request as httpRequest, type Server } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { RequestError, VirtualClock } from '../../src/core/index.js';
import { closeServer, listen } from '../../src/core/listener.js';
import { readBody } from '../../src/pipeline/read-body.js';

describe('readBody', () => {
  const clock = new VirtualClock(1_800_000_000_000);
  let server: Server | undefined;

  afterEach(async () => {
    if (server) await closeServer(server);
  });

  /** Sends part of a body, then calls `interfere`. Returns the error code of readBody(). */
  async function errorCodeAfter(
    interfere: (destroy: () => void) => Promise<void>,
  ): Promise<string> {
    const deadlineAtMs = clock.nowMs() + 30_000;
    let onBodyStart: () => void = () => undefined;
    const bodyStarted = new Promise<void>((resolve) => {
      onBodyStart = resolve;
    });
    const result = new Promise<string>((resolve) => {
      server = createServer((request) => {
        request.once('data', onBodyStart);
        readBody(request, { maxBytes: 1_000, deadlineAtMs, clock }).then(
          () => {
            resolve('read');
          },
          (error: unknown) => {
            resolve(error instanceof RequestError ? error.code : String(error));
          },
        );
      });
    });
    if (!server) throw new Error('there is no server');
    const port = await listen(server, '127.0.0.1', 0);
    const caller = httpRequest({ port, method: 'POST', headers: { 'content-length': '100' } });
    caller.on('error', () => undefined);
    caller.write('part');
    await bodyStarted;
    await interfere(() => caller.destroy());
    return result;
  }

  it('fails with slow_body when the body does not arrive before the deadline', async () => {
    expect(await errorCodeAfter(() => clock.advance(30_000))).toBe('slow_body');
  });

  it('fails with broken_body when the caller disconnects in the middle of the body', async () => {
    const code = await errorCodeAfter((destroy) => {
      destroy();
      return Promise.resolve();
    });
    expect(code).toBe('broken_body');
  });
});
