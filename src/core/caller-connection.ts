import type { Duplex } from 'node:stream';

/**
 * A caller's connection. Knows whether the caller has left, and lets the requests on it be handled
 * one after the other: what comes after a response that ends the connection is never passed on.
 *
 * @example
 * ```ts
 * const stopListening = connection.onLeft(() => abort());
 * if (await connection.enter(ended)) relay();
 * ```
 */
export class CallerConnection {
  readonly #leaveListeners = new Set<() => void>();
  #hasLeft: boolean;
  /** Requests that wait for their turn. */
  #waiting = 0;
  #isEnding = false;
  #isRefusing = false;
  /** End of the latest request that has entered. */
  #latestEnded: Promise<void> = Promise.resolve();

  constructor(socket: Duplex) {
    this.#hasLeft = socket.destroyed;
    const onLeft = (): void => {
      this.#leave();
    };
    // A caller that ends its side waits for no response: the server closes the connection then.
    socket.once('end', onLeft);
    socket.once('close', onLeft);
  }

  /**
   * Calls `listener` when the caller has left. Unlike `close` of a `ServerResponse`, this also
   * reaches requests whose turn on the connection has not come.
   *
   * @returns a function that removes the listener.
   */
  onLeft(listener: () => void): () => void {
    this.#leaveListeners.add(listener);
    return () => this.#leaveListeners.delete(listener);
  }

  /**
   * Waits until all earlier requests on the connection have ended.
   *
   * @param ended - resolves when the entering request has ended.
   * @returns false if the caller has left meanwhile, or the connection ends before this request.
   */
  async enter(ended: Promise<void>): Promise<boolean> {
    if (this.#isEnding) return false;
    const earlierEnded = this.#latestEnded;
    this.#latestEnded = ended;
    this.#waiting += 1;
    await this.#untilEndedOrLeft(earlierEnded);
    this.#waiting -= 1;
    return !this.#hasLeft;
  }

  /**
   * Lets no request enter that is not read yet.
   *
   * @returns false if this was said before.
   */
  refuseFurther(): boolean {
    const isFirst = !this.#isRefusing;
    this.#isRefusing = true;
    this.#isEnding = true;
    return isFirst;
  }

  /** Resolves once all requests that were read have ended, or the caller has left. */
  served(): Promise<void> {
    return this.#untilEndedOrLeft(this.#latestEnded);
  }

  /**
   * Lets no further request enter, unless some wait already: those were read and get a response too.
   *
   * @returns whether the response of the request that has entered last is the last one.
   */
  endAfterResponse(): boolean {
    this.#isEnding ||= this.#waiting === 0;
    return this.#isEnding;
  }

  /** Unlike a race of promises, leaves nothing behind on a connection that stays. */
  #untilEndedOrLeft(ended: Promise<void>): Promise<void> {
    if (this.#hasLeft) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        stopListening();
        resolve();
      };
      const stopListening = this.onLeft(finish);
      void ended.then(finish);
    });
  }

  #leave(): void {
    if (this.#hasLeft) return;
    this.#hasLeft = true;
    for (const listener of [...this.#leaveListeners]) listener();
  }
}

/** The connections of a server's callers, from their first request on. */
export class CallerConnections {
  readonly #bySocket = new WeakMap<Duplex, CallerConnection>();

  /** The connection on a socket. */
  of(socket: Duplex): CallerConnection {
    let connection = this.#bySocket.get(socket);
    if (!connection) {
      connection = new CallerConnection(socket);
      this.#bySocket.set(socket, connection);
    }
    return connection;
  }
}
