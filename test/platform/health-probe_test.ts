import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/core/index.js';
import { HealthProbe } from '../../platform/health-probe.js';

describe('HealthProbe', () => {
  const clock = new SystemClock();
  const probe = new HealthProbe(clock, () => '/health');
  let server: Server;

  async function listen(onConnection: (socket: Socket) => void): Promise<string> {
    server = createServer(onConnection);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  afterEach(() => {
    server.close();
  });

  it('treats an endpoint at capacity, which resets connections, as running', async () => {
    const baseUrl = await listen((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.resetAndDestroy());
    });
    await expect(probe.probe(baseUrl, clock.nowMs() + 5_000)).resolves.toMatchObject({
      isDraining: false,
    });
  });

  it('treats a refusal as a response, since the process that sends it is running', async () => {
    const baseUrl = await listen((socket) => {
      socket.end('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n');
    });
    await expect(probe.probe(baseUrl, clock.nowMs() + 5_000)).resolves.toBeDefined();
  });

  it('fails when no process listens', async () => {
    const baseUrl = await listen(() => undefined);
    await new Promise((resolve) => server.close(resolve));
    await expect(probe.probe(baseUrl, clock.nowMs() + 5_000)).rejects.toThrow(/health probe/);
  });
});
