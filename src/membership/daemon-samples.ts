import { z } from 'zod';
import type { Clock } from '../core/index.js';
import {
  LogRefusedError,
  LogUnavailableError,
  type KeyedLog,
  type KeyedRecord,
} from '../log/index.js';
import { decodeKeyedJson, encodeKeyedJson } from '../log/keyed-json.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import { CounterTotals } from './counter-totals.js';

const countsSchema = z.record(z.string(), z.number().nonnegative());

const sampleSchema = z.object({
  daemon: z.string().min(1),
  /** Tells runs of a daemon apart; the later run has the higher number. */
  incarnation: z.number(),
  /** Grows with each sample of a run. */
  sequence: z.int().nonnegative(),
  /** Time of the sample by the daemon's clock, in epoch milliseconds. */
  sampledAtMs: z.number(),
  /** Units that the daemon granted since its start by workspace. */
  granted: countsSchema,
  /** Units that the daemon was asked for since its start by workspace. */
  asked: countsSchema.default({}),
  /** Requests in flight by service. */
  inFlight: countsSchema,
  /** Prompt tokens sent to be read, per second, by service. */
  prefillTokensPerS: countsSchema,
  /** Where the daemon takes news of its peers, as host:port. */
  newsAddress: z.string(),
  /** Requests begun by usage window and workspace. */
  usage: z.array(z.tuple([z.int(), countsSchema])),
  /** Whether the daemon is stopping. */
  isLeaving: z.boolean(),
});

/** What a daemon tells the others about once a second. */
export type DaemonSample = z.output<typeof sampleSchema>;

/** What one run of a daemon granted and was asked for since its start. */
export type GrantReport = Pick<DaemonSample, 'daemon' | 'incarnation' | 'granted' | 'asked'>;

/** The part of a sample that {@link DaemonSamples} does not fill in. */
export type SampleContent = Pick<
  DaemonSample,
  'granted' | 'asked' | 'inFlight' | 'prefillTokensPerS' | 'newsAddress' | 'usage'
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
  /** Told of the last sample that an earlier run of this daemon stored, before it is replaced. */
  readonly onEarlierRun?: (sample: DaemonSample) => void;
}

interface ReceivedSample {
  readonly sample: DaemonSample;
  readonly receivedAtMs: number;
}

/** A daemon that was silent for this long is gone. */
const unreachableTimeoutMs = 30_000;

/** Reads of samples that fail for longer than this beyond the samples' period are an outage. */
const readOutageMs = 2_000;

/** A daemon counts as live while fewer samples in a row than this are missing. */
const maxMissedSamples = 3.5;

/** Time that a sample takes to the store and from it. */
const storeTransitMs = 1_000;

/** How long the list of live daemons is used before it is looked through again. */
const liveCacheTtlMs = 50;

/**
 * Samples of all daemons, exchanged through the store: who lives, what each granted of the
 * quotas and the work that each began. While the store cannot be read, the last known samples stand.
 *
 * @example
 * ```ts
 * samples.start();
 * samples.others().map(({ daemon }) => daemon);
 * ```
 */
export class DaemonSamples {
  readonly #options: DaemonSamplesOptions;
  readonly #received = new Map<string, ReceivedSample>();
  readonly #grants = new CounterTotals();
  readonly #asked = new CounterTotals();
  #sequence = 0;
  #publishedAtMs = -Infinity;
  #isLeaving = false;
  #isPublishing = false;
  #cancel: (() => void) | undefined;
  #liveCache: { readonly samples: DaemonSample[]; readonly untilMs: number } | undefined;
  readonly #directReportAtMs = new Map<string, number>();

  constructor(options: DaemonSamplesOptions) {
    this.#options = options;
    options.replica.onRecord((record) => {
      this.#applyRecord(record);
    });
  }

  /** Send time of the last sample that the store acknowledged, in epoch milliseconds. */
  get publishedAtMs(): number {
    return this.#publishedAtMs;
  }

