import { Socket } from 'node:net';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallerConnection } from '../../src/core/index.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

describe('CallerConnection', () => {
  let socket: Socket;
  let connection: CallerConnection;

  beforeEach(() => {
    socket = new Socket();
    connection = new CallerConnection(socket);
  });

  it('lets a request enter once the one before has ended', async () => {
    let end: () => void = () => undefined;
    await connection.enter(new Promise<void>((resolve) => (end = resolve)));
    let hasEntered = false;
    const entered = connection.enter(Promise.resolve()).then(() => (hasEntered = true));
    await new Promise(setImmediate);
    expect(hasEntered).toBe(false);
    end();
    await entered;
  });

  it('lets no request enter after its caller has left, so that nothing is done for it', async () => {
    await connection.enter(new Promise(() => undefined));
    const waiting = connection.enter(Promise.resolve());
    socket.emit('end');
    expect(await waiting).toBe(false);
    expect(await connection.enter(Promise.resolve())).toBe(false);
  });

  describe('that is to end', () => {
    it('lets no request enter after the last response, which could get no answer', async () => {
      await connection.enter(new Promise(() => undefined));
      expect(connection.endAfterResponse()).toBe(true);
      expect(await connection.enter(Promise.resolve())).toBe(false);
    });

    it('ends after the requests that were read before, so that each gets its response', async () => {
      let end: () => void = () => undefined;
      await connection.enter(new Promise<void>((resolve) => (end = resolve)));
      const waiting = connection.enter(new Promise(() => undefined));
      expect(connection.endAfterResponse()).toBe(false);
      end();
      expect(await waiting).toBe(true);
      expect(connection.endAfterResponse()).toBe(true);
    });
  });

  it('keeps nothing of requests that have ended, so that a kept connection does not fill the memory', async () => {
    const requests = 200_000;
    collectGarbage();
    const beforeBytes = process.memoryUsage().heapUsed;
    for (let request = 0; request < requests; request++) {
      await connection.enter(Promise.resolve());
    }
    collectGarbage();
    expect((process.memoryUsage().heapUsed - beforeBytes) / requests).toBeLessThan(10);
  });
});
