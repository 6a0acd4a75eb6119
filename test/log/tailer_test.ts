import { describe, expect, it } from 'vitest';
import { LogFault, NoLogFaults, type LogReadFate } from '../../src/standins/index.js';
import { FirstWinsFold, LogHarness, claimEntry } from './log-harness.js';

/** Reads fail during an outage, and the first read after it gets no response. */
class OutageThenUnansweredRead extends NoLogFaults {
  hasOutage = false;
  isNextReadUnanswered = false;

  override onRead(): LogReadFate {
    if (this.hasOutage) return { fault: LogFault.RequestLost, delayMs: 1 };
    if (!this.isNextReadUnanswered) return { fault: LogFault.None, delayMs: 1 };
    this.isNextReadUnanswered = false;
    return { fault: LogFault.None, delayMs: 1e9 };
  }
}

describe('Tailer', () => {
  it('reads within 20 s after an outage when the next read gets no response (else P7 is violated)', async () => {
    for (let seed = 1; seed <= 20; seed++) {
      const faults = new OutageThenUnansweredRead();
      const harness = new LogHarness(seed, faults);
      const replica = harness.replica(new FirstWinsFold());
      await harness.clock.advance(10);
      faults.hasOutage = true;
      await harness.store(claimEntry('a'));
      // Later reads fail, and the delays between them grow to their limit.
      await harness.clock.advance(60_000);
      await harness.store(claimEntry('b'));
      faults.hasOutage = false;
      faults.isNextReadUnanswered = true;
      await harness.clock.advance(20_000);
      expect(replica.fold.winners.has('b')).toBe(true);
    }
  });
});
