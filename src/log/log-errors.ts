import { OrioleError, Step } from '../core/index.js';

/** The log service refused an append: the record is provably not stored. */
export class LogRefusedError extends OrioleError {
  constructor(message: string, peer: string, cause?: unknown) {
    super(message, { step: Step.Log, peer, cause });
  }
}

/** The log service did not answer in time. */
export class LogUnavailableError extends OrioleError {
  /** False when it is provable that the record was never sent. */
  readonly mayBeStored: boolean;

  constructor(message: string, peer: string, mayBeStored: boolean, cause?: unknown) {
    super(message, { step: Step.Log, peer, cause });
    this.mayBeStored = mayBeStored;
  }
}
