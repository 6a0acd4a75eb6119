import type { Server } from 'node:http';
import type { AddressInfo, Server as SocketServer } from 'node:net';

/**
 * Starts listening and resolves with the port; rejects when the server cannot listen.
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
