import { beforeEach, describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import { CauseFinder } from '../../src/quarantine/cause-finder.js';
import { CrashEvidence } from '../../src/quarantine/crash-evidence.js';

const startAtMs = 1_000_000;

describe('CauseFinder', () => {
  let clock: VirtualClock;
  let evidence: CrashEvidence;
  /** Causes with the times at which they were named, since the start. */
  let named: { readonly partIds: readonly string[]; readonly afterMs: number }[];

  beforeEach(() => {
    clock = new VirtualClock(startAtMs);
    evidence = new CrashEvidence();
    named = [];
  });

  function start({ hasOwnReport = true, completeSinceMs = startAtMs } = {}): CauseFinder {
    return new CauseFinder({
      evidence,
      reportsCompleteSinceMs: () => completeSinceMs,
      hasOwnReport: () => hasOwnReport,
      onCause: ({ partIds }) => named.push({ partIds, afterMs: clock.nowMs() - startAtMs }),
      clock,
    });
  }

  /** Endpoints crash at 0, 500 and 1,000 ms, or longer on. */
  async function crash(finder: CauseFinder, crashes = 3): Promise<void> {
    for (let end = 0; end < crashes; end++) {
      const crashedAtMs = clock.nowMs();
      const ids = { endpointId: `i-${end}`, requestId: `r${end}`, partIds: ['dead'] };
      evidence.add({ ...ids, sentAtMs: crashedAtMs - 80, crashedAtMs });
      finder.reported();
      await clock.advance(end < crashes - 1 ? 500 : 0);
    }
  }

  it('names a cause once the reports of the third crash can have come', async () => {
    await crash(start());
    await clock.advance(2_000);
    expect(named).toEqual([{ partIds: ['dead'], afterMs: 1_350 }]);
  });

  it('leaves it to daemons with a report of their own, so that not all name it at once', async () => {
    await crash(start({ hasOwnReport: false }));
    await clock.advance(1_400);
    expect(named).toEqual([]);
    await clock.advance(200);
    expect(named).toEqual([{ partIds: ['dead'], afterMs: 2_550 }]);
  });

  it('does not name what an answer has cleared while it left it to others', async () => {
    await crash(start({ hasOwnReport: false }));
    await clock.advance(500);
    evidence.recordAnswer(['dead'], clock.nowMs());
    await clock.advance(5_000);
    expect(named).toEqual([]);
  });

  it('names nothing by three crashes while reports of other daemons are missing', async () => {
    await crash(start({ completeSinceMs: Infinity }));
    await clock.advance(10_000);
    expect(named).toEqual([]);
  });

  it('names a part in time by five crashes when the reports of other daemons never come', async () => {
    await crash(start({ completeSinceMs: Infinity }), 5);
    await clock.advance(10_000);
    expect(named).toEqual([{ partIds: ['dead'], afterMs: 2_000 + 2_500 }]);
  });

  it('names nothing once it is stopped', async () => {
    const finder = start();
    await crash(finder);
    finder.stop();
    await clock.advance(2_000);
    expect(named).toEqual([]);
  });
});
