import { OrioleError, Step } from '../core/index.js';

/** The log service refused an append: the record is provably not stored. */
export class LogRefusedError extends OrioleError {
  constructor(message: string, peer: string, cause?: unknown) {
    super(message, { step: Step.Log, peer, cause });
  }
}

/** A call to the log service timed out, failed or returned an invalid response. */
export class LogUnavailableError extends OrioleError {
  /** False when the call cannot have stored a record, such as when no connection was made. */
  readonly mayBeStored: boolean;

  constructor(message: string, peer: string, mayBeStored: boolean, cause?: unknown) {
    super(message, { step: Step.Log, peer, cause });
    this.mayBeStored = mayBeStored;
  }
}
