import { OrioleError, Step } from '../core/index.js';
import type { ExitCode } from './exit-code.js';

/** An error that ends `oriolectl` with a certain exit code. */
export class CtlError extends OrioleError {
  readonly exitCode: ExitCode;

  constructor(exitCode: ExitCode, message: string, peer = 'local', cause?: unknown) {
    super(message, { step: Step.Command, peer, cause });
    this.exitCode = exitCode;
  }
}
