import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

/** Time for which an endpoint that leaves still serves what it is sent. */
const drainMs = 2_500;

/**
 * P5 for what endpoints say themselves: once a run of a daemon has read that an endpoint leaves,
 * none of its requests reaches that endpoint later than the drain bound after it. Probes for health
 * are no work.
 */
export const toldLeavingIsKept: Checker = (history) => {
  const toldAtMs = new Map<string, number>();
  for (const { endpointId, daemon, atMs } of eventsOf(history, HistoryKind.LeavingTold)) {
    const pair = `${daemon} ${endpointId}`;
    toldAtMs.set(pair, Math.min(atMs, toldAtMs.get(pair) ?? Infinity));
  }
  return eventsOf(history, HistoryKind.RequestArrived).flatMap((arrived) => {
    const { endpointId, daemon, requestId, isProbe, atMs } = arrived;
    const lateMs = atMs - (toldAtMs.get(`${daemon} ${endpointId}`) ?? Infinity);
    if (isProbe || lateMs <= drainMs) return [];
    return [`P5: ${requestId} of ${daemon} reached ${endpointId} ${lateMs} ms after it was told`];
  });
};
