import { z } from 'zod';
import type { Clock } from '../core/index.js';
import { decodeKeyedJson } from '../log/keyed-json.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import type { DaemonSamples } from '../membership/daemon-samples.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { DutyFencedError, type DutyClient, type UsageReport } from './duty-client.js';
import type { DutyLease } from './duty-lease.js';
import { mergeCounts, type UsageCounter, type UsageCounts } from './usage-counter.js';

const intentSchema = z.object({
  window: z.int(),
  counts: z.record(z.string(), z.number()),
});

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

const intentKey = 'usage';

/** Samples with the last counts of a window arrive within this time after its end. */
const maxSampleDelayMs = 1_800;

/** Ratio of `dueMs` after which a window is reported without the counts of unreachable daemons. */
const maxWaitRatio = 0.85;

/** Windows before the current one that are reported; older ones are skipped. */
const maxWindowsBack = 4;

/**
 * Reports the usage counts of all daemons to the platform, one report for each of the last windows,
 * while this daemon holds the duty lease. The counts are stored before they are sent. If the
 * response is lost, this holder or the next one sends the report again with the same counts.
 */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  #isTicking = false;
  /** Newest window for which the platform has acknowledged a report of this daemon. */
  #reportedWindow = -Infinity;
  /** Report that this daemon stored last; the replica may not have read it yet. */
  #lastStored: UsageReport | undefined;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
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
    const { lease } = this.#options;
    const stored = this.#stored();
    if (stored && stored.window > this.#reportedWindow) {
      await this.#send(stored);
      return;
    }
    const window = this.#nextWindow(stored);
    if (window === undefined) return;
    const report: UsageReport = { window, counts: this.#countsOf(window) };
    if (!(await lease.append(intentKey, report))) return;
    this.#lastStored = report;
    await this.#send(report);
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
  #nextWindow(stored: UsageReport | undefined): number | undefined {
    const { counter, clock, samples, dueMs } = this.#options;
    const nowMs = clock.nowMs();
    const current = counter.windowOf(nowMs);
    const first = Math.max(current - maxWindowsBack, (stored?.window ?? -Infinity) + 1);
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

  #stored(): UsageReport | undefined {
    const read = decodeKeyedJson(this.#options.replica.get(intentKey)?.value, intentSchema);
    const own = this.#lastStored;
    return own && own.window >= (read?.window ?? -Infinity) ? own : read;
  }
}
