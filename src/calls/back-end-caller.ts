import { OrioleError, Step } from '../core/index.js';

/** Request of a non-repeatable call as sent to the back end. */
export interface BackEndRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Complete answer of a back end. */
export interface BackEndAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Options of {@link BackEndCaller.call}. */
export interface BackEndCallOptions {
  /** Epoch milliseconds until which the caller waits for the answer. */
  readonly deadlineAtMs: number;
  /**
   * Must be called once, on a connected socket, in the same turn of the event loop in which the
   * first byte is written. If it returns false, nothing may be written and the call must fail.
   */
  readonly tryStart: () => boolean;
}

/** A non-repeatable call received no complete answer. */
export class BackEndCallError extends OrioleError {
  constructor(message: string, peer: string, cause?: unknown) {
    super(message, { step: Step.Dispatch, peer, cause });
  }
}

/**
 * Sends one call to one back end over a new connection, without retry or hedging.
 *
 * @example
 * ```ts
 * const answer = await caller.call(request, { deadlineAtMs, tryStart: () => clock.nowMs() < startByMs });
 * ```
 */
export abstract class BackEndCaller {
  /**
   * Connects, calls `tryStart`, writes the request and resolves with the complete answer.
   *
   * @throws BackEndCallError if no complete answer was received. The call may have run only if
   * `tryStart` returned true.
   */
  abstract call(request: BackEndRequest, options: BackEndCallOptions): Promise<BackEndAnswer>;
}
