import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

/**
 * What an endpoint said of itself holds for its process and its time: a later start under the same
 * id or address is used again, and so is one whose pauses have ended.
 */
export const soundEndpointsServe: Checker = (history) =>
  eventsOf(history, HistoryKind.EndpointUsable)
    .filter(({ isUsable }) => !isUsable)
    .map(({ endpointId, daemon }) => `leaving: ${daemon} keeps away from sound ${endpointId}`);
