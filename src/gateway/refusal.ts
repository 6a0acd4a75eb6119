import { Outcome, RequestError, Step } from '../core/index.js';

/**
 * A refusal of a request of which nothing has run.
 *
 * @param retryAtMs - time from which it may be repeated, in epoch milliseconds.
 */
export function refusal(status: number, message: string, retryAtMs?: number): RequestError {
  return new RequestError(message, {
    step: Step.Admit,
    peer: 'caller',
    status,
    code: 'refused',
    next: 'Correct the request, or send it again at the time given.',
    outcome: Outcome.NotRun,
    ...(retryAtMs === undefined ? {} : { retryAtMs }),
  });
}
