import { connect } from 'node:net';
import { LRUCache } from 'lru-cache';
import type { Clock } from '../core/index.js';
import type { CrashReport } from './crash-report.js';

/** Asks whether the process behind an address still listens. */
export abstract class ListenCheck {
  /**
   * @returns false only when the connection was refused; an address that does not answer by
   *   `deadlineAtMs` (epoch milliseconds) may still be in use.
   */
  abstract isListening(baseUrl: string, deadlineAtMs: number): Promise<boolean>;
}

/** {@link ListenCheck} by a connection that is closed at once. */
export class TcpListenCheck extends ListenCheck {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override isListening(baseUrl: string, deadlineAtMs: number): Promise<boolean> {
    const { hostname, port } = new URL(baseUrl);
    return new Promise((resolve) => {
      const socket = connect({ host: hostname, port: Number(port || 80) });
      const end = (isListening: boolean): void => {
        cancel();
        socket.destroy();
        resolve(isListening);
      };
      const cancel = this.#clock.schedule(deadlineAtMs, () => {
        end(true);
      });
      socket.once('connect', () => {
        end(true);
      });
      socket.on('error', (error: NodeJS.ErrnoException) => {
        end(error.code !== 'ECONNREFUSED');
      });
    });
  }
}

/** A request whose connection to an endpoint crashed before its answer was whole. */
export interface BrokenRequest {
  readonly endpointId: string;
  readonly baseUrl: string;
  readonly requestId: string;
  readonly partIds: readonly string[];
  /** Epoch milliseconds. */
  readonly sentAtMs: number;
  /** First and last event of its answer, in epoch milliseconds; undefined when there was none. */
  readonly firstEventAtMs: number | undefined;
  readonly lastEventAtMs: number | undefined;
}

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly check: ListenCheck;
  readonly clock: Clock;
  /** Called when an endpoint has crashed, with the requests that may be the cause. */
  readonly onCrash: (endpointId: string, reports: readonly CrashReport[]) => void;
}

/** Endpoints crash as they begin to write; one that has written for longer crashed for another cause. */
const maxWritingMs = 1_000;

/** Time for a new connection; a refusal comes within a round trip. */
const checkTimeoutMs = 200;

/** Endpoints may break many answers without ending; each is asked once in this time at most. */
const minCheckIntervalMs = 500;

/**
 * The port of a process that ends may still accept connections for this time after the first of its
 * connections broke. One that listens is asked again after it.
 */
const closingMs = 300;

/** A response that was under way when the endpoint crashed comes within this time. */
const responseDelayMs = 250;

/** An endpoint that proves to have crashed within this time after a connection broke did so then. */
const confirmationMs = 10_000;

/** Requests that are reported of one crash, and crashes that wait for their confirmation. */
const maxReports = 16;
const maxPendingCrashes = 512;

/** Broken requests of one endpoint that have no proof of its crash yet. */
interface PendingCrash {
  readonly brokenAtMs: number;
  readonly reports: CrashReport[];
}

