import { z } from 'zod';
import type { Clock } from '../core/index.js';
import {
  LogRefusedError,
  LogUnavailableError,
  type KeyedEntry,
  type KeyedLog,
  type KeyedRecord,
} from '../log/index.js';
import { decodeKeyedJson, encodeKeyedJson } from '../log/keyed-json.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import { crashMessageSchema, type CrashMessage } from '../quarantine/quarantine-message.js';
import {
  maxReportedRollouts,
  rolloutReportSchema,
  type RolloutReport,
} from '../rollout/rollout-report.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { countsSchema } from './counts-schema.js';
import { CounterTotals } from './counter-totals.js';

/** More processor cores than a VM has; larger capacities are none. */
const maxCores = 10_000;

/** Index of a usage window, and the requests started in it by workspace. */
const usageRowSchema = z.tuple([z.int().nonnegative(), countsSchema]);

/** Counts by usage window; a row that is none is left out. */
const usageSchema = z
  .array(z.unknown())
  .catch([])
  .transform((rows) =>
    rows.flatMap((row) => {
      const { data } = usageRowSchema.safeParse(row);
      return data ? [data] : [];
    }),
  );

const sampleSchema = z.object({
  daemon: z.string().min(1),
  /** Distinguishes the runs of a daemon; a later run has a higher number. */
  incarnation: z.number(),
  /** Increases with each sample of a run. */
  sequence: z.int().nonnegative(),
  /** Time of the sample on the daemon's clock, in epoch milliseconds. */
  sampledAtMs: z.number(),
  /** Units granted since the daemon started, by workspace. */
  granted: countsSchema.catch({}),
  /** Units requested from the daemon since it started, by workspace. */
  asked: countsSchema.catch({}),
  /** Requests in flight by service. */
  inFlight: countsSchema.catch({}),
  /** Prompt tokens sent for prefill per second, by service. */
  prefillTokensPerS: countsSchema.catch({}),
  /** Address at which the daemon receives datagrams and calls of its peers, as host:port. */
  newsAddress: z.string(),
  /** Empty for daemons that do not distribute. */
  region: z.string().default(''),
  failureDomain: z.string().default(''),
  /** Processor capacity of the daemon's VM, in cores. */
  capacityCores: z.number().nonnegative().max(maxCores).catch(0),
  /** Requests started, by usage window and workspace. */
  usage: usageSchema,
  /** Its latest reports of endpoints that crashed. */
  crashes: z.array(crashMessageSchema).catch([]),
  /** What it has seen of the rollouts that run; left out while none does. */
  rollouts: z.array(rolloutReportSchema).max(maxReportedRollouts).optional().catch(undefined),
  /** Whether the daemon is stopping. */
  isLeaving: z.boolean(),
  /** Fence of the lease on the duties that the daemon holds; 0 when it holds none. */
  dutyFence: z.int().nonnegative().default(0),
});

/** State that a daemon publishes to the others every one to three seconds. */
export type DaemonSample = z.output<typeof sampleSchema>;

/** Units granted by and requested from one run of a daemon since it started. */
export type GrantReport = Pick<DaemonSample, 'daemon' | 'incarnation' | 'granted' | 'asked'>;

/** Part of a sample that the user of {@link DaemonSamples} provides. */
export type SampleContent = Pick<
  DaemonSample,
  | 'granted'
  | 'asked'
  | 'inFlight'
  | 'prefillTokensPerS'
  | 'newsAddress'
  | 'region'
  | 'failureDomain'
  | 'capacityCores'
  | 'usage'
  | 'crashes'
  | 'rollouts'
>;

/** Options of {@link DaemonSamples}. */
export interface DaemonSamplesOptions {
  readonly log: KeyedLog;
  readonly topic: string;
  readonly replica: KeyedReplica;
  readonly daemon: string;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly content: () => SampleContent;
  /** Time between two samples of this daemon. */
  readonly periodMs: () => number;
  /** Called with the last sample of an earlier run of this daemon, before it is replaced. */
  readonly onEarlierRun?: (sample: DaemonSample) => void;
  /** Called with the crash reports of another daemon's new sample, and the time of that sample. */
  readonly onCrashes?: (reports: readonly CrashMessage[], sampledAtMs: number) => void;
  /** Called with the reports on rollouts of another daemon's new sample. */
  readonly onRollouts?: (daemon: string, reports: readonly RolloutReport[]) => void;
}

