import type { IncomingMessage } from 'node:http';
import { CompactBytes } from '../core/compact-bytes.js';
import { RequestError, Step, type Clock } from '../core/index.js';
import { processReadTurns } from '../core/read-turns.js';
import { callerRefusal } from './caller-refusal.js';

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** Time by which the complete body must have arrived, in epoch milliseconds. */
  readonly deadlineAtMs: number;
  readonly clock: Clock;
}

/**
 * Reads a complete request body.
 *
 * @throws RequestError with status 413 over the size limit, 408 after the deadline, or 400 when the
 * caller disconnects.
 */
export function readBody(request: IncomingMessage, options: ReadBodyOptions): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const bytes = new CompactBytes();
    const reads = processReadTurns.shareOf(request, () => request.socket.remoteAddress ?? '');
    const finish = (error?: RequestError): void => {
      cancelTimer();
      // A remaining listener would keep the body in memory while the response streams.
      request.off('data', onData).off('end', onEnd).off('error', onError);
      if (error) reject(error);
      else resolve(bytes.take());
    };
    const cancelTimer = options.clock.schedule(options.deadlineAtMs, () => {
      finish(
        refusal(408, 'slow_body', 'the request body did not arrive in time', 'Send it faster.'),
      );
    });
    const onData = (chunk: Buffer): void => {
      reads.count();
      bytes.append(chunk);
      if (bytes.bytes > options.maxBytes) {
        const limit = `Send at most ${options.maxBytes} bytes.`;
        finish(refusal(413, 'body_too_large', 'the request body is too large', limit));
      }
    };
    const onEnd = (): void => {
      finish();
    };
    const onError = (): void => {
      finish(refusal(400, 'broken_body', 'the request body broke off', 'Send it again.'));
    };
    request.on('data', onData).on('end', onEnd).on('error', onError);
  });
}

function refusal(status: number, code: string, message: string, next: string): RequestError {
  return callerRefusal(Step.Parse, status, code, message, next);
}
