import { OrioleError, Outcome, Step } from '../core/index.js';

/** Kind of failure, which determines how the endpoint's health is updated. */
export enum EngineFailure {
  /** No connection could be established. */
  ConnectionFailed = 'refused',
  /** The engine declined the request before starting, because it is leaving or at capacity. */
  Rejected = 'rejected',
  /** The stream ended early or was invalid. */
  Broken = 'broken',
  /** No data arrived within the idle timeout. */
  TimedOut = 'silent',
  /** The engine rejected the request as invalid; another engine would reject it too. */
  BadRequest = 'bad_request',
}

/** Failure of a call to an engine or a plain service. */
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
