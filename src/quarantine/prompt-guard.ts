import type { Clock } from '../core/index.js';
import type { KeyedLog } from '../log/index.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import { CrashDetector, type BrokenRequest, type ListenCheck } from './crash-detector.js';
import { CauseFinder } from './cause-finder.js';
import { CrashEvidence } from './crash-evidence.js';
import type { CrashReport } from './crash-report.js';
import { PromptQuarantine } from './prompt-quarantine.js';
import { crashMessage, crashReport, QuarantineBroadcaster } from './quarantine-broadcaster.js';
import {
  EntrySource,
  exchangedParts,
  maxIdChars,
  quarantineKey,
  type QuarantineEntry,
} from './quarantine-entry.js';
import type { CrashMessage, QuarantineMessage } from './quarantine-message.js';
import { QuarantineRecords } from './quarantine-records.js';
import { QuarantineReview } from './quarantine-review.js';
import { QuarantineTrials } from './quarantine-trials.js';
import { WholeAnswers, type Answer } from './whole-answers.js';

/** Options of {@link PromptGuard}. */
export interface PromptGuardOptions {
  readonly check: ListenCheck;
  readonly log: KeyedLog;
  /** Topic of the quarantines' records, and this daemon's copy of it. */
  readonly topic: string;
  readonly replica: KeyedReplica;
  /** Sends a message to all other daemons; it may be lost. */
  readonly publish: (message: QuarantineMessage) => void;
  /**
   * Time since which messages of all other daemons arrive, in epoch milliseconds; infinite while
   * those of some do not.
   */
  readonly reportsCompleteSinceMs: () => number;
  /** Whether this daemon alone may act for all. */
  readonly isDutyHolder: () => boolean;
  /** Called when an endpoint has crashed. */
  readonly onEndpointCrash: (endpointId: string) => void;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** A daemon that does not know a quarantine is told of it again this often at most. */
const retellPeriodMs = 1_000;

/** A part on which an answer came whole this short a time ago was not held back for good reason. */
const contradictionMs = 1_000;

/** Own reports of this time go into the daemon's samples, in case both datagrams were lost. */
const sampledReportsMs = 12_000;
const maxSampledReports = 8;

/** Reports that took longer say nothing that is still needed. */
const maxReportAgeMs = 20_000;

/** What a quarantine was decided by, as far as it is logged. */
interface DecisionInputs {
  /** Time for which the reports of all daemons had arrived; 0 while those of some were missing. */
  readonly reportsCompleteMs?: number;
}

/**
 * Keeps prompts with a part under which endpoints crash, one after the other, from endpoints. All
 * daemons exchange which requests were in progress when an endpoint crashed and on which parts
 * answers came whole; each names the cause by the same evidence, and the store keeps it for
 * daemons that start. A quarantine ends when an answer comes whole after all, by a trial of the
 * daemon that holds the duties, or by an operator.
 *
 * @example
 * ```ts
 * if (guard.admit(partIds)) refuse();
 * else if (isBroken && (await guard.requestBroke(request))) countEnd();
 * ```
 */
export class PromptGuard {
  readonly #options: PromptGuardOptions;
  readonly #quarantine = new PromptQuarantine();
  readonly #evidence = new CrashEvidence();
  readonly #detector: CrashDetector;
  readonly #records: QuarantineRecords;
  readonly #answers = new WholeAnswers();
  readonly #review = new QuarantineReview();
  readonly #broadcaster: QuarantineBroadcaster;
  readonly #trials: QuarantineTrials;
  readonly #finder: CauseFinder;
  readonly #startedAtMs: number;
  #ownReports: readonly CrashReport[] = [];
  /** Entries that this daemon changed, and is to store. */
  readonly #ownKeys = new Set<string>();
  #retoldAtMs = -Infinity;

