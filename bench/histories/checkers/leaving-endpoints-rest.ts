import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

const graceMs = 3_000;

/** P5: an endpoint receives no new work from 3 s after the first signal that it is leaving. */
export const leavingEndpointsRest: Checker = (history) => {
  const leavingAtMs = new Map<string, number>();
  for (const { endpointId, atMs } of eventsOf(history, HistoryKind.EndpointLeaving)) {
    leavingAtMs.set(endpointId, Math.min(atMs, leavingAtMs.get(endpointId) ?? Infinity));
  }
  return eventsOf(history, HistoryKind.WorkAssigned)
    .filter(({ endpointId, atMs }) => atMs > (leavingAtMs.get(endpointId) ?? Infinity) + graceMs)
    .map(({ endpointId, workId }) => `P5: leaving endpoint ${endpointId} received ${workId}`);
};
