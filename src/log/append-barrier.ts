import type { Clock, IdSource, Random } from '../core/index.js';
import { RetryDelay } from './retry-delay.js';
import { encodeEnvelope } from './envelope.js';
import type { LogService, Offset } from './log-service.js';
import { withTimeout } from './with-timeout.js';

/** Options of {@link appendBarrier}. */
export interface AppendBarrierOptions {
  readonly log: LogService;
  readonly stream: string;
  /** Name of the daemon, stored in the record. */
  readonly writer: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: IdSource;
  readonly signal: AbortSignal;
}

const attemptTimeoutMs = 2_000;

/**
 * Appends an empty record. A reader that has read this record has seen every record stored before
 * the append, even when the log service's reads lag behind its appends.
 *
 * @returns the offset after the record; undefined when `signal` was aborted first.
 * @example
 * ```ts
 * const offset = await appendBarrier({ log, stream: 'prod.config', writer: 'entry-1', ...rest });
 * ```
 */
export async function appendBarrier(options: AppendBarrierOptions): Promise<Offset | undefined> {
  const { log, stream, writer, clock, random, newId, signal } = options;
  const retryDelay = new RetryDelay({ random });
  const data = encodeEnvelope(writer, []);
  while (!signal.aborted) {
    try {
      const { offset } = await withTimeout(clock, attemptTimeoutMs, signal, (attemptSignal) =>
        log.append(stream, { id: newId(), data }, attemptSignal),
      );
      return offset + 1;
    } catch {
      // Retrying after a lost response is safe: an extra barrier record changes no state.
      await clock.sleepUntil(clock.nowMs() + retryDelay.nextMs(), signal);
    }
  }
  return undefined;
}
