import type { Clock } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { PromptQuarantine } from './prompt-quarantine.js';
import { quarantineKey, type QuarantineEntry } from './quarantine-entry.js';
import type { QuarantineRecords } from './quarantine-records.js';
import type { QuarantineReview } from './quarantine-review.js';

/** Options of {@link QuarantineTrials}. */
export interface QuarantineTrialsOptions {
  readonly quarantine: PromptQuarantine;
  readonly records: QuarantineRecords;
  readonly review: QuarantineReview;
  /** Whether this daemon alone may act for all. */
  readonly isDutyHolder: () => boolean;
  /** Called with the entry of a trial that begins. */
  readonly onTrial: (entry: QuarantineEntry) => void;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Lets single requests through a quarantine, at the holder of the duties, to see whether it is right. */
export class QuarantineTrials {
  readonly #options: QuarantineTrialsOptions;
  /** Key of the quarantine whose next request at this daemon is let through. */
  #key: string | undefined;

  constructor(options: QuarantineTrialsOptions) {
    this.#options = options;
  }

  /** Whether the next request with the parts of a quarantine may be sent. */
  isOpen(entry: QuarantineEntry): boolean {
    return this.#key === quarantineKey(entry.partIds) && this.#options.isDutyHolder();
  }

  /** The request was sent, or the daemon does not hold the duties any more. */
  close(): void {
    this.#key = undefined;
  }

  /** Starts a trial that is due, unless one is open. */
  async startDue(): Promise<void> {
    const { quarantine, review, clock } = this.#options;
    for (const entry of quarantine.active) {
      if (this.#key !== undefined) return;
      const nowMs = clock.nowMs();
      const trial = quarantine.nextTrial(entry, nowMs, review.isDoubtful(entry, nowMs));
      if (trial) await this.#start(trial, nowMs < entry.nextTrialAtMs);
    }
  }

  /** The trial is counted in the store before it is made, so that no daemon makes it again. */
  async #start(trial: QuarantineEntry, isEarly: boolean): Promise<void> {
    const { records, onTrial, events } = this.#options;
    if (!(await records.store(trial))) return;
    onTrial(trial);
    this.#key = quarantineKey(trial.partIds);
    events.info(EventId.QuarantineTrial, 'the next request is let through', {
      partIds: trial.partIds,
      trials: trial.trials,
      isEarly,
    });
  }
}
