import { isSuccess } from './final-status.js';

/** Headers of a response, by their names in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Thrown for a response whose end only the end of its connection shows. */
export class UnframedResponseError extends Error {
  override readonly name = 'UnframedResponseError';

  constructor() {
    super('the response has neither a length nor chunks; it may have been broken off');
  }
}

const noContent = 204;

/** Whether a response tells its own end; one that does not ends with its connection. */
export function isFramed(headers: ResponseHeaders): boolean {
  if (headers['content-length'] !== undefined) return true;
  const codings = String(headers['transfer-encoding'] ?? '').split(',');
  return codings.at(-1)?.trim().toLowerCase() === 'chunked';
}

/**
 * Requires that a success tells its own end. undici takes the reset of a connection for the end of
 * any other response: a server that gives up while it is sent a request would seem to have carried
 * it out. A refusal means the same however it ends.
 *
 * @throws UnframedResponseError when a response with a status of 2xx ends with its connection.
 */
export function requireFramed(statusCode: number, headers: ResponseHeaders): void {
  if (!isSuccess(statusCode) || statusCode === noContent) return;
  if (!isFramed(headers)) throw new UnframedResponseError();
}
