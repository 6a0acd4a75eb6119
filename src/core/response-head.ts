import {
  validateHeaderName,
  validateHeaderValue,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import { isFinalStatus } from './final-status.js';
import { HeadScanner } from './head-scanner.js';
import type { ResponseHeaders } from './response-framing.js';

/** Thrown for a response with a head that HTTP does not allow; nothing in it is believed. */
export class MalformedHeadError extends Error {
  override readonly name = 'MalformedHeadError';

  constructor(fault: string) {
    super(`the head of the response is malformed: ${fault}`);
  }
}

/**
 * Requires that a head, as a parser has read it, is one of a final response that can be read: with a
 * status that HTTP has, names that are tokens, values without control characters and, if it has a
 * transfer coding, with chunks only. Parsers hand over a body in another coding as if it were plain.
 *
 * @param headers - by their names in lower case.
 * @throws MalformedHeadError
 */
export function requireSoundHead(statusCode: number, headers: ResponseHeaders): void {
  const fault = fieldFaultOf(headers) ?? faultOf(statusCode, headers);
  if (fault !== undefined) throw new MalformedHeadError(fault);
}

/**
 * Calls `onSound` with the response to a request once its head has arrived, if the head is sound as
 * it came and as it was read. Otherwise calls `onMalformed` and closes the connection.
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
    const fault = scanner.fault ?? faultOf(response.statusCode ?? 0, response.headers);
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

/** What is wrong with the fields of a head as a parser has read them; undefined if nothing is. */
function fieldFaultOf(headers: ResponseHeaders): string | undefined {
  try {
    for (const [name, value] of Object.entries(headers)) {
      validateHeaderName(name);
      validateHeaderValue(name, textOf(value));
    }
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

/** What is wrong with the status of a response and the framing of its body. */
function faultOf(statusCode: number, headers: ResponseHeaders): string | undefined {
  if (!isFinalStatus(statusCode)) return `it has status ${statusCode}`;
  const coding = headers['transfer-encoding'];
  if (coding === undefined) return undefined;
  if (textOf(coding).toLowerCase() !== 'chunked') {
    return `its transfer coding is ${JSON.stringify(textOf(coding))}`;
  }
  return headers['content-length'] === undefined ? undefined : 'it has a length and chunks';
}

/** Lines of the same name are one value. */
function textOf(value: string | string[] | undefined): string {
  return Array.isArray(value) ? value.join(', ') : (value ?? '');
}
