import { OrioleError, Step } from '../core/index.js';

/** A call to another daemon failed. */
export class RpcError extends OrioleError {
  /** False only if the method cannot have run: not connected, request refused or method unknown. */
  readonly mayHaveRun: boolean;

  constructor(message: string, peer: string, mayHaveRun: boolean, cause?: unknown) {
    super(message, { step: Step.Rpc, peer, cause });
    this.mayHaveRun = mayHaveRun;
  }
}
