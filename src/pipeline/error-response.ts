import type { ServerResponse } from 'node:http';
import { Outcome, outcomeHeader, RequestError, Step } from '../core/index.js';

/** JSON body of an error response. */
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

/** Builds the body of an error response. */
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
 * Sends an error response. When the response head was already sent, ends an event stream with an
 * error event and destroys any other response.
 *
 * @param nowMs - current time in epoch milliseconds, from which `Retry-After` is computed.
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
  // The unread rest of the request body would otherwise be parsed as the next request.
  if (!response.req.complete) response.setHeader('connection', 'close');
  response.end(body);
}

/** Converts a thrown value to a RequestError; any other error becomes an internal fault. */
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
