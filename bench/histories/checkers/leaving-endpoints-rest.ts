import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

const graceMs = 3_000;

/**
 * P5: an endpoint receives no new work from 3 s after the first signal that it is leaving. A daemon
 * in another region counts from the end of a cut that kept the signal from its region.
 */
export const leavingEndpointsRest: Checker = (history) => {
  const leavingAtMs = new Map<string, number>();
  for (const { endpointId, atMs } of eventsOf(history, HistoryKind.EndpointLeaving)) {
    leavingAtMs.set(endpointId, Math.min(atMs, leavingAtMs.get(endpointId) ?? Infinity));
  }
  const cuts = eventsOf(history, HistoryKind.RegionsCut).sort((a, b) => a.atMs - b.atMs);
  const remoteFromMs = (signalAtMs: number): number => {
    let fromMs = signalAtMs;
    for (const { atMs, untilMs } of cuts) {
      if (atMs < fromMs + graceMs && untilMs > fromMs) fromMs = untilMs;
    }
    return fromMs;
  };
  return eventsOf(history, HistoryKind.WorkAssigned)
    .filter(({ endpointId, atMs, isRemote }) => {
      const signalAtMs = leavingAtMs.get(endpointId) ?? Infinity;
      return atMs > (isRemote ? remoteFromMs(signalAtMs) : signalAtMs) + graceMs;
    })
    .map(({ endpointId, workId }) => `P5: leaving endpoint ${endpointId} received ${workId}`);
};
