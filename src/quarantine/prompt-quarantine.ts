import type { CrashCause } from './crash-evidence.js';
import {
  exchangedEndpoints,
  isNewer,
  quarantineKey,
  type QuarantineEntry,
} from './quarantine-entry.js';

/** Bound of the memory; the oldest entry gives way. */
const maxEntries = 64;

/** Time until the first request is let through again, and its growth with each. */
const firstTrialDelayMs = 300_000;
const trialDelayFactor = 4;

/** Versions rise at least by one in this time from one quarantine of the same parts to the next. */
const versionPeriodMs = 1_000;

/** Requests that are let through in all; each may cost an endpoint. */
const maxTrials = 3;

/**
 * The parts of prompts that are kept from endpoints. Each change has a version, so that no daemon
 * goes back to an older one.
 */
export class PromptQuarantine {
  readonly #entries = new Map<string, QuarantineEntry>();
  readonly #byPart = new Map<string, QuarantineEntry[]>();

  /** Entries in force, and lifted ones whose versions must not be forgotten. */
  get entries(): readonly QuarantineEntry[] {
    return [...this.#entries.values()];
  }

  get active(): readonly QuarantineEntry[] {
    return this.entries.filter(({ isReleased }) => !isReleased);
  }

  /** An entry that holds a request back; undefined when none does. */
  match(partIds: readonly string[]): QuarantineEntry | undefined {
    return this.matches(partIds)[0];
  }

  /** All entries that hold a request back. */
  matches(partIds: readonly string[]): readonly QuarantineEntry[] {
    if (this.#byPart.size === 0) return [];
    const found = partIds
      .flatMap((partId) => this.#byPart.get(partId) ?? [])
      .filter((entry) => entry.partIds.every((part) => partIds.includes(part)));
    return [...new Set(found)];
  }

  /** Applies an entry of this or another daemon. @returns whether it is newer than the known one. */
  merge(entry: QuarantineEntry): boolean {
    const key = quarantineKey(entry.partIds);
    if (!isNewer(entry, this.#entries.get(key))) return false;
    this.#entries.delete(key);
    this.#entries.set(key, entry);
    this.#forgetOldest();
    this.#index();
    return true;
  }

  /** Entry that puts parts under quarantine from now on; undefined when they already are. */
  begin(cause: CrashCause, nowMs: number): QuarantineEntry | undefined {
    const { partIds, crashes, firstCrashAtMs, isByAllReports } = cause;
    const endpointIds = cause.endpointIds && exchangedEndpoints(cause.endpointIds);
    if (this.match(partIds)) return undefined;
    const knownVersion = this.#entries.get(quarantineKey(partIds))?.version ?? 0;
    // Above those of an earlier quarantine that this daemon has forgotten and others may know.
    const version = Math.max(knownVersion + 1, Math.floor(nowMs / versionPeriodMs));
    const nextTrialAtMs = nowMs + firstTrialDelayMs;
    const state = { isReleased: false, trials: 0, nextTrialAtMs };
    const evidence = { crashes, endpointIds, isByAllReports, firstCrashAtMs };
    return { partIds: [...partIds], version, ...evidence, ...state };
  }

  /** Entry that lifts a quarantine. */
  release(entry: QuarantineEntry): QuarantineEntry {
    return { ...entry, version: entry.version + 1, isReleased: true };
  }

  /**
   * Entry that lets one more request through; undefined while none may be.
   *
   * @param isDoubtful - whether the quarantine may be wrong, so that the trial is due at once.
   */
  nextTrial(
    entry: QuarantineEntry,
    nowMs: number,
    isDoubtful: boolean,
  ): QuarantineEntry | undefined {
    if (entry.isReleased || entry.trials >= maxTrials) return undefined;
    if (nowMs < entry.nextTrialAtMs && !isDoubtful) return undefined;
    const trials = entry.trials + 1;
    const nextTrialAtMs = nowMs + firstTrialDelayMs * trialDelayFactor ** trials;
    return { ...entry, version: entry.version + 1, trials, nextTrialAtMs };
  }

  #forgetOldest(): void {
    while (this.#entries.size > maxEntries) {
      const oldest = this.entries.find(({ isReleased }) => isReleased) ?? this.entries[0];
      if (oldest) this.#entries.delete(quarantineKey(oldest.partIds));
    }
  }

  #index(): void {
    this.#byPart.clear();
    for (const entry of this.active) {
      for (const partId of entry.partIds) {
        this.#byPart.set(partId, [...(this.#byPart.get(partId) ?? []), entry]);
      }
    }
  }
}
