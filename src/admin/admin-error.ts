import { OrioleError, Step } from '../core/index.js';

/** Error answer of the administration API. */
export class AdminError extends OrioleError {
  readonly status: number;
  readonly code: string;
  /** What the operator should do, in one sentence. */
  readonly next: string;

  constructor(status: number, code: string, message: string, next: string, cause?: unknown) {
    super(message, { step: Step.Admin, peer: 'operator', cause });
    this.status = status;
    this.code = code;
    this.next = next;
  }
}
