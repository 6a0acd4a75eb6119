import type { ClientRequest, IncomingMessage } from 'node:http';

/**
 * Calls `onReset` when the connection of a request is reset before its response is whole. When a
 * reset arrives together with the last bytes, libuv reports the end of the stream and no error, and
 * Node takes that for the end of a body without a length.
 *
 * A body without a length that ends before the request has been written does not count as whole
 * either: the server gave up, and its reset may follow only when it is handed the rest.
 *
 * @example
 * ```ts
 * onResetBeforeEnd(outgoing, (error) => outgoing.destroy(error));
 * ```
 */
export function onResetBeforeEnd(outgoing: ClientRequest, onReset: (error: Error) => void): void {
  let response: IncomingMessage | undefined;
  outgoing.once('response', (received) => {
    response = received;
  });
  outgoing.once('socket', (socket) => {
    const onEnd = (): void => {
      // A reset connection has no remote address. Node caches it at the first access, so that
      // nothing may read it earlier.
      if (response?.complete === true) return;
      if (socket.remoteAddress === undefined)
        onReset(new Error('the connection was reset before the end of the response'));
      else if (response && !outgoing.writableFinished)
        onReset(new Error('the response ended before the request was written'));
    };
    // Must run before Node's own listener, which takes this event for the end of the body.
    socket.prependOnceListener('end', onEnd);
    outgoing.once('close', () => socket.off('end', onEnd));
  });
}
