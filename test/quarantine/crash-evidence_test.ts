import { describe, expect, it } from 'vitest';
import { CrashEvidence } from '../../src/quarantine/crash-evidence.js';
import type { CrashReport } from '../../src/quarantine/crash-report.js';

const startAtMs = 1_000_000;

/** A report of a request that was sent shortly before its endpoint ended. */
function crash(
  endpointId: string,
  atMs: number,
  requestId: string,
  ...partIds: string[]
): CrashReport {
  return {
    endpointId,
    requestId,
    partIds,
    sentAtMs: startAtMs + atMs - 80,
    crashedAtMs: startAtMs + atMs,
  };
}

/** Parts of the causes that are named when all reports arrive since `completeSinceMs`. */
function partsOfCauses(
  evidence: CrashEvidence,
  atMs: number,
  completeSinceMs = -Infinity,
): (readonly string[])[] {
  const causes = evidence.causes(startAtMs + atMs, completeSinceMs, () => true);
  return causes.map(({ partIds }) => partIds);
}

describe('CrashEvidence', () => {
  describe('names the part under which endpoints crash', () => {
    it('before the fifth endpoint, whatever else the requests hold', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 3; end++) {
        evidence.add(crash(`i-${end}`, end * 600, `r${end}`, `first${end}`, 'dead'));
      }
      expect(partsOfCauses(evidence, 2_000)).toEqual([['dead']]);
    });

    it('when reports meet that daemons made of one end each', () => {
      const evidence = new CrashEvidence();
      for (const [end, daemon] of ['a', 'b', 'c'].entries()) {
        evidence.add(crash(`i-${daemon}`, end * 600, `${daemon}-1`, 'shared', 'dead'));
        // A bystander at the same endpoint, whose answers come whole elsewhere.
        evidence.add(crash(`i-${daemon}`, end * 600, `${daemon}-2`, 'shared', `sound${end}`));
        evidence.recordAnswer(['shared'], startAtMs + end * 600 + 100);
      }
      expect(partsOfCauses(evidence, 2_000)).toEqual([['dead']]);
    });

    it('that answers came whole on before, as parts become poison with new weights', () => {
      const evidence = new CrashEvidence();
      evidence.recordAnswer(['dead'], startAtMs - 1);
      for (let end = 0; end < 5; end++) {
        evidence.add(crash(`i-${end}`, end * 600, `r${end}`, 'dead'));
      }
      expect(partsOfCauses(evidence, 2_600)).toEqual([['dead']]);
    });

    it('when a request ends one endpoint right after the other', () => {
      const evidence = new CrashEvidence();
      const ends = [0, 90, 180].entries();
      for (const [end, atMs] of ends) {
        evidence.add(crash(`i-${end}`, atMs, end < 2 ? 'r1' : 'r2', 'dead'));
      }
      expect(partsOfCauses(evidence, 500)).toEqual([['dead']]);
    });

    it('for two such parts at the same time', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 6; end++) {
        const part = end % 2 === 0 ? 'dead1' : 'dead2';
        evidence.add(crash(`i-${end}`, end * 400, `r${end}`, part));
      }
      expect(partsOfCauses(evidence, 3_000).flat().toSorted()).toEqual(['dead1', 'dead2']);
    });

    it('after five crashes and a while for reports that are missing, also when they never come', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 5; end++) {
        evidence.add(crash(`i-${end}`, end * 600, `r${end}`, 'dead'));
      }
      // Requests with it may reach no endpoint from 4 s after the fifth crash on, at 2,400 ms.
      expect(evidence.nextDueAtMs(startAtMs, Infinity)).toBe(startAtMs + 2_400 + 2_500);
      expect(partsOfCauses(evidence, 4_899, Infinity)).toEqual([]);
      expect(partsOfCauses(evidence, 4_900, Infinity)).toEqual([['dead']]);
    });

    it('together with a part that occurred in the same requests only', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 3; end++) {
        evidence.add(crash(`i-${end}`, end * 600, `r${end}`, 'first', 'dead'));
      }
      expect(partsOfCauses(evidence, 2_000)).toEqual([['dead', 'first']]);
    });
  });

  describe('holds back nothing sound', () => {
    it('when a failure domain ends at once', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 18; end++) {
        // All were sent before; the ends are seen within a fifth of a second.
        const report = crash(`i-${end}`, end * 10, `r${end}`, 'rare');
        evidence.add({ ...report, sentAtMs: startAtMs - 500 });
      }
      expect(partsOfCauses(evidence, 1_000)).toEqual([]);
    });

    it('when endpoints crash one after the other under all kinds of requests', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 20; end++) {
        evidence.add(crash(`i-${end}`, end * 500, `r${end}`, end % 5 === 0 ? 'rare' : `p${end}`));
      }
      expect(partsOfCauses(evidence, 11_000)).toEqual([]);
    });

    it('while reports of other daemons are missing, which may know the cause of these crashes', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 4; end++) {
        evidence.add(crash(`i-${end}`, end * 500, `r${end}`, 'bystander'));
      }
      expect(partsOfCauses(evidence, 2_000, Infinity)).toEqual([]);
      // The crashes at 1,000 and 1,500 ms are the only ones of which all reports came.
      expect(partsOfCauses(evidence, 2_000, startAtMs + 900)).toEqual([]);
      expect(partsOfCauses(evidence, 2_000, startAtMs + 400)).toEqual([['bystander']]);
    });

    it('by five crashes and a while, when the reports that show the cause come by the store', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 6; end++) {
        evidence.add(crash(`i-${end}`, end * 500, `b${end}`, 'bystander'));
      }
      expect(partsOfCauses(evidence, 2_600, Infinity)).toEqual([]);
      for (let end = 0; end < 7; end++) {
        evidence.add(crash(`i-${end}`, end * 500, `d${end}`, 'dead'));
      }
      expect(partsOfCauses(evidence, 4_500, Infinity)).toEqual([['dead']]);
    });

    it('by five crashes before the reports of all daemons arrived, and a later one', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 6; end++) {
        evidence.add(crash(`i-${end}`, end * 500, `b${end}`, 'bystander'));
      }
      expect(partsOfCauses(evidence, 2_900, startAtMs + 2_400)).toEqual([]);
    });

    it('while reports of the last of its crashes are still on their way', () => {
      const evidence = new CrashEvidence();
      for (const end of [0, 1, 2])
        evidence.add(crash(`i-${end}`, end * 600, `b${end}`, 'bystander'));
      for (const end of [0, 1]) evidence.add(crash(`i-${end}`, end * 600, `d${end}`, 'dead'));
      expect(partsOfCauses(evidence, 1_350)).toEqual([]);
      evidence.add(crash('i-2', 1_200, 'd2', 'dead'));
      // Which of the two it is will be clear by an answer.
      expect(partsOfCauses(evidence, 1_600)).toEqual([]);
      evidence.recordAnswer(['bystander'], startAtMs + 1_650);
      expect(partsOfCauses(evidence, 1_700)).toEqual([['dead']]);
    });

    it('when one request with the part was there each time', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 4; end++) evidence.add(crash(`i-${end}`, end * 500, 'r', 'part'));
      expect(partsOfCauses(evidence, 2_000)).toEqual([]);
    });

    it('when an answer with the part came whole after all', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 3; end++) {
        evidence.add(crash(`i-${end}`, end * 500, `r${end}`, 'part'));
      }
      expect(evidence.recordAnswer(['part'], startAtMs + 1_100)).toEqual(['part']);
      // Reports that arrive late are about the time before that answer.
      evidence.add(crash('i-3', 1_050, 'r3', 'part'));
      expect(partsOfCauses(evidence, 2_000)).toEqual([]);
    });

    it('until it is clear which of two parts at the same ends it is, or five endpoints and a while passed', () => {
      const evidence = new CrashEvidence();
      const counts: number[] = [];
      for (let end = 0; end < 5; end++) {
        evidence.add(crash(`i-${end}`, end * 600, `a${end}`, 'dead'));
        evidence.add(crash(`i-${end}`, end * 600, `b${end}`, 'bystander'));
        counts.push(partsOfCauses(evidence, end * 600 + 1).length);
      }
      expect(counts).toEqual([0, 0, 0, 0, 0]);
      // Neither can be told from the other, and more endpoints would end.
      const causes = partsOfCauses(evidence, 2_600);
      expect(causes.flat().toSorted()).toEqual(['bystander', 'dead']);
    });

    it('that was at about as many crashes as another part, not all of them the same', () => {
      const evidence = new CrashEvidence();
      // The report of the poison request at the last crash is still to come.
      for (const end of [0, 2, 3, 4]) {
        evidence.add(crash(`i-${end}`, end * 300, `b${end}`, 'bystander'));
      }
      for (const end of [0, 1, 2, 3]) evidence.add(crash(`i-${end}`, end * 300, `d${end}`, 'dead'));
      expect(partsOfCauses(evidence, 1_500)).toEqual([]);
      evidence.add(crash('i-4', 4 * 300, 'd4', 'dead'));
      expect(partsOfCauses(evidence, 1_600)).toEqual([['dead']]);
    });

    it('when time is up just before the report with another part of the last crash arrives', () => {
      const evidence = new CrashEvidence();
      for (let end = 0; end < 5; end++) {
        evidence.add(crash(`i-${end}`, end * 600, `b${end}`, 'bystander'));
      }
      for (let end = 0; end < 4; end++) {
        evidence.add(crash(`i-${end}`, end * 600, `d${end}`, 'dead'));
      }
      expect(partsOfCauses(evidence, 2_510)).toEqual([]);
      evidence.add(crash('i-4', 2_400, 'd4', 'dead'));
      evidence.add(crash('i-5', 2_600, 'd5', 'dead'));
      expect(partsOfCauses(evidence, 2_950)).toEqual([['dead']]);
    });

    it('that was at fewer crashes than another part when time is up', () => {
      const evidence = new CrashEvidence();
      for (const end of [1, 3, 4, 5, 7]) {
        evidence.add(crash(`i-${end}`, end * 400, `b${end}`, 'bystander'));
      }
      // No report with the poison part came of the fifth crash, so that both have one of their own.
      for (const end of [0, 1, 2, 3, 4, 6, 7]) {
        evidence.add(crash(`i-${end}`, end * 400, `d${end}`, 'dead'));
      }
      expect(partsOfCauses(evidence, 3_500)).toEqual([['dead']]);
    });

    it('that was at fewer crashes, although its time is up first', () => {
      const evidence = new CrashEvidence();
      evidence.add(crash('i-0', -100, 'b', 'bystander'));
      for (const end of [1, 2, 3, 4, 5]) {
        evidence.add(crash(`i-${end}`, end * 300, `b${end}`, 'bystander'));
      }
      for (const end of [1, 2, 3, 4, 5, 6, 7]) {
        evidence.add(crash(`i-${end}`, end * 300, `d${end}`, 'dead'));
      }
      expect(partsOfCauses(evidence, 2_450)).toEqual([['dead']]);
    });

    it('that answers came whole on before, however fast endpoints crash beside it', () => {
      const evidence = new CrashEvidence();
      evidence.recordAnswer(['shared'], startAtMs - 500);
      for (let end = 0; end < 6; end++) {
        evidence.add(crash(`i-${end}`, end * 40, `a${end}`, 'shared'));
        evidence.add(crash(`i-${end}`, end * 40, `b${end}`, 'dead'));
        // As each request is sent after the end before it.
        evidence.add({
          ...crash(`i-${end}`, end * 40, `b${end}`, 'dead'),
          sentAtMs: startAtMs + end * 40 - 10,
        });
      }
      expect(partsOfCauses(evidence, 500)).toEqual([['dead']]);
    });

    it('that answers came whole on before, while another part fits as well but is not clear yet', () => {
      const evidence = new CrashEvidence();
      evidence.recordAnswer(['shared'], startAtMs - 500);
      for (let end = 0; end < 5; end++) {
        evidence.add(crash(`i-${end}`, end * 700, `a${end}`, 'shared'));
        if (end === 0) continue;
        evidence.add(crash(`i-${end}`, end * 700, `b${end}`, 'dead'));
        evidence.add(crash(`i-${end}`, end * 700, `c${end}`, 'bystander'));
      }
      expect(partsOfCauses(evidence, 3_000)).toEqual([]);
    });

    it('that was at ends which another part explains, also when reports come twice', () => {
      const evidence = new CrashEvidence();
      const reports = [0, 1, 2].map((end) => crash(`i-${end}`, end * 600, `r${end}`, 'dead'));
      const bystanders = [0, 1].map((end) => crash(`i-${end}`, end * 600, `b${end}`, 'rare'));
      for (const report of [...reports, ...bystanders]) evidence.add(report);
      expect(partsOfCauses(evidence, 2_000)).toEqual([['dead']]);
      for (const report of bystanders) evidence.add(report);
      evidence.add(crash('i-9', 9_000, 'b9', 'rare'));
      expect(partsOfCauses(evidence, 10_000)).toEqual([]);
    });
  });

  it('keeps a bounded number of parts, as callers choose their ids', () => {
    const evidence = new CrashEvidence();
    const before = process.memoryUsage().heapUsed;
    for (let at = 0; at < 200_000; at++) {
      evidence.add(crash(`i-${at}`, at, `r${at}`, `part${at}`));
      evidence.recordAnswer([`other${at}`], startAtMs + at);
    }
    expect(process.memoryUsage().heapUsed - before).toBeLessThan(60_000_000);
  });
});
