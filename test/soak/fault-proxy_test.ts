import { connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { listen } from '../../src/core/listener.js';
import { FaultProxy, LinkFault } from '../../bench/soak/fault-proxy.js';

// Soak seed 34013: events of a stream overtook others that were delayed, as no connection does.
describe('FaultProxy', () => {
  let server: Server;
  let proxy: FaultProxy;
  let client: Socket;
  let far: Socket;
  let received = '';

  beforeEach(async () => {
    received = '';
    server = createServer();
    const port = await listen(server, '127.0.0.1', 0);
    proxy = new FaultProxy({ host: '127.0.0.1', port });
    const accepted = new Promise<Socket>((resolve) => server.once('connection', resolve));
    client = connect(await proxy.listen('127.0.0.1'), '127.0.0.1');
    client.on('data', (bytes: Buffer) => (received += bytes.toString()));
    client.on('error', () => undefined);
    far = await accepted;
    far.on('error', () => undefined);
  });

  afterEach(async () => {
    client.destroy();
    far.destroy();
    await proxy.close();
    server.close();
  });

  it('keeps the order of bytes when a delay ends', async () => {
    proxy.setFault(LinkFault.Delayed);
    far.write('a');
    await sleep(100);
    proxy.setFault(LinkFault.None);
    far.write('b');
    far.end('c');
    await new Promise((resolve) => client.once('end', resolve));
    expect(received).toBe('abc');
  });

  it('carries nothing after bytes that were lost', async () => {
    proxy.setFault(LinkFault.CutToClient);
    far.write('a');
    await sleep(100);
    proxy.setFault(LinkFault.None);
    far.write('b');
    await sleep(100);
    expect(received).toBe('');
  });
});
