import type { Clock } from '../core/index.js';
import { LogUnavailableError } from './log-errors.js';

/** Limits of a read whose answer may be large and the link to it narrow. */
export interface TransferLimits {
  /** Time until the first bytes of the answer, in milliseconds. */
  readonly answerMs: number;
  /** Time without a further byte after which an answer that has begun counts as lost. */
  readonly stalledMs: number;
  /** Time from the first bytes to the last, in milliseconds. */
  readonly transferMs: number;
}

/** Runs a call; `onBytes` is to be called whenever bytes of its answer have arrived. */
type Transfer<T> = (signal: AbortSignal, onBytes: () => void) => Promise<T>;

/**
 * Runs a call to the log service and rejects after `timeoutMs` even when the call itself never
 * settles, such as on an unresponsive connection.
 *
 * @internal
 */
export function withTimeout<T>(
  clock: Clock,
  timeoutMs: number,
  signal: AbortSignal,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const limits = { answerMs: timeoutMs, stalledMs: 0, transferMs: 0 };
  return withTransferTimeout(clock, limits, signal, call);
}

/**
 * Like {@link withTimeout}, but goes on while bytes of the answer keep coming, up to a limit. Reads
 * of many daemons that share a narrow link would else all time out together and begin anew.
 *
 * @internal
 */
export function withTransferTimeout<T>(
  clock: Clock,
  { answerMs, stalledMs, transferMs }: TransferLimits,
  signal: AbortSignal,
  call: Transfer<T>,
): Promise<T> {
  const controller = new AbortController();
  return new Promise<T>((resolve, reject) => {
    const startedAtMs = clock.nowMs();
    let giveUpAtMs = startedAtMs + answerMs;
    let transferEndsAtMs: number | undefined;
    const onBytes = (): void => {
      const nowMs = clock.nowMs();
      transferEndsAtMs ??= nowMs + transferMs;
      giveUpAtMs = Math.max(giveUpAtMs, Math.min(nowMs + stalledMs, transferEndsAtMs));
    };
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
    const onTimer = (): void => {
      const nowMs = clock.nowMs();
      if (nowMs < giveUpAtMs) cancelTimer = clock.schedule(giveUpAtMs, onTimer);
      else
        giveUp(`the log service did not answer within ${Math.round(giveUpAtMs - startedAtMs)} ms`);
    };
    let cancelTimer = clock.schedule(giveUpAtMs, onTimer);
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) {
      onAbort();
      return;
    }
    call(controller.signal, onBytes).then(
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
