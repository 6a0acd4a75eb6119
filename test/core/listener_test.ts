import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { listen } from '../../src/core/listener.js';

describe('listen', () => {
  it('waits for a port that is still in use, which ended a daemon at its start', async () => {
    const before = createServer();
    const port = await listen(before, '127.0.0.1', 0);
    const server = createServer();
    const listening = listen(server, '127.0.0.1', port);
    await sleep(300);
    before.close();
    expect(await listening).toBe(port);
    server.close();
  });

  it('fails at once for an address that is not of this machine', async () => {
    await expect(listen(createServer(), '192.0.2.1', 0)).rejects.toThrow(/EADDRNOTAVAIL/);
  });
});
