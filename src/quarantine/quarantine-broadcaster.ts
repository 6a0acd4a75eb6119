import type { Clock } from '../core/index.js';
import type { CrashReport } from './crash-report.js';
import type { QuarantineEntry } from './quarantine-entry.js';
import type { CrashMessage, QuarantineMessage } from './quarantine-message.js';

/** Messages are sent twice, as datagrams may be lost. */
const repeatDelayMs = 300;

/** Options of {@link QuarantineBroadcaster}. */
export interface QuarantineBroadcasterOptions {
  /** Sends a message to all other daemons; it may be lost. */
  readonly publish: (message: QuarantineMessage) => void;
  readonly clock: Clock;
}

/** Tells the other daemons of crashed endpoints, of whole answers and of quarantines. */
export class QuarantineBroadcaster {
  readonly #options: QuarantineBroadcasterOptions;
  #isStopped = false;

  constructor(options: QuarantineBroadcasterOptions) {
    this.#options = options;
  }

  sendCrash(report: CrashReport): void {
    this.#publishTwice((nowMs) => ({ crash: crashMessage(report, nowMs) }));
  }

  /** @param answeredAtMs - time since which an answer with each part came whole (epoch milliseconds). */
  sendAnswer(partIds: string[], answeredAtMs: number): void {
    this.#publishTwice((nowMs) => ({ answer: { partIds, ageMs: nowMs - answeredAtMs } }));
  }

  sendEntry(entry: QuarantineEntry): void {
    this.#publishTwice(() => ({ entry }));
  }

  /** Sends no repeats any more. */
  stop(): void {
    this.#isStopped = true;
  }

  #publishTwice(message: (nowMs: number) => QuarantineMessage): void {
    const { publish, clock } = this.#options;
    publish(message(clock.nowMs()));
    clock.schedule(clock.nowMs() + repeatDelayMs, () => {
      if (!this.#isStopped) publish(message(clock.nowMs()));
    });
  }
}

/** A report as it crosses processes. */
export function crashMessage(report: CrashReport, nowMs: number): CrashMessage {
  const { endpointId, requestId, partIds, sentAtMs, crashedAtMs } = report;
  const ageOf = (atMs: number): number => Math.max(0, nowMs - atMs);
  const ages = { sentAgeMs: ageOf(sentAtMs), ageMs: ageOf(crashedAtMs) };
  return { endpointId, requestId, partIds: [...partIds], ...ages };
}

/** The report of a message that was sent at `sentAtMs`, in epoch milliseconds. */
export function crashReport(message: CrashMessage, sentAtMs: number): CrashReport {
  const { endpointId, requestId, partIds, sentAgeMs, ageMs } = message;
  return {
    endpointId,
    requestId,
    partIds,
    sentAtMs: sentAtMs - sentAgeMs,
    crashedAtMs: sentAtMs - ageMs,
  };
}
