import type { Clock } from '../core/index.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { DaemonSamples } from '../membership/daemon-samples.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { DutyFencedError, type DutyClient, type UsageReport } from './duty-client.js';
import type { DutyLease } from './duty-lease.js';
import { mergeCounts, type UsageCounter, type UsageCounts } from './usage-counter.js';
import { UsageRecords, usageKey } from './usage-records.js';

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
  readonly counter: UsageCounter;
  /** Samples of the daemons, which carry their usage counts. */
  readonly samples: DaemonSamples;
  readonly lease: DutyLease;
  readonly replica: KeyedReplica;
  /** Client that sends the reports to the platform. */
  readonly duties: DutyClient;
  readonly daemon: string;
  readonly clock: Clock;
  readonly events: EventLog;
  /** A report is due this long after the end of its window, in milliseconds. */
  readonly dueMs: number;
}

/** Samples with the last counts of a window arrive within this time after its end. */
const maxSampleDelayMs = 1_800;

/** Ratio of `dueMs` after which a window is reported without the counts of unreachable daemons. */
const maxWaitRatio = 0.85;

/** Windows before the current one that are reported; older ones are skipped. */
const maxWindowsBack = 4;

/**
 * Reports the usage counts of all daemons to the platform, one report for each of the last windows,
 * while this daemon holds the duty lease. The counts are stored before they are sent. If the
 * response is lost, this holder or the next one sends the report again with the same counts. What
 * happens to it when the store comes back from an older copy is up to {@link UsageRecords}.
 */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  #isTicking = false;
  /** Newest window for which the platform has acknowledged a report of this daemon. */
  #reportedWindow = -Infinity;
  readonly #records: UsageRecords;
  /** First window that was logged as the one that follows omitted ones. */
  #loggedFromWindow = -Infinity;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
    const { replica, counter, lease } = options;
    this.#records = new UsageRecords({
      replica,
      windowOf: (atMs) => counter.windowOf(atMs),
      wasHeldInto: (era) => lease.wasHeldInto(era),
    });
  }

  /** Sends the next report that is due, if any; overlapping calls return at once. */
  async tick(): Promise<void> {
    if (this.#isTicking || this.#options.lease.fence === undefined) return;
    this.#isTicking = true;
    try {
      await this.#report();
    } catch (error) {
      if (error instanceof DutyFencedError) this.#options.lease.markFenced();
      this.#options.events.warn(
        EventId.UsageUnanswered,
        'usage report failed or its outcome is unknown',
        {
          reason: error instanceof Error ? error.message : String(error),
        },
      );
    } finally {
      this.#isTicking = false;
    }
  }

  async #report(): Promise<void> {
    const { lost, stored, fromWindow, isBounded } = this.#records.plan();
    if (isBounded) this.#logOmitted(fromWindow);
    if (lost) {
      if (!(await this.#store(lost, fromWindow))) return;
      const { window } = lost;
      this.#options.events.warn(EventId.UsageRestored, 'lost usage report is stored again', {
        window,
      });
    }
    const known = lost ?? stored;
    if (known && known.window > this.#reportedWindow) {
      await this.#send(known);
      return;
    }
    const window = this.#nextWindow(fromWindow);
    if (window === undefined) return;
    const report: UsageReport = { window, counts: this.#countsOf(window) };
    if (await this.#store(report, fromWindow)) await this.#send(report);
  }

  /** @returns whether the report is known to be stored. */
  async #store(report: UsageReport, fromWindow: number): Promise<boolean> {
    const { lease, replica } = this.#options;
    const { era = 0 } = replica;
    const value = this.#records.valueOf(report, fromWindow);
    if (!(await lease.append(usageKey, value))) return false;
    this.#records.wasStored(value, era);
    return true;
  }

  #logOmitted(fromWindow: number): void {
    if (fromWindow <= this.#loggedFromWindow) return;
    this.#loggedFromWindow = fromWindow;
    const message = 'usage of earlier windows may have been reported before the store went back';
    this.#options.events.warn(EventId.UsageOmitted, message, {
      fromWindow,
      era: this.#options.replica.era,
    });
  }

  async #send(report: UsageReport): Promise<void> {
    const { duties, lease, daemon, events } = this.#options;
    const { fence } = lease;
    if (fence === undefined) return;
    await duties.reportUsage(report, { daemon, fence });
    this.#reportedWindow = Math.max(this.#reportedWindow, report.window);
    events.info(EventId.UsageReported, 'usage window reported', {
      window: report.window,
      requests: Object.values(report.counts).reduce((sum, count) => sum + count, 0),
      fence,
    });
  }

  /** Oldest window that is not stored yet and whose counts are complete or overdue. */
  #nextWindow(fromWindow: number): number | undefined {
    const { counter, clock, samples, dueMs } = this.#options;
    const nowMs = clock.nowMs();
    const current = counter.windowOf(nowMs);
    const first = Math.max(current - maxWindowsBack, fromWindow);
    if (first >= current) return undefined;
    const endedAtMs = counter.windowEndMs(first);
    if (nowMs < endedAtMs + maxSampleDelayMs) return undefined;
    const expected = [...samples.livePeers(), ...samples.unreachablePeers()];
    const isComplete = expected.every(({ sampledAtMs }) => sampledAtMs >= endedAtMs);
    return isComplete || nowMs >= endedAtMs + dueMs * maxWaitRatio ? first : undefined;
  }

  #countsOf(window: number): UsageCounts {
    const { counter, samples } = this.#options;
    const sources = [counter.windows(), ...samples.all().map(({ usage }) => usage)];
    return sources
      .flatMap((windows) => windows.filter(([index]) => index === window))
      .reduce<UsageCounts>((sum, [, counts]) => mergeCounts(sum, counts), {});
  }
}
