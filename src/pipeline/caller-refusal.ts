import { Outcome, RequestError, type Step } from '../core/index.js';

/**
 * Builds the error that refuses a caller's request before any work has started.
 *
 * @param next - one sentence saying what the caller should do.
 * @internal
 */
export function callerRefusal(
  step: Step,
  status: number,
  code: string,
  message: string,
  next: string,
): RequestError {
  return new RequestError(message, {
    step,
    peer: 'caller',
    status,
    code,
    next,
    outcome: Outcome.NotRun,
  });
}
