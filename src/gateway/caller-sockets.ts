import type { Socket } from 'node:net';

/** What is known of one connection. */
interface SocketState {
  openRequests: number;
  /** Bytes read from it when its last request ended; undefined before its first request. */
  bytesAtLastEnd: number | undefined;
}

/**
 * The open connections of callers. Node takes a connection for idle as soon as its response has been
 * ended, although a slow caller may not have been sent all of it; here it is idle only once the
 * response has left the process.
 *
 * @example
 * ```ts
 * sockets.add(socket);
 * sockets.requestBegan(socket);
 * sockets.requestEnded(socket);
 * sockets.closeIdle();
 * ```
 */
export class CallerSockets {
  readonly #states = new Map<Socket, SocketState>();

  /** Keeps a connection until it closes. */
  add(socket: Socket): void {
    this.#states.set(socket, { openRequests: 0, bytesAtLastEnd: undefined });
    socket.once('close', () => this.#states.delete(socket));
  }

  /** Records that a request was received on a connection. */
  requestBegan(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state) state.openRequests += 1;
  }

  /** Records that the response to a request has left the process, or that its caller has left. */
  requestEnded(socket: Socket): void {
    const state = this.#states.get(socket);
    if (!state) return;
    state.openRequests -= 1;
    state.bytesAtLastEnd = socket.bytesRead;
  }

  /**
   * Closes the connections that wait for a further request. One whose first or next request is
   * awaited or being read stays open.
   */
  closeIdle(): void {
    for (const [socket, { openRequests, bytesAtLastEnd }] of this.#states) {
      if (openRequests === 0 && socket.bytesRead === bytesAtLastEnd) socket.destroy();
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const socket of this.#states.keys()) socket.destroy();
  }
}
