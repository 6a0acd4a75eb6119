import { LRUCache } from 'lru-cache';

/** Endpoints of which reports are kept; bounds the memory, as anybody can send datagrams. */
const maxEndpoints = 8_192;

/** Reports kept of one endpoint. */
const maxReporters = 16;

/** Daemons whose reports within {@link reportWindowMs} make an endpoint suspected. */
const minReporters = 2;

/** Reports that are further apart have different causes. */
const reportWindowMs = 1_500;

/** Time after the last report for which an endpoint is avoided, unless further reports come. */
const avoidanceMs = 2_500;

/** Reports by daemon, with the time of each. */
type Reports = Map<string, number>;

/**
 * Endpoints that several other daemons could not reach lately. Hundreds of daemons would each lose a
 * request to an endpoint that has gone dark; here all but the first avoid it. One daemon's report is
 * not enough: its own network may be at fault. An endpoint is avoided for a short time only, so that
 * a wrong suspicion costs little.
 *
 * @example
 * ```ts
 * suspicions.report('i-7', 'front-2', clock.nowMs());
 * suspicions.isSuspected('i-7', clock.nowMs()); // false until a second daemon reports it
 * ```
 */
export class PeerSuspicions {
  readonly #reports = new LRUCache<string, Reports>({ max: maxEndpoints });
  readonly #avoidedUntilMs = new LRUCache<string, number>({ max: maxEndpoints });

  /** Records that a daemon could not reach an endpoint. */
  report(endpointId: string, daemon: string, nowMs: number): void {
    const reports = this.#reports.get(endpointId) ?? new Map<string, number>();
    if (reports.size < maxReporters) reports.set(daemon, nowMs);
    for (const [reporter, atMs] of reports) {
      if (atMs + reportWindowMs < nowMs) reports.delete(reporter);
    }
    this.#reports.set(endpointId, reports);
    if (reports.size >= minReporters) this.#avoidedUntilMs.set(endpointId, nowMs + avoidanceMs);
  }

  /** Whether no endpoint is avoided. */
  get isEmpty(): boolean {
    return this.#avoidedUntilMs.size === 0;
  }

  isSuspected(endpointId: string, nowMs: number): boolean {
    const untilMs = this.#avoidedUntilMs.get(endpointId);
    if (untilMs === undefined) return false;
    if (nowMs < untilMs) return true;
    this.#avoidedUntilMs.delete(endpointId);
    return false;
  }

  /** Removes an endpoint whose identity is gone. */
  remove(endpointId: string): void {
    this.#reports.delete(endpointId);
    this.#avoidedUntilMs.delete(endpointId);
  }
}
