/** Crash of an endpoint, by what is known of it. */
export interface Crash {
  readonly crashedAtMs: number;
  /** Time at which the latest request there was sent, in epoch milliseconds. */
  readonly sentAtMs: number;
}

/** Endpoints that crash within this time of each other may have one cause outside of any prompt. */
const sameEventMs = 250;

/**
 * Number of separate events, as crashes shortly after each other may be one. A request that was sent
 * after a crash met an endpoint that had outlived whatever caused that crash.
 */
export function countEvents(crashes: readonly Crash[]): number {
  let events = 0;
  let eventAtMs = -Infinity;
  for (const { sentAtMs, crashedAtMs } of crashes.toSorted(
    (a, b) => a.crashedAtMs - b.crashedAtMs,
  )) {
    if (crashedAtMs - eventAtMs <= sameEventMs && sentAtMs <= eventAtMs) continue;
    events += 1;
    eventAtMs = crashedAtMs;
  }
  return events;
}

/** A crash with the time of the later of two requests. */
export function laterSent(known: Crash | undefined, crash: Crash): Crash {
  const sentAtMs = Math.max(known?.sentAtMs ?? -Infinity, crash.sentAtMs);
  return { crashedAtMs: known?.crashedAtMs ?? crash.crashedAtMs, sentAtMs };
}
