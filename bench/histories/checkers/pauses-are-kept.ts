import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

/** Time after a refusal in which requests may still arrive. */
const noticeMs = 500;

/**
 * Between half a second after an endpoint has asked a run of a daemon for a pause and the end of
 * that pause, no request of that run reaches it, probes for health included. What the daemon had
 * written before it read the refusal is on its way.
 */
export const pausesAreKept: Checker = (history) => {
  const arrivals = eventsOf(history, HistoryKind.RequestArrived);
  return eventsOf(history, HistoryKind.PauseAsked).flatMap((pause) =>
    arrivals
      .filter(({ endpointId, daemon }) => {
        return endpointId === pause.endpointId && daemon === pause.daemon;
      })
      .filter(({ atMs }) => atMs > pause.askedAtMs + noticeMs && atMs < pause.untilMs)
      .filter(({ writtenAtMs }) => writtenAtMs > pause.atMs)
      .map(({ requestId, daemon, endpointId, atMs }) => {
        const inMs = atMs - pause.askedAtMs;
        return `pause: ${requestId} of ${daemon} reached ${endpointId} ${inMs} ms into a pause`;
      }),
  );
};
