import { Arm, type EvidenceCell, type Moments, type RolloutReport } from './rollout-report.js';
import type { CellSums, Stratum } from './sequential-test.js';

interface ReceivedReport {
  readonly report: RolloutReport;
  readonly receivedAtMs: number;
}

/** Sums of all daemons over a rollout. */
export interface EvidenceTotals {
  readonly arrivals: number;
  readonly exposed: number;
  readonly openAtOld: number;
  /** Longest time of a request of the service lately, in milliseconds. */
  readonly longestMs: number;
}

/** Responses that arrive within this time are compared with each other. */
const stratumMs = 1_000;

/** Daemons whose reports are kept. */
const maxDaemons = 2_048;

type StratumMap = Map<string, [CellSums, CellSums]>;

/** What all daemons report of one rollout, by route and second of arrival. */
export class EvidencePool {
  readonly #reports = new Map<string, ReceivedReport>();
  readonly #strata = new Map<number, StratumMap>();
  /** Of runs of daemons that later ones have replaced. */
  #earlierArrivals = 0;
  #earlierExposed = 0;

  /** Applies a report; one that is older than another one of the same daemon is ignored. */
  record(daemon: string, report: RolloutReport, nowMs: number): void {
    const known = this.#reports.get(daemon)?.report;
    if (!known && this.#reports.size >= maxDaemons) return;
    if (known && !isNewer(report, known)) return;
    const earlier = known?.incarnation === report.incarnation ? known.cells : [];
    this.#reports.set(daemon, { report, receivedAtMs: nowMs });
    for (const cell of report.cells) {
      const before = earlier.find(([route, arm]) => route === cell[0] && arm === cell[1]);
      this.#add(cell, before, nowMs);
    }
    if (known && known.incarnation !== report.incarnation) this.#keepTotals(known);
  }

  get totals(): EvidenceTotals {
    let arrivals = this.#earlierArrivals;
    let exposed = this.#earlierExposed;
    let openAtOld = 0;
    let longestMs = 0;
    for (const { report } of this.#reports.values()) {
      arrivals += report.arrivals;
      exposed += report.exposed;
      openAtOld += report.openAtOld;
      longestMs = Math.max(longestMs, report.longestMs);
    }
    return { arrivals, exposed, openAtOld, longestMs };
  }

  /** Newest report of a daemon, and its age; undefined if there is none. */
  latest(daemon: string): ReceivedReport | undefined {
    return this.#reports.get(daemon);
  }

  /** Strata of the responses that arrived between two times, in epoch milliseconds. */
  strata(sinceMs: number, untilMs = Infinity): Stratum[] {
    const found: Stratum[] = [];
    for (const [second, routes] of this.#strata) {
      const atMs = second * stratumMs;
      if (atMs < sinceMs - stratumMs / 2 || atMs + stratumMs / 2 > untilMs) continue;
      for (const [route, arms] of routes) {
        found.push({ route, old: arms[Arm.Old], fresh: arms[Arm.New] });
      }
    }
    return found;
  }

  #keepTotals({ arrivals, exposed }: RolloutReport): void {
    this.#earlierArrivals += arrivals;
    this.#earlierExposed += exposed;
  }

  #add(cell: EvidenceCell, before: EvidenceCell | undefined, nowMs: number): void {
    const second = Math.floor(nowMs / stratumMs);
    let routes = this.#strata.get(second);
    if (!routes) {
      routes = new Map();
      this.#strata.set(second, routes);
    }
    const [route, arm, responses, bad, first, gap] = cell;
    const [, , responsesBefore = 0, badBefore = 0, firstBefore, gapBefore] = before ?? [];
    let arms = routes.get(route);
    if (!arms) {
      arms = [emptySums(), emptySums()];
      routes.set(route, arms);
    }
    const sums = arms[arm];
    sums.responses += Math.max(0, responses - responsesBefore);
    sums.bad += Math.max(0, bad - badBefore);
    addMoments(sums.first, first, firstBefore);
    addMoments(sums.gap, gap, gapBefore);
  }
}

function isNewer(report: RolloutReport, known: RolloutReport): boolean {
  if (report.incarnation !== known.incarnation) return report.incarnation > known.incarnation;
  return report.sequence > known.sequence;
}

function emptySums(): CellSums {
  return { responses: 0, bad: 0, first: [0, 0, 0], gap: [0, 0, 0] };
}

function addMoments(
  sums: [number, number, number],
  [count, sum, squares]: Moments,
  before: Moments = [0, 0, 0],
): void {
  sums[0] += Math.max(0, count - before[0]);
  sums[1] += sum - before[1];
  sums[2] += Math.max(0, squares - before[2]);
}