interface ReceivedSample {
  readonly sample: DaemonSample;
  readonly receivedAtMs: number;
  /** Arrival of the newest sample of this run that was sent while it held the duties. */
  readonly heartbeatAtMs: number;
}

/** A daemon without a sample for this long counts as stopped rather than unreachable. */
const unreachableTimeoutMs = 30_000;

/** Reads that fail for longer than this beyond the sample period count as an outage. */
const readOutageMs = 2_000;

/** A daemon counts as live while it has missed fewer consecutive samples than this. */
const maxMissedSamples = 3.5;

/** Longest time for a sample to reach the other daemons: two batches or reads on its way. */
const maxStoreTransitMs = 3_000;

/** How often a starting daemon checks whether it has read the samples. */
const firstReadCheckIntervalMs = 50;

/** Time for which the list of live daemons is reused before it is computed again. */
const liveCacheTtlMs = 50;

/**
 * Exchanges samples of all daemons through the store: which daemons are live, what each granted of
 * the quotas and which work each started. While the store cannot be read, the last samples received
 * stay valid.
 *
 * @example
 * ```ts
 * samples.start();
 * samples.livePeers().map(({ daemon }) => daemon);
 * ```
 */
export class DaemonSamples {
  readonly #options: DaemonSamplesOptions;
  readonly #received = new Map<string, ReceivedSample>();
  readonly #grants = new CounterTotals();
  readonly #asked = new CounterTotals();
  #sequence = 0;
  #heartbeatAtMs = -Infinity;
  #dutyFence = 0;
  #isLeaving = false;
  #isPublishing = false;
  #isPublishingAtOnce = false;
  #cancel: (() => void) | undefined;
  #liveCache: { readonly samples: DaemonSample[]; readonly untilMs: number } | undefined;
  readonly #directReportAtMs = new Map<string, number>();

  constructor(options: DaemonSamplesOptions) {
    this.#options = options;
    options.replica.onRecord((record) => {
      this.#applyRecord(record);
    });
  }

  /** Send time of the last heartbeat that the store acknowledged, in epoch milliseconds. */
  get heartbeatAtMs(): number {
    return this.#heartbeatAtMs;
  }

  /** Epoch milliseconds as of which the samples of the other daemons are known. */
  get knownAsOfMs(): number {
    return this.#options.replica.caughtUpAtMs ?? -Infinity;
  }

  /**
   * Publishes a first sample as soon as those of the other daemons have been read, so that daemons
   * that start together soon know of each other, and further ones periodically.
   */
  start(): void {
    const { clock, replica } = this.#options;
    const hasRead = replica.endOffset !== undefined;
    if (hasRead) void this.publishAtOnce();
    const next = hasRead ? (): void => this.#publishPeriodically() : (): void => this.start();
    this.#cancel = clock.schedule(clock.nowMs() + firstReadCheckIntervalMs, next);
  }

