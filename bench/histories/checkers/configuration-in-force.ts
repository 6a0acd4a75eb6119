import { HistoryKind, eventsOf, type HistoryEvent } from '../history.js';
import type { Checker } from './checker.js';

const limitMs = 20_000;

/** P7: an accepted setting is in force on each serving daemon within 20 s and never reverts. */
export const configurationInForce: Checker = (history) => [
  ...lateSettings(history),
  ...revertedSettings(history),
];

function lateSettings(history: readonly HistoryEvent[]): string[] {
  const inForce = eventsOf(history, HistoryKind.SettingInForce);
  const serving = eventsOf(history, HistoryKind.DaemonServing);
  return eventsOf(history, HistoryKind.SettingAccepted).flatMap(({ atMs, path, revision }) =>
    serving
      .filter((period) => period.atMs <= atMs && period.untilMs >= atMs + limitMs)
      .filter(
        ({ daemon }) =>
          !inForce.some(
            (event) =>
              event.daemon === daemon &&
              event.path === path &&
              event.revision >= revision &&
              event.atMs <= atMs + limitMs,
          ),
      )
      .map(({ daemon }) => `P7: ${path} at ${revision} was not in force on ${daemon} in time`),
  );
}

function revertedSettings(history: readonly HistoryEvent[]): string[] {
  const newest = new Map<string, number>();
  const violations: string[] = [];
  for (const { daemon, path, revision } of eventsOf(history, HistoryKind.SettingInForce)) {
    const place = `${daemon} ${path}`;
    if (revision < (newest.get(place) ?? 0)) {
      violations.push(`P7: ${path} went back to ${revision} on ${daemon}`);
    }
    newest.set(place, Math.max(revision, newest.get(place) ?? 0));
  }
  return violations;
}
