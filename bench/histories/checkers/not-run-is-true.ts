import { Outcome } from '../../../src/core/index.js';
import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

/** P3: work refused with `not_run` ran neither before nor after the refusal. */
export const notRunIsTrue: Checker = (history) => {
  const ran = new Set(eventsOf(history, HistoryKind.WorkRan).map(({ workId }) => workId));
  const refused = [
    ...eventsOf(history, HistoryKind.CallEnded).map(({ callId, outcome }) => ({
      workId: callId,
      outcome,
    })),
    ...eventsOf(history, HistoryKind.JobRefused),
  ];
  return refused
    .filter(({ workId, outcome }) => outcome === Outcome.NotRun && ran.has(workId))
    .map(({ workId }) => `P3: ${workId} was refused with not_run, but ran`);
};
