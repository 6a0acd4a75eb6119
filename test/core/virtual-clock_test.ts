import { describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';

describe('VirtualClock', () => {
  describe('advance', () => {
    it('runs timers due at the same millisecond in the order in which they were scheduled', async () => {
      const clock = new VirtualClock(0);
      const order: string[] = [];
      clock.schedule(10, () => order.push('first'));
      clock.schedule(5, () => order.push('earlier'));
      clock.schedule(10, () => order.push('second'));
      await clock.advance(10);
      expect(order).toEqual(['earlier', 'first', 'second']);
    });

    it('does not run a cancelled timer', async () => {
      const clock = new VirtualClock(0);
      let runs = 0;
      const cancel = clock.schedule(1, () => runs++);
      cancel();
      await clock.advance(5);
      expect(runs).toBe(0);
      expect(clock.pendingTimerCount).toBe(0);
    });

    it('runs the code after sleepUntil before it advances to later timers', async () => {
      const clock = new VirtualClock(0);
      const times: number[] = [];
      const loop = async (): Promise<void> => {
        for (let round = 1; round <= 3; round++) {
          await clock.sleepUntil(clock.nowMs() + 10);
          times.push(clock.nowMs());
        }
      };
      const done = loop();
      await clock.advance(30);
      await done;
      expect(times).toEqual([10, 20, 30]);
    });
  });
});
