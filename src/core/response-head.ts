import type { ClientRequest, IncomingMessage } from 'node:http';
import { isFinalStatus } from './final-status.js';
import { HeadScanner } from './head-scanner.js';

/** Thrown for a response with a head that HTTP does not allow; nothing in it is believed. */
export class MalformedHeadError extends Error {
  override readonly name = 'MalformedHeadError';

  constructor(fault: string) {
    super(`the head of the response is malformed: ${fault}`);
  }
}

/**
 * Calls `onSound` with the response to a request once its head has arrived, if the head is sound as
 * it came and its status is one that HTTP has. Otherwise calls `onMalformed` and closes the connection.
 *
 * @example
 * ```ts
 * onSoundResponse(outgoing, (response) => { resolve(response); }, reject);
 * ```
 */
export function onSoundResponse(
  outgoing: ClientRequest,
  onSound: (response: IncomingMessage) => void,
  onMalformed: (error: MalformedHeadError) => void,
): void {
  const scanner = scanHead(outgoing);
  outgoing.once('response', (response) => {
    const fault = scanner.fault ?? faultOf(response.statusCode ?? 0);
    if (fault === undefined) {
      onSound(response);
      return;
    }
    const error = new MalformedHeadError(fault);
    onMalformed(error);
    outgoing.destroy(error);
  });
}

/** Scans what comes on the connection of a request before the parser of Node.js gets it. */
function scanHead(outgoing: ClientRequest): HeadScanner {
  const scanner = new HeadScanner();
  outgoing.once('socket', (socket) => {
    const stop = (): void => {
      socket.off('data', scan);
    };
    const scan = (bytes: Buffer): void => {
      scanner.push(bytes);
      if (scanner.isDone) stop();
    };
    socket.prependListener('data', scan);
    outgoing.once('close', stop);
  });
  return scanner;
}

/** What is wrong with what a head says; undefined if nothing is. */
function faultOf(statusCode: number): string | undefined {
  return isFinalStatus(statusCode) ? undefined : `it has status ${statusCode}`;
}
