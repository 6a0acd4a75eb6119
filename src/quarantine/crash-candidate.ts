import { countEvents, type Crash } from './crash-events.js';

/**
 * Crashes after which a part is named although another one fits as well, or although answers with it
 * came whole before; and the time since the first of them, in which parts of sound requests are
 * cleared by further answers.
 */
const minUnclearCrashes = 5;
const unclearMs = 2_500;

/**
 * Time after the fifth crash for what is missing: the reports of daemons whose datagrams do not
 * arrive come by the store, or the verdict of one that has them. A part whose reports never come is
 * named then, as its requests may reach no endpoint from 4 s after that crash on.
 */
const missingReportsMs = 2_500;

/** Time in which the reports of a crash arrive from all daemons that had requests there. */
const reportTransitMs = 300;

/** Options of {@link CrashCandidate}. */
export interface CrashCandidateOptions {
  readonly partId: string;
  /** Parts that each request with this one held too, itself included. */
  readonly group: readonly string[];
  /** Crashes with a request with the part in progress, by endpoint. */
  readonly crashes: ReadonlyMap<string, Crash>;
  /** Whether an answer with it came whole at some time. */
  readonly wasAnswered: boolean;
}

/** A part of prompts under which enough endpoints crashed to be their cause. */
export class CrashCandidate {
  readonly #options: CrashCandidateOptions;

  constructor(options: CrashCandidateOptions) {
    this.#options = options;
  }

  get partId(): string {
    return this.#options.partId;
  }

  get group(): readonly string[] {
    return this.#options.group;
  }

  get wasAnswered(): boolean {
    return this.#options.wasAnswered;
  }

  get endpointIds(): readonly string[] {
    return [...this.#options.crashes.keys()];
  }

  get firstCrashAtMs(): number {
    return Math.min(...this.#times().map(({ crashedAtMs }) => crashedAtMs));
  }

  /** Number of separate crashes since `sinceMs` of which all reports have arrived by now. */
  reportedEvents(sinceMs: number, nowMs: number): number {
    const reported = this.#times()
      .filter(({ crashedAtMs }) => crashedAtMs >= sinceMs)
      .filter(({ crashedAtMs }) => crashedAtMs <= nowMs - reportTransitMs);
    return countEvents(reported);
  }

  /**
   * Deadline in epoch milliseconds from which the part is named although it is not clear, as a sound
   * one would have been cleared by then; infinite while it was at too few crashes.
   *
   * @param completeSinceMs - time since which the reports of all daemons arrive, in epoch milliseconds.
   */
  dueAtMs(completeSinceMs: number): number {
    const completeAtMs = this.#sortedAtMs().filter((atMs) => atMs >= completeSinceMs);
    const clearedAtMs = Math.max(
      nthCrashAtMs(completeAtMs, 1) + unclearMs,
      nthCrashAtMs(completeAtMs, minUnclearCrashes),
    );
    return Math.min(clearedAtMs, this.deadlineAtMs);
  }

  /** Deadline in epoch milliseconds after which no report is waited for. */
  get deadlineAtMs(): number {
    return nthCrashAtMs(this.#sortedAtMs(), minUnclearCrashes) + missingReportsMs;
  }

  /** Whether the part was there at most of the crashes of another one. */
  explains(other: CrashCandidate): boolean {
    const { crashes } = this.#options;
    const shared = other.endpointIds.filter((endpointId) => crashes.has(endpointId));
    return shared.length * 2 > other.endpointIds.length;
  }

  /**
   * Whether the part, in other requests, fits about as well as another one. It does not if it was at
   * fewer of the same crashes, unless the reports of the rest may still be on their way.
   */
  isRivalOf(other: CrashCandidate, nowMs: number): boolean {
    if (other.group.includes(this.partId) || !this.explains(other)) return false;
    const { crashes } = this.#options;
    const hasOwn = [...crashes.keys()].some(
      (endpointId) => !other.#options.crashes.has(endpointId),
    );
    if (hasOwn) return true;
    return ![...other.#options.crashes].some(([endpointId, { crashedAtMs }]) => {
      return !crashes.has(endpointId) && crashedAtMs <= nowMs - reportTransitMs;
    });
  }

  /** Whether reports with the part of crashes of another one may still be on their way. */
  mayCatchUpWith(other: CrashCandidate, nowMs: number): boolean {
    return [...other.#options.crashes].some(([endpointId, { crashedAtMs }]) => {
      return !this.#options.crashes.has(endpointId) && crashedAtMs > nowMs - reportTransitMs;
    });
  }

  #sortedAtMs(): number[] {
    return this.#times()
      .map(({ crashedAtMs }) => crashedAtMs)
      .toSorted((a, b) => a - b);
  }

  #times(): Crash[] {
    return [...this.#options.crashes.values()];
  }
}

/** Time of one of the crashes, counted from 1; infinite when there are fewer. */
function nthCrashAtMs(sortedAtMs: readonly number[], nth: number): number {
  return sortedAtMs[nth - 1] ?? Infinity;
}