  #publishPeriodically(): void {
    const { clock, periodMs } = this.#options;
    this.#cancel = clock.schedule(clock.nowMs() + periodMs(), () => {
      this.#publishPeriodically();
      void this.publish();
    });
  }

  /** Stops the periodic samples and publishes a last one that marks this daemon as leaving. */
  async leave(): Promise<void> {
    this.#cancel?.();
    this.#isLeaving = true;
    await this.publishAtOnce();
  }

  /** Samples of the live daemons, without this one. */
  livePeers(): DaemonSample[] {
    const nowMs = this.#options.clock.nowMs();
    if (this.#liveCache === undefined || this.#liveCache.untilMs <= nowMs) {
      this.#liveCache = { samples: this.#liveSamples(nowMs), untilMs: nowMs + liveCacheTtlMs };
    }
    return this.#liveCache.samples;
  }

  /**
   * Last samples of the daemons that stopped publishing without leaving; they may only be
   * partitioned from the store.
   */
  unreachablePeers(): DaemonSample[] {
    const live = new Set(this.livePeers().map(({ daemon }) => daemon));
    const sinceMs = this.#options.clock.nowMs() - unreachableTimeoutMs;
    return [...this.#received.values()]
      .filter(({ receivedAtMs }) => receivedAtMs > sinceMs)
      .map(({ sample }) => sample)
      .filter(({ daemon }) => daemon !== this.#options.daemon && !live.has(daemon))
      .filter(({ isLeaving }) => !isLeaving);
  }

  /** Whether the samples of the other daemons are up to date. */
  get isCurrent(): boolean {
    const { replica, clock, periodMs } = this.#options;
    return (replica.caughtUpAtMs ?? -Infinity) + periodMs() + readOutageMs > clock.nowMs();
  }

  /** Applies a report that a daemon broadcast directly, between two of its samples. */
  applyDirectReport(report: GrantReport): void {
    const { daemon, clock } = this.#options;
    if (report.daemon === daemon) return;
    this.#mergeCounts(report);
    this.#directReportAtMs.set(report.daemon, clock.nowMs());
  }

  /** Whether a daemon has reported directly since `sinceMs`, in epoch milliseconds. */
  hasDirectReportSince(daemon: string, sinceMs: number): boolean {
    return (this.#directReportAtMs.get(daemon) ?? -Infinity) >= sinceMs;
  }

  /** Units of a workspace granted by the other daemons since this one started; never decreases. */
  grantedByPeers(workspaceName: string): number {
    return this.#grants.total(workspaceName);
  }

  /** Units of a workspace requested from the other daemons since this one started. */
  askedOfPeers(workspaceName: string): number {
    return this.#asked.total(workspaceName);
  }

  /** Newest sample of each other daemon, whether it is live or not. */
  all(): DaemonSample[] {
    return [...this.#received.values()]
      .map(({ sample }) => sample)
      .filter((sample) => sample.daemon !== this.#options.daemon);
  }

  /**
   * Arrival time of the newest heartbeat of one run of a daemon, in epoch milliseconds; undefined
   * when there is none or a later run has replaced it.
   */
  heartbeatReceivedAtMs(daemon: string, incarnation: number): number | undefined {
    const received = this.#received.get(daemon);
    return received?.sample.incarnation === incarnation ? received.heartbeatAtMs : undefined;
  }

  /** Arrival time of the newest heartbeat of any other daemon, in epoch milliseconds. */
  get newestHeartbeatAtMs(): number {
    const others = [...this.#received.values()].filter(
      ({ sample }) => sample.daemon !== this.#options.daemon,
    );
    return Math.max(-Infinity, ...others.map(({ heartbeatAtMs }) => heartbeatAtMs));
  }

  /**
   * Sets the fence of the lease on the duties that this daemon holds; 0 when it holds none. While it
   * holds one, its samples are heartbeats and go straight to the store: a heartbeat that another
   * daemon stores would prove nothing about the holder's own way to the store.
   */
  setDutyFence(fence: number): void {
    this.#dutyFence = fence;
  }

  /** Publishes a sample. A failure is logged; the next periodic sample replaces it. */
  async publish(): Promise<void> {
    if (this.#dutyFence > 0) {
      await this.publishAtOnce();
      return;
    }
    if (this.#isPublishing) return;
    this.#isPublishing = true;
    const { log, topic } = this.#options;
    try {
      await this.#store((entry) => log.publish(topic, entry));
    } finally {
      this.#isPublishing = false;
    }
  }

  /** Publishes a sample straight to the store, also while another one is on its way there. */
  async publishAtOnce(): Promise<void> {
    if (this.#isPublishingAtOnce) return;
    this.#isPublishingAtOnce = true;
    const { log, topic, clock } = this.#options;
    const sentAtMs = clock.nowMs();
    const isHeartbeat = this.#dutyFence > 0;
    try {
      const isStored = await this.#store((entry) => log.appendAll(topic, [entry]));
      if (isStored && isHeartbeat) this.#heartbeatAtMs = Math.max(this.#heartbeatAtMs, sentAtMs);
    } finally {
      this.#isPublishingAtOnce = false;
    }
  }

  /** @returns whether the sample is known to be stored. */
  async #store(append: (entry: KeyedEntry) => Promise<unknown>): Promise<boolean> {
    const { topic, replica, daemon, incarnation, clock, content, events } = this.#options;
    // Before the first read, this would overwrite the sample of an earlier run unread.
    if (replica.endOffset === undefined) return false;
    const sentAtMs = clock.nowMs();
    const sample: DaemonSample = {
      daemon,
      incarnation,
      sequence: this.#sequence++,
      sampledAtMs: sentAtMs,
      ...content(),
      isLeaving: this.#isLeaving,
      dutyFence: this.#dutyFence,
    };
    try {
      await append({ key: daemon, value: encodeKeyedJson(sample) });
      return true;
    } catch (error) {
      if (!(error instanceof LogUnavailableError || error instanceof LogRefusedError)) throw error;
      events.debug(EventId.AppendRetried, 'daemon sample not stored; the next one replaces it', {
        stream: topic,
        reason: error.message,
      });
      return false;
    }
  }

  #mergeCounts({ daemon, incarnation, granted, asked }: GrantReport): void {
    this.#grants.merge({ daemon, incarnation, counts: granted });
    this.#asked.merge({ daemon, incarnation, counts: asked });
  }

  #liveSamples(nowMs: number): DaemonSample[] {
    const { replica, daemon, periodMs } = this.#options;
    const asOfMs = replica.isFailing ? (replica.caughtUpAtMs ?? -Infinity) : nowMs;
    const livenessTimeoutMs = periodMs() * maxMissedSamples + maxStoreTransitMs;
    return [...this.#received.values()]
      .filter(({ receivedAtMs }) => receivedAtMs + livenessTimeoutMs > asOfMs)
      .map(({ sample }) => sample)
      .filter((sample) => sample.daemon !== daemon && !sample.isLeaving);
  }

  #applyRecord({ key, value }: KeyedRecord): void {
    this.#liveCache = undefined;
    if (!value) {
      this.#received.delete(key);
      return;
    }
    const { clock, events } = this.#options;
    const sample = decodeKeyedJson(value, sampleSchema);
    if (!sample) {
      events.warn(EventId.SampleUnreadable, 'unreadable daemon sample ignored', { daemon: key });
      return;
    }
    const known = this.#received.get(key)?.sample;
    // A delayed append may arrive after newer ones.
    const isOlder =
      known &&
      (sample.incarnation < known.incarnation ||
        (sample.incarnation === known.incarnation && sample.sequence <= known.sequence));
    if (isOlder) return;
    const { daemon, incarnation, onEarlierRun } = this.#options;
    const isEarlierRun = sample.daemon === daemon && sample.incarnation !== incarnation;
    if (isEarlierRun && !known) onEarlierRun?.(sample);
    const receivedAtMs = clock.nowMs();
    const isSameRun = known?.incarnation === sample.incarnation;
    const earlierHeartbeatAtMs = isSameRun ? this.#received.get(key)?.heartbeatAtMs : undefined;
    const heartbeatAtMs = sample.dutyFence > 0 ? receivedAtMs : (earlierHeartbeatAtMs ?? -Infinity);
    this.#received.set(key, { sample, receivedAtMs, heartbeatAtMs });
    if (sample.daemon === daemon) return;
    this.#mergeCounts(sample);
    if (sample.crashes.length > 0) this.#options.onCrashes?.(sample.crashes, sample.sampledAtMs);
    if (sample.rollouts) this.#options.onRollouts?.(sample.daemon, sample.rollouts);
  }
}
