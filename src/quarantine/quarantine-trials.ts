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
  /** Keys of the quarantines of which the next request at this daemon is let through. */
  readonly #openKeys = new Set<string>();

  constructor(options: QuarantineTrialsOptions) {
    this.#options = options;
  }

  /** Whether the next request with the parts of a quarantine may be sent. */
  isOpen(entry: QuarantineEntry): boolean {
    return this.#openKeys.has(quarantineKey(entry.partIds)) && this.#options.isDutyHolder();
  }

  /** The request of a trial was sent. */
  close(entry: QuarantineEntry): void {
    this.#openKeys.delete(quarantineKey(entry.partIds));
  }

  /** The daemon does not hold the duties any more. */
  closeAll(): void {
    this.#openKeys.clear();
  }

  /** Starts the trials that are due. One that waits for its request keeps up no other. */
  async startDue(): Promise<void> {
    const { quarantine, review, clock } = this.#options;
    this.#closeLifted();
    for (const entry of quarantine.active) {
      if (this.#openKeys.has(quarantineKey(entry.partIds))) continue;
      const nowMs = clock.nowMs();
      const trial = quarantine.nextTrial(entry, nowMs, review.isDoubtful(entry, nowMs));
      if (trial) await this.#start(trial, nowMs < entry.nextTrialAtMs);
    }
  }

  #closeLifted(): void {
    const keys = new Set(
      this.#options.quarantine.active.map((entry) => quarantineKey(entry.partIds)),
    );
    for (const key of this.#openKeys) if (!keys.has(key)) this.#openKeys.delete(key);
  }

  /** The trial is counted in the store before it is made, so that no daemon makes it again. */
  async #start(trial: QuarantineEntry, isEarly: boolean): Promise<void> {
    const { records, onTrial, events } = this.#options;
    if (!(await records.store(trial))) return;
    onTrial(trial);
    this.#openKeys.add(quarantineKey(trial.partIds));
    events.info(EventId.QuarantineTrial, 'the next request is let through', {
      partIds: trial.partIds,
      trials: trial.trials,
      isEarly,
    });
  }
}