  constructor(options: PromptGuardOptions) {
    this.#options = options;
    const { clock, events, metrics, check } = options;
    this.#startedAtMs = clock.nowMs();
    this.#broadcaster = new QuarantineBroadcaster(options);
    this.#detector = new CrashDetector({
      check,
      clock,
      onCrash: (endpointId, reports) => {
        events.warn(EventId.EndpointCrashed, 'endpoint crashed while it had requests', {
          endpoint: endpointId,
          requestIds: reports.map(({ requestId }) => requestId),
        });
        metrics.count('gateway_endpoint_crashes', 1);
        options.onEndpointCrash(endpointId);
        for (const report of reports) this.#reportCrash(report);
      },
    });
    this.#finder = new CauseFinder({
      ...options,
      evidence: this.#evidence,
      hasOwnReport: (endpointIds) =>
        this.#ownReports.some(({ endpointId }) => endpointIds.includes(endpointId)),
      onCause: (cause) => {
        const entry = this.#quarantine.begin(cause, clock.nowMs());
        const sinceMs = Math.min(clock.nowMs(), options.reportsCompleteSinceMs());
        const inputs = { reportsCompleteMs: Math.round(clock.nowMs() - sinceMs) };
        if (entry) this.#change(entry, EntrySource.Evidence, inputs);
      },
    });
    this.#records = new QuarantineRecords({
      ...options,
      onEntry: (entry) => {
        this.#receiveEntry(entry, EntrySource.Store, clock.nowMs());
      },
    });
    this.#trials = new QuarantineTrials({
      ...options,
      quarantine: this.#quarantine,
      records: this.#records,
      review: this.#review,
      onTrial: (entry) => {
        this.#merge(entry, EntrySource.Trial);
      },
    });
  }

  /** Whether the stored quarantines were read, which a starting daemon waits for. */
  get isRead(): boolean {
    return this.#records.isRead;
  }

  /** Number of quarantines in force. */
  get activeEntries(): number {
    return this.#quarantine.active.length;
  }

  /** The quarantine that holds a request back now; undefined when none does. */
  find(partIds: readonly string[]): QuarantineEntry | undefined {
    const entry = this.peek(partIds);
    if (entry) this.#options.metrics.count('gateway_quarantine_refusals', 1);
    return entry;
  }

  /** Like {@link find}, for a request that is not refused; counts nothing. */
  peek(partIds: readonly string[]): QuarantineEntry | undefined {
    const matches = this.#quarantine.matches(partIds);
    // A crash under a request that several hold back would not tell which of them is right.
    const isTrial = matches.length === 1 && matches.every((entry) => this.#trials.isOpen(entry));
    if (isTrial) return undefined;
    return matches.find((match) => !this.#trials.isOpen(match)) ?? matches[0];
  }

  /** Like {@link find}, for a request that is sent to an endpoint now; a trial is used up by it. */
  admit(partIds: readonly string[]): QuarantineEntry | undefined {
    const heldBackBy = this.find(partIds);
    const entry = this.#quarantine.match(partIds);
    if (!heldBackBy && entry) this.#trials.close(entry);
    return heldBackBy;
  }

  /**
   * A connection broke before its answer was whole.
   *
   * @returns whether its endpoint has crashed and may have done so under this request.
   */
  requestBroke(request: BrokenRequest): Promise<boolean> {
    return this.#detector.diagnose(exchanged(request));
  }

  /**
   * An answer ended in a way that a crashing process can cause too. It counts as whole once its
   * endpoint proves to have gone on: by a later response, or, if a part of the prompt is under
   * suspicion, by accepting a connection.
   */
  answerMayBeCut(cut: BrokenRequest): void {
    const request = exchanged(cut);
    this.#detector.note(request);
    const { endpointId, partIds, sentAtMs } = request;
    const unproven = { partIds, sentAtMs, answeredAtMs: this.#options.clock.nowMs() };
    const isSuspected = this.#evidence.isSuspected(partIds) || this.#isHeldBack(partIds);
    if (isSuspected) void this.#proveAnswer(request, unproven);
    else if (partIds.length > 0) this.#answers.addUnproven(endpointId, unproven);
  }

  /** An endpoint responded, so that it has outlived its earlier answers. */
  endpointResponded(endpointId: string): void {
    this.#detector.responded(endpointId);
    for (const answer of this.#answers.takeUnproven(endpointId)) this.#answered(answer);
  }

  /** An endpoint refused a connection. */
  endpointRefused(endpointId: string): void {
    this.#answers.takeUnproven(endpointId);
    this.#detector.refused(endpointId);
  }

  /** The registration of an endpoint ended, or a later start replaced it. */
  endpointRetired(endpointId: string): void {
    this.#answers.takeUnproven(endpointId);
    this.#detector.confirm(endpointId);
  }

  /** The answer to a request came whole. */
  answered({ partIds, sentAtMs }: Pick<BrokenRequest, 'partIds' | 'sentAtMs'>): void {
    const answeredAtMs = this.#options.clock.nowMs();
    this.#answered({ partIds: exchangedParts(partIds), sentAtMs, answeredAtMs });
  }

  /** Applies a message of another daemon. */
  receive({ crash, answer, entry }: QuarantineMessage): void {
    const nowMs = this.#options.clock.nowMs();
    if (crash) this.#receiveCrash(crashReport(crash, nowMs));
    // What another daemon's answer changes is told by that daemon.
    if (answer) this.#evidence.recordAnswer(answer.partIds, nowMs - answer.ageMs);
    if (entry) this.#receiveEntry(entry, EntrySource.Peer, nowMs);
  }

  /** This daemon's latest reports, for daemons that received no datagram. */
  recentReports(): CrashMessage[] {
    const nowMs = this.#options.clock.nowMs();
    return this.#ownReports
      .filter(({ crashedAtMs }) => crashedAtMs > nowMs - sampledReportsMs)
      .filter(({ endpointId }) => !this.#evidence.isExplained(endpointId))
      .map((report) => crashMessage(report, nowMs));
  }

  /**
   * Applies the reports of another daemon's sample.
   *
   * @param sampledAtMs - time of the sample on that daemon's clock, in epoch milliseconds. It may have
   *   been in the store for long.
   */
  receiveReports(reports: readonly CrashMessage[], sampledAtMs: number): void {
    const nowMs = this.#options.clock.nowMs();
    for (const message of reports) {
      const report = crashReport(message, Math.min(nowMs, sampledAtMs));
      if (report.crashedAtMs > nowMs - maxReportAgeMs) this.#receiveCrash(report);
    }
  }

  /** Stores what the store does not hold yet, and starts trials that are due. */
  async tick(): Promise<void> {
    const isHolder = this.#options.isDutyHolder();
    if (!isHolder) this.#trials.closeAll();
    this.#review.retain(this.#quarantine.active);
    const keys = new Set(this.#quarantine.entries.map(({ partIds }) => quarantineKey(partIds)));
    for (const key of this.#ownKeys) if (!keys.has(key)) this.#ownKeys.delete(key);
    const entries = this.#quarantine.entries.filter(
      ({ partIds }) => isHolder || this.#ownKeys.has(quarantineKey(partIds)),
    );
    await this.#records.storeMissing(entries);
    if (!isHolder) return;
    await this.#records.removeOthers(this.#quarantine.entries);
    await this.#trials.startDue();
  }

  stop(): void {
    this.#broadcaster.stop();
    this.#finder.stop();
  }

  async #proveAnswer(request: BrokenRequest, answer: Answer): Promise<void> {
    if (await this.#detector.hasCrashed(request)) return;
    this.#answered(answer);
  }

  #answered(answer: Answer): void {
    const { partIds, sentAtMs, answeredAtMs } = answer;
    if (partIds.length === 0) return;
    this.#answers.record(answer);
    const suspected = this.#evidence.recordAnswer(partIds, answeredAtMs);
    const isHeldBack = this.#narrow(partIds, sentAtMs);
    if (suspected.length > 0 || isHeldBack) this.#tellAnswers(partIds);
  }

  #reportCrash(report: CrashReport): void {
    this.#ownReports = [...this.#ownReports, report].slice(-maxSampledReports);
    this.#broadcaster.sendCrash(report);
    this.#addEvidence(report);
    this.#finder.reported();
  }

  #receiveCrash(report: CrashReport): void {
    this.#retellQuarantine(report);
    this.#tellAnswers(this.#answers.answeredSince(report.partIds, report.crashedAtMs));
    this.#addEvidence(report);
    this.#finder.reported();
  }

  /**
   * The daemon that named the parts may not have heard of an answer that came whole here, to a request
   * that was sent since the first of the crashes, or lately when none of them is known here.
   */
  #receiveEntry(entry: QuarantineEntry, source: EntrySource, nowMs: number): void {
    if (!this.#merge(entry, source) || entry.isReleased) return;
    const firstCrashAtMs = this.#review.firstCrashAtMs(entry);
    for (const partId of entry.partIds) {
      const answer = this.#answers.latest(partId);
      if (!answer) continue;
      const isRecent = answer.answeredAtMs > nowMs - contradictionMs;
      if (isRecent || answer.sentAtMs > firstCrashAtMs) this.#narrow([partId], answer.sentAtMs);
    }
  }

  /** A daemon that sent a request after this one's quarantine began does not know of it. */
  #retellQuarantine({ partIds, sentAtMs }: CrashReport): void {
    const entry = this.#quarantine.match(partIds);
    if (!entry) return;
    const key = quarantineKey(entry.partIds);
    const nowMs = this.#options.clock.nowMs();
    if (!this.#ownKeys.has(key) || nowMs < this.#retoldAtMs + retellPeriodMs) return;
    if (sentAtMs <= (this.#review.inForceAtMs(key) ?? Infinity)) return;
    this.#retoldAtMs = nowMs;
    this.#broadcaster.sendEntry(entry);
  }

  #addEvidence(report: CrashReport): void {
    // Of the time before its start, a daemon knows no answers that would clear the innocent.
    if (report.crashedAtMs < this.#startedAtMs) return;
    this.#review.recordCrash(report);
    if (this.#quarantine.match(report.partIds)) this.#evidence.explain(report.endpointId);
    else this.#evidence.add(report);
  }

  #isHeldBack(partIds: readonly string[]): boolean {
    return this.#quarantine.active.some((entry) => {
      return entry.partIds.some((partId) => partIds.includes(partId));
    });
  }

  /**
   * Takes parts off the quarantines that they are innocent of, by an answer to a request that was sent
   * after endpoints had begun to crash: older ones may have begun before the part became poison.
   *
   * @returns whether there are any.
   */
  #narrow(partIds: readonly string[], sentAtMs: number): boolean {
    const wrong = this.#quarantine.active
      .filter((entry) => entry.partIds.some((partId) => partIds.includes(partId)))
      .filter(({ firstCrashAtMs }) => sentAtMs > firstCrashAtMs);
    for (const entry of wrong) {
      this.#change(this.#quarantine.release(entry), EntrySource.Answer);
      const rest = entry.partIds.filter((partId) => !partIds.includes(partId));
      if (rest.length === 0) continue;
      const cause = { ...entry, partIds: rest };
      const narrower = this.#quarantine.begin(cause, this.#options.clock.nowMs());
      if (narrower) this.#change(narrower, EntrySource.Answer);
    }
    return wrong.length > 0;
  }

  #tellAnswers(partIds: readonly string[]): void {
    const nowMs = this.#options.clock.nowMs();
    const untold = this.#answers.takeUntold(partIds, nowMs);
    if (untold.length === 0) return;
    const times = untold.map((partId) => this.#answers.latest(partId)?.answeredAtMs ?? nowMs);
    const answeredAtMs = Math.min(...times);
    this.#broadcaster.sendAnswer(untold, answeredAtMs);
  }

  /**
   * Puts an entry of this daemon in force here and elsewhere.
   *
   * @param inputs - what it was decided by, for the log.
   */
  #change(entry: QuarantineEntry, source: EntrySource, inputs: DecisionInputs = {}): void {
    if (!this.#merge(entry, source, inputs)) return;
    this.#ownKeys.add(quarantineKey(entry.partIds));
    this.#broadcaster.sendEntry(entry);
    void this.#records.storeMissing([entry]);
  }

  /** Crashes of which an entry is the cause; this daemon may lack the reports that show it. */
  #explainedBy(entry: QuarantineEntry): readonly string[] {
    const known = this.#review.crashedUnder(entry);
    return entry.isByAllReports ? [...known, ...(entry.endpointIds ?? [])] : known;
  }

  #merge(entry: QuarantineEntry, source: EntrySource, inputs: DecisionInputs = {}): boolean {
    if (!this.#quarantine.merge(entry)) return false;
    const { partIds, version, crashes, isReleased, trials } = entry;
    if (!isReleased) {
      this.#review.began(entry, this.#options.clock.nowMs());
      for (const id of this.#explainedBy(entry)) this.#evidence.explain(id);
    }
    const event = isReleased ? EventId.QuarantineLifted : EventId.PromptQuarantined;
    const message = isReleased
      ? 'prompts with these parts go to endpoints again'
      : 'prompts with these parts are kept from endpoints that crash under them';
    this.#options.events.warn(event, message, {
      partIds,
      version,
      crashes,
      trials,
      source,
      ...inputs,
    });
    return true;
  }
}

/** A request as it is told to other daemons, whatever its caller sent. */
function exchanged(request: BrokenRequest): BrokenRequest {
  const partIds = exchangedParts(request.partIds);
  return { ...request, partIds, requestId: request.requestId.slice(0, maxIdChars) };
}
