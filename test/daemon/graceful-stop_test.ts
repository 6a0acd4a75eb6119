import { describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import { gracefulStop } from '../../src/daemon/graceful-stop.js';

describe('gracefulStop', () => {
  it('answers requests in flight before it stops their services, so that none is cut off', async () => {
    const clock = new VirtualClock();
    const startedAtMs = clock.nowMs();
    const steps: [string, number][] = [];
    const step = (name: string, takesMs: number) => async (): Promise<void> => {
      steps.push([name, clock.nowMs() - startedAtMs]);
      await clock.sleepUntil(clock.nowMs() + takesMs);
    };
    const stopped = gracefulStop({
      clock,
      deregistrationDelayMs: 3_000,
      timeoutMs: 60_000,
      drainCallers: step('drain', 20_000),
      stopServices: step('stop', 100),
      leave: step('leave', 0),
    });
    await clock.advance(30_000);
    await stopped;
    expect(steps).toEqual([
      ['drain', 3_000],
      ['stop', 23_000],
      ['leave', 23_100],
    ]);
  });
});
