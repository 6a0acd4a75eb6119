import { Arm, maxReportedRoutes, type EvidenceCell } from './rollout-report.js';

type MutableMoments = [number, number, number];

interface Cell {
  responses: number;
  bad: number;
  readonly first: MutableMoments;
  readonly gap: MutableMoments;
}

/** Name under which the routes beyond the bound count. */
const otherRoutes = '';

/** Digits of the sums in a report. */
const digits = 1_000;

/** Counts of one daemon of the responses of a rollout, by route and version. */
export class EvidenceCounter {
  readonly #cells = new Map<string, [Cell, Cell]>();
  arrivals = 0;
  exposed = 0;

  /** A response was received, or an attempt ended without one. */
  recordResponse(route: string, arm: Arm): void {
    this.#cell(route, arm).responses += 1;
  }

  /** A response failed. */
  recordBad(route: string, arm: Arm): void {
    this.#cell(route, arm).bad += 1;
  }

  /** The time from a send to the first event or the complete response, in milliseconds. */
  recordFirst(route: string, arm: Arm, elapsedMs: number): void {
    add(this.#cell(route, arm).first, elapsedMs);
  }

  /** The mean time between the first events of a stream, in milliseconds. */
  recordGap(route: string, arm: Arm, gapMs: number): void {
    add(this.#cell(route, arm).gap, gapMs);
  }

  /** The counts of all routes and versions that have any. */
  cells(): EvidenceCell[] {
    return [...this.#cells].flatMap(([route, pair]) =>
      [Arm.Old, Arm.New].flatMap((arm) => {
        const { responses, bad, first, gap } = pair[arm];
        if (responses === 0 && bad === 0 && first[0] === 0) return [];
        return [[route, arm, responses, bad, rounded(first), rounded(gap)] satisfies EvidenceCell];
      }),
    );
  }

  #cell(route: string, arm: Arm): Cell {
    const isKnown = this.#cells.has(route) || this.#cells.size < maxReportedRoutes;
    const key = isKnown ? route : otherRoutes;
    let pair = this.#cells.get(key);
    if (!pair) {
      pair = [newCell(), newCell()];
      this.#cells.set(key, pair);
    }
    return pair[arm];
  }
}

function newCell(): Cell {
  return { responses: 0, bad: 0, first: [0, 0, 0], gap: [0, 0, 0] };
}

function add(moments: MutableMoments, elapsedMs: number): void {
  // Below a millisecond, the resolution of timers would be compared.
  const log = Math.log(Math.max(1, elapsedMs));
  moments[0] += 1;
  moments[1] += log;
  moments[2] += log * log;
}

function rounded([number, sum, squares]: MutableMoments): MutableMoments {
  return [number, Math.round(sum * digits) / digits, Math.round(squares * digits) / digits];
}
