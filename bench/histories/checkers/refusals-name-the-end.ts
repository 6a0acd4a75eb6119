import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

/** A refusal while all endpoints of a service pause names no time before the earliest end. */
export const refusalsNameTheEnd: Checker = (history) =>
  eventsOf(history, HistoryKind.CallRefused)
    .filter(({ retryAtMs, pausedUntilMs }) => retryAtMs < (pausedUntilMs ?? -Infinity))
    .map(({ callId, retryAtMs, pausedUntilMs = 0 }) => {
      return `pause: ${callId} was told to come back ${pausedUntilMs - retryAtMs} ms too early`;
    });