  start(): void {
    const { clock, periodMs } = this.#options;
    this.#cancel = clock.schedule(clock.nowMs() + periodMs(), () => {
      this.start();
      void this.publish();
    });
  }

  /** Publishes a last sample that says that this daemon is leaving. */
  async leave(): Promise<void> {
    this.#cancel?.();
    this.#isLeaving = true;
    await this.publish();
  }

  /** Samples of the live daemons, this one left out. */
  livePeers(): DaemonSample[] {
    const nowMs = this.#options.clock.nowMs();
    if (this.#liveCache === undefined || this.#liveCache.untilMs <= nowMs) {
      this.#liveCache = { samples: this.#liveSamples(nowMs), untilMs: nowMs + liveCacheTtlMs };
    }
    return this.#liveCache.samples;
  }

  /** Daemons that went without a word and may only be cut off from the store. */
  unreachablePeers(): DaemonSample[] {
    const live = new Set(this.livePeers().map(({ daemon }) => daemon));
    const sinceMs = this.#options.clock.nowMs() - unreachableTimeoutMs;
    return [...this.#received.values()]
      .filter(({ receivedAtMs }) => receivedAtMs > sinceMs)
      .map(({ sample }) => sample)
      .filter(({ daemon }) => daemon !== this.#options.daemon && !live.has(daemon))
      .filter(({ isLeaving }) => !isLeaving);
  }

  /** Whether the other daemons' samples are heard as they should be. */
  get isCurrent(): boolean {
    const { replica, clock, periodMs } = this.#options;
    return (replica.caughtUpAtMs ?? -Infinity) + periodMs() + readOutageMs > clock.nowMs();
  }

  /** Takes a report that a daemon sent directly, between two of its samples. */
  applyDirectReport(report: GrantReport): void {
    const { daemon, clock } = this.#options;
    if (report.daemon === daemon) return;
    this.#mergeCounts(report);
    this.#directReportAtMs.set(report.daemon, clock.nowMs());
  }

  /** Whether a daemon reported directly since a time in epoch milliseconds. */
  hasDirectReportSince(daemon: string, sinceMs: number): boolean {
    return (this.#directReportAtMs.get(daemon) ?? -Infinity) >= sinceMs;
  }

  /** Units of a workspace that the other daemons granted since this one started; never falls. */
  grantedByPeers(workspaceName: string): number {
    return this.#grants.total(workspaceName);
  }

  /** Units of a workspace that the other daemons were asked for since this one started. */
  askedOfPeers(workspaceName: string): number {
    return this.#asked.total(workspaceName);
  }

  /** The newest sample of each other daemon that ever sent one. */
  all(): DaemonSample[] {
    return [...this.#received.values()]
      .map(({ sample }) => sample)
      .filter((sample) => sample.daemon !== this.#options.daemon);
  }

  /**
   * When the newest sample of one run of a daemon arrived here, in epoch milliseconds; undefined when
   * there is none, or a later run has followed.
   */
  receivedAtMs(daemon: string, incarnation: number): number | undefined {
    const received = this.#received.get(daemon);
    return received?.sample.incarnation === incarnation ? received.receivedAtMs : undefined;
  }

  /** Sends a sample now. A failure is logged; the next sample follows in its time. */
  async publish(): Promise<void> {
    const { log, topic, replica, daemon, incarnation, clock, content, events } = this.#options;
    // Before the first read, a sample would replace that of an earlier run unseen.
    if (this.#isPublishing || replica.endOffset === undefined) return;
    this.#isPublishing = true;
    const sentAtMs = clock.nowMs();
    const sample: DaemonSample = {
      daemon,
      incarnation,
      sequence: this.#sequence++,
      sampledAtMs: sentAtMs,
      ...content(),
      isLeaving: this.#isLeaving,
    };
    try {
      await log.append(topic, daemon, encodeKeyedJson(sample));
      this.#publishedAtMs = sentAtMs;
    } catch (error) {
      if (!(error instanceof LogUnavailableError || error instanceof LogRefusedError)) throw error;
      events.debug(EventId.AppendRetried, 'a sample was not stored; the next one replaces it', {
        stream: topic,
        reason: error.message,
      });
    } finally {
      this.#isPublishing = false;
    }
  }

  #mergeCounts({ daemon, incarnation, granted, asked }: GrantReport): void {
    this.#grants.merge({ daemon, incarnation, counts: granted });
    this.#asked.merge({ daemon, incarnation, counts: asked });
  }

  #liveSamples(nowMs: number): DaemonSample[] {
    const { replica, daemon, periodMs } = this.#options;
    const asOfMs = replica.isFailing ? (replica.caughtUpAtMs ?? -Infinity) : nowMs;
    const livenessTimeoutMs = periodMs() * maxMissedSamples + storeTransitMs;
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
      events.warn(EventId.SampleUnreadable, 'a daemon sent an unreadable sample', { daemon: key });
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
    this.#received.set(key, { sample, receivedAtMs: clock.nowMs() });
    if (sample.daemon !== daemon) this.#mergeCounts(sample);
  }
}
