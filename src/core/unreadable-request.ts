import type { Duplex } from 'node:stream';
import type { CallerConnection } from './caller-connection.js';

/** Status of the response to bytes that cannot be read as a request. */
export function statusOfUnreadable({ code }: NodeJS.ErrnoException): number {
  if (code === 'HPE_HEADER_OVERFLOW') return 431;
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400;
}

/**
 * Ends a connection on which bytes came that cannot be read as a request, or the rest of a request's
 * head did not come in time. The requests that were read before get their responses first: in their
 * place, the refusal would be taken for the answer of one that runs.
 *
 * @param refusal - the whole response, with `connection: close`.
 * @returns whether the refusal was sent; false if the caller has left, or it was sent before.
 */
export async function refuseUnreadable(
  socket: Duplex,
  connection: CallerConnection,
  refusal: string,
): Promise<boolean> {
  if (!connection.refuseFurther()) return false;
  await connection.served();
  if (!socket.writable) return false;
  socket.end(refusal);
  return true;
}
