import type { Server } from 'node:http';
import type { AddressInfo, Server as SocketServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * Time for which a port may be in use at a start: by the process before, or by an outgoing
 * connection of another one.
 */
const portBusyTimeoutMs = 10_000;
const portRetryMs = 100;

/**
 * Starts listening and resolves with the port; rejects when the server cannot listen. A port that is
 * in use is tried again for 10 s.
 *
 * @param port - 0 selects a free port.
 * @param backlog - maximum number of connections waiting to be accepted; default: Node's.
 */
export function listen(
  server: SocketServer,
  host: string,
  port: number,
  backlog?: number,
): Promise<number> {
  return retryWhileBusy(() => listenOnce(server, host, port, backlog));
}

/**
 * Binds a port; while the port is in use, tries again for 10 s.
 *
 * @throws the error of the last attempt.
 */
export async function retryWhileBusy<T>(bind: () => Promise<T>): Promise<T> {
  const giveUpAtMs = performance.now() + portBusyTimeoutMs;
  for (;;) {
    try {
      return await bind();
    } catch (error) {
      const isBusy = (error as NodeJS.ErrnoException).code === 'EADDRINUSE';
      if (!isBusy || performance.now() >= giveUpAtMs) throw error;
      await sleep(portRetryMs);
    }
  }
}

function listenOnce(
  server: SocketServer,
  host: string,
  port: number,
  backlog: number | undefined,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ port, host, backlog }, () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Stops listening and destroys all open connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
