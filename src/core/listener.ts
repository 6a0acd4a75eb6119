import type { Server } from 'node:http';
import type { AddressInfo, Server as SocketServer } from 'node:net';

/**
 * Starts to listen and resolves with the port.
 *
 * @param backlog - connections that may wait to be accepted; default: Node's.
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

/** Stops to listen and destroys the connections that are left. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
