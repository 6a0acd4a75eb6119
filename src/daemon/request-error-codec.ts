import { z } from 'zod';
import { Outcome, RequestError, Step } from '../core/index.js';

const requestErrorSchema = z.object({
  message: z.string(),
  step: z.enum(Step),
  peer: z.string(),
  status: z.number().int(),
  code: z.string(),
  next: z.string(),
  outcome: z.enum(Outcome),
  retryAtMs: z.number().optional(),
});

/** A RequestError as it is sent between daemons. */
export type EncodedRequestError = z.output<typeof requestErrorSchema>;

/** Schema of an answer that is either a result or a RequestError. */
export function resultOrErrorSchema<T>(
  result: z.ZodType<T>,
): z.ZodType<{ result: T } | { error: EncodedRequestError }> {
  return z.union([z.object({ result }), z.object({ error: requestErrorSchema })]);
}

/** Runs `action` for a peer and returns a RequestError as data, so that its fields are preserved. */
export async function encodeResult<T>(
  action: () => Promise<T>,
): Promise<{ result: T } | { error: EncodedRequestError }> {
  try {
    return { result: await action() };
  } catch (error) {
    if (!(error instanceof RequestError)) throw error;
    const { message, step, peer, status, code, next, outcome, retryAtMs } = error;
    return {
      error: {
        message,
        step,
        peer,
        status,
        code,
        next,
        outcome,
        ...(retryAtMs === undefined ? {} : { retryAtMs }),
      },
    };
  }
}

/** Returns the result of a peer's answer. @throws RequestError when it is an error. */
export function decodeResult<T>(answer: { result: T } | { error: EncodedRequestError }): T {
  if ('result' in answer) return answer.result;
  const { message, retryAtMs, ...options } = answer.error;
  throw new RequestError(message, {
    ...options,
    ...(retryAtMs === undefined ? {} : { retryAtMs }),
  });
}
