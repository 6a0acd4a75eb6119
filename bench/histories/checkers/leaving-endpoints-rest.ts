import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

const graceMs = 3_000;

/**
 * P5: an endpoint receives no new work from 3 s after the first signal that it is leaving. Time in
 * which the signal is held up, so that nothing could tell a region of it, does not count for the
 * daemons of that region.
 */
export const leavingEndpointsRest: Checker = (history) => {
  const leavingAtMs = new Map<string, number>();
  for (const { endpointId, atMs } of eventsOf(history, HistoryKind.EndpointLeaving)) {
    leavingAtMs.set(endpointId, Math.min(atMs, leavingAtMs.get(endpointId) ?? Infinity));
  }
  const heldUp = eventsOf(history, HistoryKind.SignalHeldUp).sort((a, b) => a.atMs - b.atMs);
  return eventsOf(history, HistoryKind.WorkAssigned)
    .filter((assigned) => {
      let fromMs = leavingAtMs.get(assigned.endpointId) ?? Infinity;
      for (const { endpointId, region, atMs, untilMs } of heldUp) {
        if (endpointId !== assigned.endpointId || region !== assigned.region) continue;
        if (atMs < fromMs + graceMs && untilMs > fromMs) fromMs = untilMs;
      }
      return assigned.atMs > fromMs + graceMs;
    })
    .map(({ endpointId, workId }) => `P5: leaving endpoint ${endpointId} received ${workId}`);
};
