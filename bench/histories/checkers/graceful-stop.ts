import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

/**
 * P6: no request that a planned stop found or that arrived during it is cut off. A daemon that
 * crashes during its stop did not stop as planned.
 */
export const gracefulStop: Checker = (history) => {
  const stopping = new Set(eventsOf(history, HistoryKind.StopBegan).map(({ daemon }) => daemon));
  for (const { daemon } of eventsOf(history, HistoryKind.DaemonCrashed)) stopping.delete(daemon);
  const ended = new Map(
    eventsOf(history, HistoryKind.RequestEnded).map((event) => [event.requestId, event]),
  );
  return eventsOf(history, HistoryKind.RequestBegan)
    .filter(({ daemon }) => stopping.has(daemon))
    .filter(({ requestId }) => ended.get(requestId)?.isCutOff !== false)
    .map(({ requestId, daemon }) => `P6: the stop of ${daemon} cut off request ${requestId}`);
};
