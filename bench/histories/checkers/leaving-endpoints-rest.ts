import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

const graceMs = 3_000;

/**
 * P5: an endpoint receives no new work from 3 s after the first signal that it is leaving. When the
 * regions are cut, the daemons of the other region count from the end of the cut or from a signal in
 * their own region, since nothing could tell them earlier.
 */
export const leavingEndpointsRest: Checker = (history) => {
  const signals = new Map<string, { readonly atMs: number; readonly region: string }[]>();
  for (const { endpointId, atMs, region } of eventsOf(history, HistoryKind.EndpointLeaving)) {
    const known = signals.get(endpointId) ?? [];
    signals.set(endpointId, [...known, { atMs, region }]);
  }
  const cuts = eventsOf(history, HistoryKind.RegionsCut).sort((a, b) => a.atMs - b.atMs);
  const afterCuts = (signalAtMs: number): number => {
    let fromMs = signalAtMs;
    for (const { atMs, untilMs } of cuts) {
      if (atMs < fromMs + graceMs && untilMs > fromMs) fromMs = untilMs;
    }
    return fromMs;
  };
  return eventsOf(history, HistoryKind.WorkAssigned)
    .filter(({ endpointId, atMs, region }) => {
      const knownFromMs = (signals.get(endpointId) ?? []).map((signal) =>
        signal.region === region ? signal.atMs : afterCuts(signal.atMs),
      );
      return atMs > Math.min(Infinity, ...knownFromMs) + graceMs;
    })
    .map(({ endpointId, workId }) => `P5: leaving endpoint ${endpointId} received ${workId}`);
};
