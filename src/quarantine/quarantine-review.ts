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

/** Bounds of the memory, as callers choose the ids of parts. */
const maxCrashes = 128;
const maxReportsOfCrash = 8;

/** A crash with the parts of the requests that were in progress, by the requests' ids. */
interface ReviewedCrash extends Crash {
  readonly endpointId: string;
  readonly reports: ReadonlyMap<string, readonly string[]>;
}

/** What this daemon knows of a quarantine that is in force; times in epoch milliseconds. */
interface Term {
  readonly partIds: readonly string[];
  /** Endpoints whose crashes it was decided by, as far as its entry names them. */
  readonly endpointIds: readonly string[];
  readonly inForceAtMs: number;
  /** Beginning of its latest trial; `-Infinity` when there was none. */
  readonly trialAtMs: number;
  readonly trials: number;
}

/**
 * Finds the quarantines that may hold back sound prompts. Once the right prompts are held back,
 * endpoints crash no more; when they go on crashing under others, the quarantine may have been
 * reached without the reports that would have shown the cause. So may one of two quarantines by
 * the same crashes.
 */
export class QuarantineReview {
  readonly #terms = new Map<string, Term>();
  readonly #crashes = new LRUCache<string, ReviewedCrash>({ max: maxCrashes });

  /** A quarantine is in force, or its next trial has begun, at this daemon or another one. */
  began({ partIds, endpointIds = [], trials }: QuarantineEntry, nowMs: number): void {
    const key = quarantineKey(partIds);
    const known = this.#terms.get(key);
    const isNextTrial = trials > (known?.trials ?? 0);
    this.#terms.set(key, {
      partIds,
      endpointIds,
      inForceAtMs: known?.inForceAtMs ?? nowMs,
      trialAtMs: isNextTrial ? nowMs : (known?.trialAtMs ?? -Infinity),
      trials,
    });
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

  recordCrash(report: CrashReport): void {
    const known = this.#crashes.get(report.endpointId);
    const reports = new Map(known?.reports);
    if (reports.size < maxReportsOfCrash) reports.set(report.requestId, report.partIds);
    const { endpointId } = report;
    this.#crashes.set(endpointId, { endpointId, ...laterSent(known, report), reports });
  }

  /** Endpoints that are known to have crashed under a quarantine's prompts. */
  crashedUnder({ partIds }: QuarantineEntry): string[] {
    return [...this.#crashes.entries()]
      .filter(([, crash]) => isUnder(crash, { partIds }))
      .map(([endpointId]) => endpointId);
  }

  /**
   * The first crash that is known here of those that a quarantine names, in epoch milliseconds on this
   * daemon's clock; infinite when none is known. Other crashes with its parts may be long past.
   */
  firstCrashAtMs({ endpointIds = [] }: QuarantineEntry): number {
    const times = endpointIds.map((id) => this.#crashes.peek(id)?.crashedAtMs ?? Infinity);
    return Math.min(...times);
  }

  /** Whether one request is to be let through before its time. */
  isDoubtful({ partIds }: QuarantineEntry, nowMs: number): boolean {
    const term = this.#terms.get(quarantineKey(partIds));
    if (!term || nowMs < Math.max(term.inForceAtMs + otherCauseMs, term.trialAtMs + trialMs))
      return false;
    const crashes = [...this.#crashes.values()].filter(
      ({ crashedAtMs }) => crashedAtMs > nowMs - windowMs,
    );
    const own = crashes.filter((crash) => isOf(crash, term));
    const isConfirmed = term.trials > 0 && own.some((crash) => crash.crashedAtMs > term.trialAtMs);
    if (isConfirmed) return false;
    return this.#hasRival(own, term) || goesOnUnderOthers(crashes, term, nowMs);
  }

  /** Whether the same crashes led to another quarantine too. */
  #hasRival(own: readonly ReviewedCrash[], term: Term): boolean {
    return [...this.#terms.values()].some((other) => {
      if (other === term) return false;
      const shared = own.filter((crash) => isOf(crash, other));
      return shared.length * 2 > own.length;
    });
  }
}

/** Whether a request that a quarantine holds back was in progress at a crash. */
function isUnder({ reports }: ReviewedCrash, { partIds }: Pick<Term, 'partIds'>): boolean {
  return [...reports.values()].some((parts) => partIds.every((part) => parts.includes(part)));
}

/** Whether a crash speaks for a quarantine, by the reports that came or by what its entry says. */
function isOf(crash: ReviewedCrash, term: Term): boolean {
  return term.endpointIds.includes(crash.endpointId) || isUnder(crash, term);
}

/** Whether endpoints have crashed under other prompts since a quarantine is in force. */
function goesOnUnderOthers(crashes: readonly ReviewedCrash[], term: Term, nowMs: number): boolean {
  const others = crashes
    .filter(({ crashedAtMs }) => crashedAtMs > term.inForceAtMs)
    .filter((crash) => !isOf(crash, term));
  const firstAtMs = Math.min(...others.map(({ crashedAtMs }) => crashedAtMs));
  return countEvents(others) >= minOtherCrashes && nowMs >= firstAtMs + otherCauseMs;
}
