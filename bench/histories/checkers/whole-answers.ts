import { HistoryKind, eventsOf, type HistoryEvent } from '../history.js';
import type { Checker } from './checker.js';

/** P2: each success is the whole answer to the caller's own request, and each text shown before is
 * a prefix of it. */
export const wholeAnswers: Checker = (history) => [
  ...callViolations(history),
  ...jobViolations(history),
];

function callViolations(history: readonly HistoryEvent[]): string[] {
  const started = new Map(
    eventsOf(history, HistoryKind.CallStarted).map((event) => [event.callId, event]),
  );
  return eventsOf(history, HistoryKind.CallEnded)
    .filter(({ callId, outcome, body }) => {
      const expected = started.get(callId)?.expectedBody;
      // An answer that failed may have shown its beginning, and nothing else.
      const isRight = outcome === undefined ? body === expected : expected?.startsWith(body);
      return isRight !== true;
    })
    .map(({ callId, body }) => `P2: call ${callId} got the answer "${body}"`);
}

function jobViolations(history: readonly HistoryEvent[]): string[] {
  const textByWork = new Map(
    eventsOf(history, HistoryKind.JobSubmitted).map((event) => [event.workId, event.expectedText]),
  );
  const textByJob = new Map(
    eventsOf(history, HistoryKind.JobAccepted).map(({ jobId, workId }) => [
      jobId,
      textByWork.get(workId),
    ]),
  );
  const shown = [
    ...eventsOf(history, HistoryKind.AnswerRead),
    ...eventsOf(history, HistoryKind.JobEnded).map((event) => ({
      ...event,
      isComplete: event.isDone,
    })),
  ];
  return shown.flatMap(({ jobId, text, isComplete }) => {
    const expected = textByJob.get(jobId);
    if (expected === undefined) return [];
    const isRight = isComplete ? text === expected : expected.startsWith(text);
    return isRight ? [] : [`P2: job ${jobId} was shown "${text}" instead of "${expected}"`];
  });
}
