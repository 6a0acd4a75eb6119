/** Thrown for a body that is larger than its reader allows. */
export class BodyTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`the body is larger than ${maxBytes} bytes`);
  }
}

/** Largest response of an endpoint that is read as a whole, such as its health or load. */
export const maxControlResponseBytes = 1_048_576;

/**
 * Reads a body as a whole. A larger one, which may have no end, is given up and its connection
 * closed.
 *
 * @example
 * ```ts
 * const text = (await readBounded(response.body, maxControlResponseBytes)).toString();
 * ```
 * @throws BodyTooLargeError when the body is larger than `maxBytes`.
 */
export async function readBounded(body: AsyncIterable<unknown>, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length;
    // Leaving the loop destroys the body.
    if (bytes > maxBytes) throw new BodyTooLargeError(maxBytes);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** A response of an endpoint that is read as a whole. */
export interface ControlResponse {
  readonly body: AsyncIterable<unknown>;
}

/**
 * Reads the JSON body of a response, of at most {@link maxControlResponseBytes}.
 *
 * @throws BodyTooLargeError when the body is larger.
 * @throws SyntaxError when it is not JSON.
 */
export async function readControlJson({ body }: ControlResponse): Promise<unknown> {
  return JSON.parse((await readBounded(body, maxControlResponseBytes)).toString());
}
