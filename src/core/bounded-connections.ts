import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Options of {@link boundConnections}. */
export interface ConnectionBounds {
  readonly maxConnections: number;
  /** Requests of one connection that have no complete response. */
  readonly maxOpenRequests: number;
}

/** What is known of one connection. */
interface ConnectionState {
  openRequests: number;
  hasSentRequest: boolean;
}

/** Time for the head of a request on a listener that is not meant for callers, in milliseconds. */
const headersTimeoutMs = 3_000;

/**
 * Bounds the connections of a listener that is not meant for callers. Beyond the bound the oldest one
 * is closed on which no request has come, or else the oldest one without an open request: clients
 * that connect and send nothing must not keep out the platform or other daemons.
 *
 * @example
 * ```ts
 * boundConnections(server, { maxConnections: 16, maxOpenRequests: 4 });
 * ```
 */
export function boundConnections(server: Server, bounds: ConnectionBounds): void {
  const { maxConnections, maxOpenRequests } = bounds;
  const states = new Map<Socket, ConnectionState>();
  server.headersTimeout = headersTimeoutMs;
  server.on('connection', (socket: Socket) => {
    states.set(socket, { openRequests: 0, hasSentRequest: false });
    socket.once('close', () => states.delete(socket));
    if (states.size <= maxConnections) return;
    const closed = oldestIdle(states, socket) ?? socket;
    states.delete(closed);
    closed.destroy();
  });
  server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    const state = states.get(socket);
    if (!state) return;
    state.hasSentRequest = true;
    state.openRequests += 1;
    response.once('close', () => {
      state.openRequests -= 1;
    });
    if (state.openRequests > maxOpenRequests) socket.destroy();
  });
}

function oldestIdle(
  states: ReadonlyMap<Socket, ConnectionState>,
  except: Socket,
): Socket | undefined {
  let oldest: Socket | undefined;
  for (const [socket, { openRequests, hasSentRequest }] of states) {
    if (openRequests > 0 || socket === except) continue;
    if (!hasSentRequest) return socket;
    oldest ??= socket;
  }
  return oldest;
}
