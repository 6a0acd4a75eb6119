import type { ClientRequest, IncomingMessage } from 'node:http';

/**
 * Calls `onReset` when the connection of a request is reset before its response is whole. When a
 * reset arrives together with the last bytes, libuv reports the end of the stream and no error, and
 * Node takes that for the end of a body without a length.
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
      const isReset = response?.complete !== true && socket.remoteAddress === undefined;
      if (isReset) onReset(new Error('the connection was reset before the end of the response'));
    };
    // Must run before Node's own listener, which takes this event for the end of the body.
    socket.prependOnceListener('end', onEnd);
    outgoing.once('close', () => socket.off('end', onEnd));
  });
}
