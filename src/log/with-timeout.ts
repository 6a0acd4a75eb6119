import type { Clock } from '../core/index.js';
import { LogUnavailableError } from './log-errors.js';

/**
 * Runs a call to the log service and rejects after `timeoutMs` even when the call itself never
 * settles, such as on an unresponsive connection.
 *
 * @internal
 */
export async function withTimeout<T>(
  clock: Clock,
  timeoutMs: number,
  signal: AbortSignal,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  return new Promise<T>((resolve, reject) => {
    const finish = (): void => {
      cancelTimer();
      signal.removeEventListener('abort', onAbort);
    };
    const giveUp = (message: string): void => {
      finish();
      reject(new LogUnavailableError(message, 'log', true));
      controller.abort();
    };
    const onAbort = (): void => giveUp('the call was cancelled');
    const cancelTimer = clock.schedule(clock.nowMs() + timeoutMs, () =>
      giveUp(`the log service did not answer within ${timeoutMs} ms`),
    );
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) {
      onAbort();
      return;
    }
    call(controller.signal).then(
      (value) => {
        finish();
        resolve(value);
      },
      (error: unknown) => {
        finish();
        reject(error instanceof Error ? error : new Error(String(error)));
      },
    );
  });
}
