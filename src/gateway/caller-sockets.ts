import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import {
  CallerLimit,
  HeldKind,
  minSlowMs,
  type CallerAccount,
  type CallerMemory,
} from './caller-memory.js';

/** What is known of one connection. */
interface SocketState {
  openRequests: number;
  /** Time since which no request is open, in epoch milliseconds. */
  idleSinceMs: number;
  /** Bytes read from it when its last request ended; undefined before its first request. */
  bytesAtLastEnd: number | undefined;
  /** Bytes read from it when the latest request was known to have come whole. */
  headFromBytes: number;
  latestRequest: IncomingMessage | undefined;
  readonly account: CallerAccount | undefined;
}

/** Options of {@link CallerSockets}. */
export interface CallerSocketsOptions {
  readonly memory: CallerMemory;
  /** Descriptors of the connections to endpoints. */
  readonly endpointSockets: () => number;
  /** Refuses what can still be refused on a connection, and closes it. */
  readonly shed: (socket: Socket) => void;
}

/**
 * The open connections of callers. Node takes a connection for idle as soon as its response has been
 * ended, although a slow caller may not have been sent all of it; here it is idle only once the
 * response has left the process.
 *
 * Connections are counted with those to endpoints. At the limit, the one that has been idle for the
 * longest is closed; those on which no request has come yet first.
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
  readonly #options: CallerSocketsOptions | undefined;
  /** In the order in which they were opened, or in which their last requests ended. */
  readonly #states = new Map<Socket, SocketState>();
  /** Connections with open requests; each takes a connection to an endpoint. */
  #busy = 0;
  /** As of the last measurement: counting them takes time with thousands of endpoints. */
  #endpointSockets = 0;

  /** @param options - without them, nothing is limited. */
  constructor(options?: CallerSocketsOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#states.size;
  }

  /** Keeps a connection until it closes. Closes another one, or this one, beyond the limit. */
  add(socket: Socket): void {
    const account = this.#options?.memory.open({
      client: socket.remoteAddress ?? '',
      shed: () => this.#options?.shed(socket),
    });
    const idleSinceMs = this.#nowMs();
    this.#states.set(socket, {
      openRequests: 0,
      idleSinceMs,
      bytesAtLastEnd: undefined,
      headFromBytes: 0,
      latestRequest: undefined,
      account,
    });
    socket.once('close', () => {
      if ((this.#states.get(socket)?.openRequests ?? 0) > 0) this.#busy -= 1;
      this.#states.delete(socket);
      account?.close();
    });
    if (this.#isOverLimit && !this.#shedSlow(socket) && account) {
      this.#options?.memory.shed(account, CallerLimit.Sockets);
    }
  }

  /** What a connection makes the process keep; undefined once it is closed. */
  accountOf(socket: Socket): CallerAccount | undefined {
    return this.#states.get(socket)?.account;
  }

  /**
   * Records that a request was received on a connection.
   *
   * @returns whether a connection to an endpoint may be opened for it.
   */
  requestBegan(socket: Socket, request?: IncomingMessage): boolean {
    const state = this.#states.get(socket);
    if (!state) return true;
    state.latestRequest = request;
    state.openRequests += 1;
    if (state.openRequests > 1) return true;
    this.#busy += 1;
    return !this.#isOverLimit || this.#shedSlow(socket);
  }

  /** Records that the response to a request has left the process, or that its caller has left. */
  requestEnded(socket: Socket): void {
    const state = this.#states.get(socket);
    if (!state) return;
    state.openRequests -= 1;
    if (state.openRequests === 0) this.#busy -= 1;
    state.idleSinceMs = this.#nowMs();
    state.bytesAtLastEnd = socket.bytesRead;
    state.headFromBytes = socket.bytesRead;
    this.#states.delete(socket);
    this.#states.set(socket, state);
  }

  /** Counts what is held on each connection outside of requests, and relieves the memory. */
  measure(): void {
    this.#endpointSockets = this.#options?.endpointSockets() ?? 0;
    for (const [socket, state] of this.#states) {
      const { account, openRequests, latestRequest } = state;
      if (!account) continue;
      account.set(HeldKind.Unread, socket.writableLength);
      // The rest of a body whose request was refused is dropped as it comes.
      const isInBody = latestRequest?.complete === false;
      if (openRequests > 0 || isInBody) state.headFromBytes = socket.bytesRead;
      else state.latestRequest = undefined;
      account.set(HeldKind.Head, socket.bytesRead - state.headFromBytes);
    }
    this.#options?.memory.relieve();
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

  get #isOverLimit(): boolean {
    if (!this.#options) return false;
    const { maxConnections, maxSockets } = this.#options.memory.bounds;
    const endpointSockets = Math.max(this.#endpointSockets, this.#busy);
    const { size } = this.#states;
    return size > maxConnections || size + endpointSockets > maxSockets;
  }

  /**
   * Closes the connection that has been idle for the longest, or else the one that has held the most
   * memory for the longest. One that was just opened, or has just served a request, stays.
   *
   * @returns whether one was closed.
   */
  #shedSlow(except: Socket): boolean {
    const idleBeforeMs = this.#nowMs() - minSlowMs;
    let idle: CallerAccount | undefined;
    for (const [socket, { account, openRequests, idleSinceMs, bytesAtLastEnd }] of this.#states) {
      if (openRequests > 0 || socket === except || !account || account.isClosed) continue;
      if (idleSinceMs > idleBeforeMs) break;
      idle ??= account;
      if (bytesAtLastEnd !== undefined) continue;
      idle = account;
      break;
    }
    const memory = this.#options?.memory;
    if (!idle) return memory?.shedSlowest(CallerLimit.Sockets) ?? false;
    memory?.shed(idle, CallerLimit.Sockets);
    return true;
  }

  #nowMs(): number {
    return this.#options?.memory.nowMs() ?? 0;
  }
}
