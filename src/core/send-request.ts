import { request } from 'undici';
import { requireSoundHead } from './response-head.js';

/** Options of a request with undici. */
export type SendOptions = NonNullable<Parameters<typeof request>[1]>;

/**
 * Sends a request with undici and resolves once the head of its response has arrived and is sound.
 *
 * @example
 * ```ts
 * const { statusCode, body } = await sendRequest(`${baseUrl}/health`, { signal });
 * ```
 * @throws MalformedHeadError, after it has given up the body; an error of undici when there is no
 * response.
 */
export async function sendRequest(url: string, options: SendOptions): ReturnType<typeof request> {
  const response = await request(url, options);
  try {
    requireSoundHead(response.statusCode, response.headers);
  } catch (error) {
    response.body.on('error', () => undefined).destroy();
    throw error;
  }
  return response;
}
