import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/core/index.js';
import type { ProbeTarget } from '../../src/fleet/index.js';
import { HealthProbe } from '../../platform/health-probe.js';

describe('HealthProbe', () => {
  const clock = new SystemClock();
  const probe = new HealthProbe(clock, () => ({ path: '/health', instanceId: 'i-1' }));
  let server: Server;

  async function listen(onConnection: (socket: Socket) => void): Promise<ProbeTarget> {
    server = createServer(onConnection);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    return { id: 'i-1', name: 'team/i-1', serviceId: 'team/chat', baseUrl };
  }

  afterEach(() => {
    server.close();
  });

  it('treats an endpoint at capacity, which resets connections, as running', async () => {
    const target = await listen((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.resetAndDestroy());
    });
    await expect(probe.probe(target, clock.nowMs() + 5_000)).resolves.toMatchObject({
      isDraining: false,
    });
  });

  it('treats a refusal as a response, since the process that sends it is running', async () => {
    const target = await listen((socket) => {
      socket.end('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n');
    });
    await expect(probe.probe(target, clock.nowMs() + 5_000)).resolves.toBeDefined();
  });

  it('fails when no process listens', async () => {
    const target = await listen(() => undefined);
    await new Promise((resolve) => server.close(resolve));
    await expect(probe.probe(target, clock.nowMs() + 5_000)).rejects.toThrow(/health probe/);
  });

  it('fails when another process answers at the address of one that is gone', async () => {
    const target = await listen((socket) => {
      socket.end('HTTP/1.1 200 OK\r\noriolestack-instance-id: i-2\r\ncontent-length: 0\r\n\r\n');
    });
    await expect(probe.probe(target, clock.nowMs() + 5_000)).rejects.toThrow(/another process/);
  });
});
