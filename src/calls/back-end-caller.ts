import { OrioleError, Step } from '../core/index.js';

/** Request of a non-repeatable call as sent to the back end. */
export interface BackEndRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Whole answer of a back end. */
export interface BackEndAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Options of {@link BackEndCaller.call}. */
export interface BackEndCallOptions {
  /** Epoch milliseconds after which nobody waits for the answer. */
  readonly deadlineAtMs: number;
  /**
   * To be asked once, on a connected socket, in the same event-loop turn as the first byte is
   * written. False means: write nothing and fail.
   */
  readonly tryStart: () => boolean;
}

/** A non-repeatable call brought no answer. */
export class BackEndCallError extends OrioleError {
  constructor(message: string, peer: string, cause?: unknown) {
    super(message, { step: Step.Dispatch, peer, cause });
  }
}

/**
 * Sends one call to one back end over a fresh connection, without retry or hedging.
 *
 * @example
 * ```ts
 * const answer = await caller.call(request, { deadlineAtMs, mayStart: () => clock.nowMs() < startByMs });
 * ```
 */
export abstract class BackEndCaller {
  /**
   * Connects, asks `mayStart`, writes the request and resolves with the whole answer.
   *
   * @throws BackEndCallError when no whole answer came. Whether the call may have run follows from
   * `mayStart` having returned true.
   */
  abstract call(request: BackEndRequest, options: BackEndCallOptions): Promise<BackEndAnswer>;
}
