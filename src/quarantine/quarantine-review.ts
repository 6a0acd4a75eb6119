import { LRUCache } from 'lru-cache';
import { countEvents, laterSent, type Crash } from './crash-events.js';
import type { CrashReport } from './crash-report.js';
import { quarantineKey, type QuarantineEntry } from './quarantine-entry.js';

/** Separate crashes under other prompts after which a quarantine is doubtful. */
const minOtherCrashes = 3;

/** Time for the cause of these crashes to be found, so that no trial is made with its prompts. */
const otherCauseMs = 2_000;

/** Crashes that are further back raise no doubt any more. */
const windowMs = 60_000;

/** A trial without a crash and without a whole answer in this time showed nothing. */
const trialMs = 10_000;

const maxCrashes = 256;

/** A crash, and the quarantine whose prompts were in progress there. */
interface ReviewedCrash extends Crash {
  readonly key: string | undefined;
}

/** Times of a quarantine at this daemon, in epoch milliseconds. */
interface Term {
  readonly inForceAtMs: number;
  /** Beginning of its latest trial; `-Infinity` when there was none. */
  readonly trialAtMs: number;
  readonly trials: number;
}

/**
 * Finds the quarantines that may hold back sound prompts. Once the right prompts are held back,
 * endpoints crash no more; when they go on crashing under others, the quarantine may have been
 * reached without the reports that would have shown the cause.
 */
export class QuarantineReview {
  readonly #terms = new Map<string, Term>();
  readonly #crashes = new LRUCache<string, ReviewedCrash>({ max: maxCrashes });

  /** A quarantine is in force, or its next trial has begun, at this daemon or another one. */
  began({ partIds, trials }: QuarantineEntry, nowMs: number): void {
    const key = quarantineKey(partIds);
    const { inForceAtMs, trialAtMs, trials: knownTrials } = this.#terms.get(key) ?? newTerm(nowMs);
    const isNextTrial = trials > knownTrials;
    this.#terms.set(key, { inForceAtMs, trialAtMs: isNextTrial ? nowMs : trialAtMs, trials });
  }

  /** Forgets all quarantines but `entries`. */
  retain(entries: readonly QuarantineEntry[]): void {
    const keys = new Set(entries.map(({ partIds }) => quarantineKey(partIds)));
    for (const key of this.#terms.keys()) if (!keys.has(key)) this.#terms.delete(key);
  }

  /** Time since which a quarantine is in force here; undefined when it is not. */
  inForceAtMs(key: string): number | undefined {
    return this.#terms.get(key)?.inForceAtMs;
  }

  /** @param entry - the quarantine whose prompts were in progress there, if one is known. */
  recordCrash(report: CrashReport, entry: QuarantineEntry | undefined): void {
    const known = this.#crashes.get(report.endpointId);
    const key = entry ? quarantineKey(entry.partIds) : known?.key;
    this.#crashes.set(report.endpointId, { ...laterSent(known, report), key });
  }

  /** Whether one request is to be let through before its time. */
  isDoubtful({ partIds }: QuarantineEntry, nowMs: number): boolean {
    const ownKey = quarantineKey(partIds);
    const term = this.#terms.get(ownKey);
    if (!term || nowMs < term.trialAtMs + trialMs) return false;
    const crashes = [...this.#crashes.values()];
    const isConfirmed =
      term.trials > 0 &&
      crashes.some(({ key, crashedAtMs }) => key === ownKey && crashedAtMs > term.trialAtMs);
    if (isConfirmed) return false;
    const sinceMs = Math.max(term.inForceAtMs, nowMs - windowMs);
    const others = crashes.filter(
      ({ key, crashedAtMs }) => key !== ownKey && crashedAtMs > sinceMs,
    );
    const firstAtMs = Math.min(...others.map(({ crashedAtMs }) => crashedAtMs));
    return countEvents(others) >= minOtherCrashes && nowMs >= firstAtMs + otherCauseMs;
  }
}

function newTerm(nowMs: number): Term {
  return { inForceAtMs: nowMs, trialAtMs: -Infinity, trials: 0 };
}
