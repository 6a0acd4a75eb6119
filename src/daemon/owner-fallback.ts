import { Outcome, RequestError } from '../core/index.js';
import { RpcError } from '../rpc/index.js';

/**
 * Runs work at the home of its shard and, when that cannot be reached, here.
 *
 * After a call whose answer was lost, the home may have done the work, so that a local refusal no
 * longer proves that nothing ran: its outcome becomes `unknown`.
 *
 * @param onOwner - fails with an RpcError when the home gave no answer; other errors are final.
 * @param locally - must be safe to run beside the home's attempt, such as under the same claim key.
 * @throws RequestError of whichever ran last.
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
