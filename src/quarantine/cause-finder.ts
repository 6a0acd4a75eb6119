import type { Clock } from '../core/index.js';
import type { CrashCandidate } from './crash-candidate.js';
import type { CrashCause, CrashEvidence } from './crash-evidence.js';

/** Time for the reports and answers of the other daemons to arrive before a cause is named. */
const decisionDelayMs = 350;

/** A daemon without a report of its own leaves it to those that have one for this time. */
const deferralMs = 1_200;

/** Time between two decisions while parts are under suspicion. */
const decisionPeriodMs = 1_000;

/** Options of {@link CauseFinder}. */
export interface CauseFinderOptions {
  readonly evidence: CrashEvidence;
  /**
   * Time since which messages of all other daemons arrive, in epoch milliseconds; infinite while
   * those of some do not.
   */
  readonly reportsCompleteSinceMs: () => number;
  /** Whether this daemon had requests at one of these endpoints when it crashed. */
  readonly hasOwnReport: (endpointIds: readonly string[]) => boolean;
  readonly onCause: (cause: CrashCause) => void;
  readonly clock: Clock;
}

/**
 * Decides when the causes of crashes are named: a while after each report, and again while parts are
 * under suspicion. Of many daemons with the same evidence, those name a cause that saw its crashes.
 */
export class CauseFinder {
  readonly #options: CauseFinderOptions;
  /** Times since which this daemon leaves it to others to name parts, in epoch milliseconds. */
  #deferredAtMs: ReadonlyMap<string, number> = new Map();
  #decisionAtMs = Infinity;
  #cancel: () => void = () => undefined;

  constructor(options: CauseFinderOptions) {
    this.#options = options;
  }

  /** A crash was reported. */
  reported(): void {
    this.#schedule(this.#options.clock.nowMs() + decisionDelayMs);
  }

  stop(): void {
    this.#cancel();
  }

  #schedule(atMs: number): void {
    if (this.#decisionAtMs <= atMs) return;
    this.#cancel();
    this.#decisionAtMs = atMs;
    this.#cancel = this.#options.clock.schedule(atMs, () => {
      this.#decisionAtMs = Infinity;
      this.#decide();
    });
  }

  #decide(): void {
    const { evidence, clock, reportsCompleteSinceMs, hasOwnReport, onCause } = this.#options;
    const nowMs = clock.nowMs();
    // What is unclear now may be clear later, also without a further crash.
    if (evidence.hasSuspects) this.#schedule(nowMs + decisionPeriodMs);
    const deferredAtMs = new Map<string, number>();
    const mayName = ({ partId, endpointIds }: CrashCandidate): boolean => {
      if (hasOwnReport(endpointIds)) return true;
      const firstAtMs = this.#deferredAtMs.get(partId) ?? nowMs;
      if (nowMs >= firstAtMs + deferralMs) return true;
      deferredAtMs.set(partId, firstAtMs);
      this.#schedule(firstAtMs + deferralMs);
      return false;
    };
    const causes = evidence.causes(nowMs, reportsCompleteSinceMs(), mayName);
    this.#deferredAtMs = deferredAtMs;
    for (const cause of causes) onCause(cause);
    this.#schedule(evidence.nextDueAtMs(nowMs, reportsCompleteSinceMs()));
  }
}
