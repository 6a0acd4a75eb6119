import { describe, expect, it } from 'vitest';
import { HistoryKind } from '../../bench/histories/history.js';
import { runHistory } from '../../bench/histories/run-history.js';

/** Checks the histories of `count` seeds; the ranges are spread over files to run in parallel. */
export function runSeedRange(firstSeed: number, count: number): void {
  describe('histories', () => {
    it(
      `keep the guarantees for ${count} seeds from ${firstSeed}`,
      { timeout: 300_000 },
      async () => {
        const totals = new Map<HistoryKind, number>();
        for (let seed = firstSeed; seed < firstSeed + count; seed++) {
          const { failure, counts } = await runHistory(seed);
          expect(failure).toBeUndefined();
          for (const [kind, seen] of counts) totals.set(kind, (totals.get(kind) ?? 0) + seen);
        }
        // Guards against histories that pass because nothing happens in them.
        for (const kind of [
          HistoryKind.JobAccepted,
          HistoryKind.WorkRan,
          HistoryKind.CallEnded,
          HistoryKind.Fault,
          HistoryKind.ReclaimAnnounced,
          HistoryKind.WorkAssigned,
          HistoryKind.StopBegan,
          HistoryKind.RequestEnded,
          HistoryKind.SettingAccepted,
          HistoryKind.SettingInForce,
          HistoryKind.RequestArrived,
          HistoryKind.LeavingTold,
          HistoryKind.PauseAsked,
          HistoryKind.CallRefused,
          HistoryKind.EndpointUsable,
        ]) {
          expect(totals.get(kind) ?? 0).toBeGreaterThan(count / 2);
        }
      },
    );
  });
}
