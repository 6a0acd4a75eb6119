import { OrioleError, Step } from '../core/index.js';

/** A call to another daemon failed. */
export class RpcError extends OrioleError {
  /** False when the method provably did not run: not connected, refused, or unknown there. */
  readonly mayHaveRun: boolean;

  constructor(message: string, peer: string, mayHaveRun: boolean, cause?: unknown) {
    super(message, { step: Step.Rpc, peer, cause });
    this.mayHaveRun = mayHaveRun;
  }
}
