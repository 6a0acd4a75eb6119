import { HistoryKind, eventsOf, type HistoryEvent } from '../history.js';
import type { Checker } from './checker.js';

const limitMs = 20_000;

/**
 * P7: an accepted setting is in force on each serving daemon within 20 s of its acceptance or of the
 * daemon's return, has the accepted value, and never reverts; operators are told the true decision.
 */
export const configurationInForce: Checker = (history) => [
  ...lateSettings(history),
  ...revertedSettings(history),
  ...wrongValues(history),
  ...wrongAnswers(history),
];

function lateSettings(history: readonly HistoryEvent[]): string[] {
  const inForce = eventsOf(history, HistoryKind.SettingInForce);
  const serving = eventsOf(history, HistoryKind.DaemonServing);
  return eventsOf(history, HistoryKind.SettingAccepted).flatMap(({ atMs, path, revision }) =>
    serving
      .map(({ daemon, atMs: fromMs, untilMs }) => ({
        daemon,
        untilMs,
        dueAtMs: Math.max(atMs, fromMs) + limitMs,
      }))
      .filter(({ untilMs, dueAtMs }) => untilMs >= dueAtMs)
      .filter(
        ({ daemon, dueAtMs }) =>
          !inForce.some(
            (event) =>
              event.daemon === daemon &&
              event.path === path &&
              event.revision >= revision &&
              event.atMs <= dueAtMs,
          ),
      )
      .map(({ daemon }) => `P7: ${path} at ${revision} was not in force on ${daemon} in time`),
  );
}

function wrongValues(history: readonly HistoryEvent[]): string[] {
  const accepted = acceptedValues(history);
  return eventsOf(history, HistoryKind.SettingInForce)
    .filter(({ path, revision, value }) => accepted.get(`${path} ${revision}`) !== value)
    .map(
      ({ daemon, path, revision, value }) =>
        `P7: ${path} at ${revision} has the value "${value}" on ${daemon}, which was not accepted`,
    );
}

function wrongAnswers(history: readonly HistoryEvent[]): string[] {
  const accepted = acceptedValues(history);
  return eventsOf(history, HistoryKind.SettingAnswered)
    .filter(({ path, revision, isAccepted }) => accepted.has(`${path} ${revision}`) !== isAccepted)
    .map(
      ({ path, revision, isAccepted }) =>
        `P7: the operator was told isAccepted=${isAccepted} for ${path} at ${revision}`,
    );
}

function acceptedValues(history: readonly HistoryEvent[]): Map<string, string> {
  return new Map(
    eventsOf(history, HistoryKind.SettingAccepted).map(({ path, revision, value }) => [
      `${path} ${revision}`,
      value,
    ]),
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
