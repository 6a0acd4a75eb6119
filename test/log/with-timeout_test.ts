import { beforeEach, describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import { LogUnavailableError } from '../../src/log/log-errors.js';
import { withTransferTimeout } from '../../src/log/with-timeout.js';

const limits = { answerMs: 700, stalledMs: 500, transferMs: 4_000 };

describe('withTransferTimeout', () => {
  let clock: VirtualClock;
  let outcome: string | undefined;
  let endedAtMs: number;

  beforeEach(() => {
    clock = new VirtualClock();
    outcome = undefined;
  });

  /** A call whose answer sends a byte at each interval, `bytes` times, and then completes. */
  function start(intervalMs: number, bytes: number): void {
    const signal = new AbortController().signal;
    const startedAtMs = clock.nowMs();
    const call = withTransferTimeout(clock, limits, signal, async (_signal, onBytes) => {
      for (let sent = 0; sent < bytes; sent++) {
        await clock.sleepUntil(clock.nowMs() + intervalMs);
        onBytes();
      }
      return 'complete';
    });
    const end = (text: string): void => {
      outcome = text;
      endedAtMs = clock.nowMs() - startedAtMs;
    };
    call.then(end, (error: unknown) => {
      end(error instanceof LogUnavailableError ? 'timeout' : 'other');
    });
  }

  it('lets an answer that keeps coming complete, so that a narrow link costs no second read', async () => {
    start(400, 8);
    await clock.advance(10_000);
    expect([outcome, endedAtMs]).toEqual(['complete', 3_200]);
  });

  it('ends one that drips on, so that a server in trouble costs no reader its topic', async () => {
    start(400, 1_000);
    await clock.advance(10_000);
    expect([outcome, endedAtMs]).toEqual(['timeout', 400 + limits.transferMs]);
  });

  it('ends one that stops in its middle', async () => {
    start(600, 2);
    await clock.advance(10_000);
    expect([outcome, endedAtMs]).toEqual(['timeout', 600 + limits.stalledMs]);
  });

  it('ends one that never begins', async () => {
    start(900, 1);
    await clock.advance(10_000);
    expect([outcome, endedAtMs]).toEqual(['timeout', limits.answerMs]);
  });
});
