import { Outcome, RequestError, type Step } from '../core/index.js';

/**
 * Refusal of what a caller sent, before any work began.
 *
 * @param next - what the caller should do, one sentence.
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
