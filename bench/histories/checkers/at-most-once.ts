import { HistoryKind, eventsOf } from '../history.js';
import type { Checker } from './checker.js';

/** P4: work of one idempotency key runs at most once. Jobs are repeatable and carry no key. */
export const atMostOnce: Checker = (history) => {
  const runsByKey = new Map<string, string[]>();
  for (const { key, workId } of eventsOf(history, HistoryKind.WorkRan)) {
    if (key !== '') runsByKey.set(key, [...(runsByKey.get(key) ?? []), workId]);
  }
  return [...runsByKey]
    .filter(([, runs]) => runs.length > 1)
    .map(([key, runs]) => `P4: key ${key} ran ${runs.length} times: ${runs.join(', ')}`);
};