/**
 * Tells the crash of an endpoint from the loss of a connection to it: a broken connection is a crash
 * only if the address then refuses new ones, or if the endpoint's registration ends soon.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #pending = new Map<string, PendingCrash>();
  readonly #crashed = new LRUCache<string, true>({ max: maxPendingCrashes });
  readonly #checks = new Map<string, Promise<boolean>>();
  /** Time at which an endpoint was last found to listen, in epoch milliseconds. */
  readonly #listenedAtMs = new LRUCache<string, number>({ max: maxPendingCrashes });

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /**
   * Notes a broken request and asks the endpoint.
   *
   * @returns whether the endpoint has crashed and may have done so under this request.
   */
  async diagnose(request: BrokenRequest): Promise<boolean> {
    const mayBeCause = this.note(request);
    return (await this.#ask(request)) && mayBeCause;
  }

  /** Whether an endpoint has crashed, which is asked unless it is known. */
  async hasCrashed(request: BrokenRequest): Promise<boolean> {
    return this.#crashed.has(request.endpointId) || this.#ask(request);
  }

  /**
   * Notes a request that broke, if at all, without asking the endpoint.
   *
   * @returns whether the endpoint may have crashed under it, if it has crashed.
   */
  note(request: BrokenRequest): boolean {
    const { endpointId, requestId, partIds, sentAtMs } = request;
    const nowMs = this.#options.clock.nowMs();
    this.#forgetBefore(nowMs - confirmationMs);
    const pending = this.#pending.get(endpointId) ?? { brokenAtMs: nowMs, reports: [] };
    if (this.#pending.size < maxPendingCrashes) this.#pending.set(endpointId, pending);
    const { firstEventAtMs = 0, lastEventAtMs = 0 } = request;
    const hasWrittenLong = lastEventAtMs - firstEventAtMs > maxWritingMs;
    if (!hasWrittenLong && partIds.length > 0 && pending.reports.length < maxReports) {
      pending.reports.push({
        endpointId,
        requestId,
        partIds,
        sentAtMs,
        crashedAtMs: nowMs,
      });
    }
    return !hasWrittenLong;
  }

  /** The endpoint refused a connection; what broke well before it last listened did not break then. */
  refused(endpointId: string): void {
    const listenedAtMs = this.#listenedAtMs.get(endpointId) ?? -Infinity;
    this.#forgetReports(endpointId, listenedAtMs - closingMs);
    this.confirm(endpointId);
  }

  /** The endpoint has crashed, as its registration has ended since the first break. */
  confirm(endpointId: string): void {
    this.#crashed.set(endpointId, true);
    const pending = this.#pending.get(endpointId);
    if (!pending) return;
    this.#pending.delete(endpointId);
    if (pending.brokenAtMs + confirmationMs < this.#options.clock.nowMs()) return;
    const crashedAtMs = pending.brokenAtMs;
    const reports = pending.reports.map((report) => ({ ...report, crashedAtMs }));
    this.#options.onCrash(endpointId, reports);
  }

  /**
   * The endpoint responded, so that what broke a while before did not break with it; or its process
   * has started again under the same identity.
   */
  responded(endpointId: string): void {
    this.#crashed.delete(endpointId);
    this.#forgetReports(endpointId, this.#options.clock.nowMs() - responseDelayMs);
  }

  async #ask({ endpointId, baseUrl }: BrokenRequest): Promise<boolean> {
    const { clock } = this.#options;
    const listenedAtMs = this.#listenedAtMs.get(endpointId) ?? -Infinity;
    if (listenedAtMs > clock.nowMs() - minCheckIntervalMs) return false;
    const isFirst = !this.#checks.has(endpointId);
    const hasCrashed = await this.#checkOnce(endpointId, baseUrl);
    if (isFirst && !hasCrashed) {
      clock.schedule(clock.nowMs() + closingMs, () => void this.#checkOnce(endpointId, baseUrl));
    }
    return hasCrashed;
  }

  #checkOnce(endpointId: string, baseUrl: string): Promise<boolean> {
    let check = this.#checks.get(endpointId);
    if (!check) {
      check = this.#check(endpointId, baseUrl);
      this.#checks.set(endpointId, check);
    }
    return check;
  }

  async #check(endpointId: string, baseUrl: string): Promise<boolean> {
    const { check, clock } = this.#options;
    try {
      const isListening = await check.isListening(baseUrl, clock.nowMs() + checkTimeoutMs);
      if (isListening) this.#listenedAtMs.set(endpointId, clock.nowMs());
      else this.refused(endpointId);
      return !isListening;
    } finally {
      this.#checks.delete(endpointId);
    }
  }

  #forgetReports(endpointId: string, beforeMs: number): void {
    const pending = this.#pending.get(endpointId);
    if (!pending) return;
    const reports = pending.reports.filter(({ crashedAtMs }) => crashedAtMs > beforeMs);
    const [first] = reports;
    if (first) this.#pending.set(endpointId, { brokenAtMs: first.crashedAtMs, reports });
    else if (pending.brokenAtMs <= beforeMs) this.#pending.delete(endpointId);
  }

  #forgetBefore(sinceMs: number): void {
    for (const [endpointId, { brokenAtMs }] of this.#pending) {
      if (brokenAtMs < sinceMs) this.#pending.delete(endpointId);
    }
  }
}
