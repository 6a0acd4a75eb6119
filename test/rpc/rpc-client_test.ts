import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/core/index.js';
import { RpcClient, RpcError, RpcServer, sharedSecretAuthenticator } from '../../src/rpc/index.js';

const clock = new SystemClock();
const cleanups: (() => Promise<void>)[] = [];

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function connect(secret: string): RpcClient {
  const client = new RpcClient({ clock, secret });
  cleanups.push(() => client.close());
  return client;
}

afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) await close();
});

async function failureOf(call: Promise<unknown>): Promise<RpcError> {
  const error: unknown = await call.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  expect(error).toBeInstanceOf(RpcError);
  return error as RpcError;
}

describe('RpcClient with RpcServer', () => {
  const callOptions = { deadlineAtMs: clock.nowMs() + 30_000 };

  it('matches the responses of concurrent calls to their requests', async () => {
    const server = new RpcServer({ authenticator: sharedSecretAuthenticator('s') });
    server.register('echo', (params) => Promise.resolve(params));
    const url = await listen(createServer(server.handle));
    const client = connect('s');
    const values = Array.from({ length: 50 }, (_, value) => ({ value }));
    const answers = await Promise.all(
      values.map((value) => client.call(url, 'echo', value, callOptions)),
    );
    expect(answers).toEqual(values);
  });

  it('reports a rejected secret and an unknown method as not run', async () => {
    const server = new RpcServer({ authenticator: sharedSecretAuthenticator('right') });
    const url = await listen(createServer(server.handle));
    const refused = await failureOf(connect('wrong').call(url, 'echo', {}, callOptions));
    expect(refused.mayHaveRun).toBe(false);
    const unknown = await failureOf(connect('right').call(url, 'echo', {}, callOptions));
    expect(unknown.mayHaveRun).toBe(false);
  });

  it('reports a failing method as one that may have run', async () => {
    const server = new RpcServer({ authenticator: () => true });
    server.register('fail', () => Promise.reject(new Error('broken')));
    const url = await listen(createServer(server.handle));
    const error = await failureOf(connect('').call(url, 'fail', {}, callOptions));
    expect(error.mayHaveRun).toBe(true);
    expect(error.message).toContain('broken');
  });

  it('refuses a body above the size limit instead of buffering it', async () => {
    const server = new RpcServer({ authenticator: () => true, maxBodyBytes: 100 });
    server.register('echo', (params) => Promise.resolve(params));
    const url = await listen(createServer(server.handle));
    await failureOf(connect('').call(url, 'echo', { text: 'x'.repeat(1_000) }, callOptions));
  });

  it('destroys the connection of a call that timed out and opens a new one', async () => {
    const sockets: Socket[] = [];
    const server = new RpcServer({ authenticator: () => true });
    let isHung = true;
    server.register('status', () => (isHung ? new Promise(() => undefined) : Promise.resolve(1)));
    const http = createServer(server.handle);
    http.on('request', ({ socket }) => sockets.push(socket));
    const url = await listen(http);
    const client = connect('');
    const error = await failureOf(
      client.call(url, 'status', {}, { deadlineAtMs: clock.nowMs() + 50 }),
    );
    expect(error.mayHaveRun).toBe(true);
    isHung = false;
    expect(await client.call(url, 'status', {}, callOptions)).toBe(1);
    expect(new Set(sockets).size).toBe(2);
    await new Promise<void>((resolve) => {
      const first = sockets[0];
      if (!first || first.destroyed) resolve();
      else first.once('close', () => resolve());
    });
  });

  // An earlier error that arrived once more said of a method that ran that it had not.
  it('does not take the error of another call for its own', async () => {
    for (const id of [1, null]) {
      const answer = { jsonrpc: '2.0', id, error: { code: -32601, message: 'Method not found' } };
      const url = await listen(
        createServer((request, response) => {
          request.resume().once('end', () => response.end(JSON.stringify(answer)));
        }),
      );
      const client = connect('');
      await failureOf(client.call(url, 'first', {}, callOptions));
      const second = await failureOf(client.call(url, 'second', {}, callOptions));
      expect(second.mayHaveRun).toBe(true);
    }
  });

  it('rejects a second registration of a method', () => {
    const server = new RpcServer({ authenticator: () => true });
    server.register('a', () => Promise.resolve(1));
    expect(() => server.register('a', () => Promise.resolve(2))).toThrow('registered already');
  });
});
