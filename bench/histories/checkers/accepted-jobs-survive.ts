import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

/** P1: each accepted job that was not cancelled is done at the end of the history. */
export const acceptedJobsSurvive: Checker = (history) => {
  const cancelled = new Set(eventsOf(history, HistoryKind.JobCancelled).map(({ jobId }) => jobId));
  const done = new Set(
    eventsOf(history, HistoryKind.JobEnded).flatMap(({ jobId, isDone }) => (isDone ? jobId : [])),
  );
  return eventsOf(history, HistoryKind.JobAccepted)
    .filter(({ jobId }) => !cancelled.has(jobId) && !done.has(jobId))
    .map(({ jobId }) => `P1: accepted job ${jobId} did not finish`);
};
