import { OrioleError, Outcome, Step } from '../core/index.js';

/** Kind of failure, which decides what the router concludes about the endpoint. */
export enum EngineFailure {
  /** No connection could be made. */
  ConnectionFailed = 'refused',
  /** The engine answered that it is leaving or full and has not started. */
  Rejected = 'rejected',
  /** The stream broke before its end. */
  Broken = 'broken',
  /** No event within the silence bound. */
  TimedOut = 'silent',
  /** The engine refused the request itself; another engine would refuse it too. */
  BadRequest = 'bad_request',
}

/** Failure of a call to an engine or plain service. */
export class EngineError extends OrioleError {
  readonly failure: EngineFailure;
  readonly outcome: Outcome;

  constructor(
    message: string,
    options: { peer: string; failure: EngineFailure; outcome: Outcome; cause?: unknown },
  ) {
    super(message, { step: Step.Dispatch, peer: options.peer, cause: options.cause });
    this.failure = options.failure;
    this.outcome = options.outcome;
  }
}
