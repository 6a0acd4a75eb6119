import { Outcome, RequestError } from '../core/index.js';
import { RpcError } from '../rpc/index.js';

/**
 * Runs work on the owner of its shard, or locally when the owner gives no answer.
 *
 * When the owner's answer was lost, the owner may have done the work. A local refusal then no longer
 * proves that nothing ran, and its outcome becomes `unknown`.
 *
 * @param onOwner - rejects with an RpcError when the owner gave no answer; other errors are final.
 * @param locally - must be safe to run concurrently with `onOwner`, such as under one claim key.
 * @throws RequestError of the attempt that ran last.
 */
export async function runOnOwner<T>(
  onOwner: () => Promise<T>,
  locally: () => Promise<T>,
): Promise<T> {
  try {
    return await onOwner();
  } catch (error) {
    if (!(error instanceof RpcError)) throw error;
    return error.mayHaveRun ? withUnknownOutcome(locally) : locally();
  }
}

async function withUnknownOutcome<T>(run: () => Promise<T>): Promise<T> {
  try {
    return await run();
  } catch (error) {
    if (!(error instanceof RequestError) || error.outcome !== Outcome.NotRun) throw error;
    throw new RequestError(`${error.message}; the home of the shard may have done it`, {
      step: error.step,
      peer: error.peer,
      status: error.status,
      code: error.code,
      next: error.next,
      outcome: Outcome.Unknown,
      ...(error.retryAtMs === undefined ? {} : { retryAtMs: error.retryAtMs }),
      cause: error,
    });
  }
}
