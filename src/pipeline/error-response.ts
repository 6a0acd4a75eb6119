import type { ServerResponse } from 'node:http';
import { Outcome, outcomeHeader, RequestError, Step } from '../core/index.js';

/** JSON body of every answer that is not a success. */
export interface ErrorResponseBody {
  readonly error: {
    readonly code: string;
    readonly message: string;
    /** What the caller should do next. */
    readonly next: string;
    readonly outcome: Outcome;
    readonly type: string;
    readonly step: Step;
    readonly request_id: string;
  };
}

/** Builds the body of an error answer. */
export function errorResponseBody(error: RequestError, requestId: string): ErrorResponseBody {
  return {
    error: {
      code: error.code,
      message: error.message,
      next: error.next,
      outcome: error.outcome,
      // Clients of the OpenAI API expect a type beside the code.
      type: error.status < 500 ? 'invalid_request_error' : 'server_error',
      step: error.step,
      request_id: requestId,
    },
  };
}

/**
 * Sends an error answer, or, when the head is out already, an error event that ends the stream.
 *
 * @param nowMs - epoch milliseconds, from which `Retry-After` is counted.
 */
export function sendError(
  response: ServerResponse,
  error: RequestError,
  requestId: string,
  nowMs: number,
): void {
  const body = JSON.stringify(errorResponseBody(error, requestId));
  if (response.destroyed) return;
  if (response.headersSent) {
    const type = String(response.getHeader('content-type') ?? '');
    if (type.startsWith('text/event-stream')) response.end(`data: ${body}\n\n`);
    // A truncated body must not look complete.
    else response.destroy();
    return;
  }
  response.statusCode = error.status;
  response.setHeader('content-type', 'application/json');
  response.setHeader(outcomeHeader, error.outcome);
  response.setHeader('x-request-id', requestId);
  if (error.retryAtMs !== undefined) {
    response.setHeader('retry-after', Math.max(1, Math.ceil((error.retryAtMs - nowMs) / 1_000)));
  }
  // The unread rest of a request body would be taken for the next request.
  if (!response.req.complete) response.setHeader('connection', 'close');
  response.end(body);
}

/** Turns anything thrown into a RequestError; what is not one counts as an internal fault. */
export function toRequestError(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  return new RequestError('the request failed because of an internal fault', {
    step: Step.Account,
    peer: 'local',
    status: 500,
    code: 'internal_fault',
    next: 'Retry if the work may be repeated; report the request id to the operators.',
    outcome: Outcome.Unknown,
    cause: error,
  });
}
