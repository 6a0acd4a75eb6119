import type { DemandEstimate } from './membership.js';

/** Maximum number of workspaces in a digest; those with the highest demand are included. */
export const maxDigestWorkspaces = 32;

/** A daemon receives about two reports per second, so half a minute holds 60 of 460 daemons. */
const reportWindowMs = 30_000;

/** Demand of one daemon on the wire: workspace and units per second. */
export type DemandDigest = [workspaceId: string, perS: number][];

interface DemandReport {
  readonly atMs: number;
  readonly perS: ReadonlyMap<string, number>;
}

/**
 * Estimates the demand for shared limits from the daemons that reported recently, scaled to all
 * members. Probes choose members uniformly, so the estimate is unbiased; there is no running sum
 * that lost messages could distort.
 *
 * @internal
 */
export class DemandEstimator {
  #own: ReadonlyMap<string, number> = new Map();
  #digest: DemandDigest = [];
  readonly #reports = new Map<string, DemandReport>();

  setOwn(demandPerS: ReadonlyMap<string, number>): void {
    this.#own = new Map(demandPerS);
    this.#digest = [...demandPerS]
      .filter(([, perS]) => perS > 0)
      .sort((a, b) => b[1] - a[1])
      .slice(0, maxDigestWorkspaces)
      .map(([workspaceId, perS]) => [workspaceId, Number(perS.toPrecision(3))]);
  }

  /** This daemon's demand as sent to peers. */
  digest(): DemandDigest {
    return this.#digest;
  }

  record(daemonId: string, digest: DemandDigest, atMs: number): void {
    this.#reports.set(daemonId, { atMs, perS: new Map(digest) });
  }

  /** Drops reports older than the window. */
  expire(nowMs: number): void {
    for (const [daemonId, { atMs }] of this.#reports) {
      if (nowMs - atMs > reportWindowMs) this.#reports.delete(daemonId);
    }
  }

  /** @param otherDaemons - present members other than this one. */
  estimate(workspaceId: string, otherDaemons: number): DemandEstimate {
    const ownPerS = this.#own.get(workspaceId) ?? 0;
    let reportedPerS = 0;
    for (const { perS } of this.#reports.values()) reportedPerS += perS.get(workspaceId) ?? 0;
    const reportingDaemons = this.#reports.size;
    const scale = reportingDaemons === 0 ? 0 : Math.max(1, otherDaemons / reportingDaemons);
    return { ownPerS, totalPerS: ownPerS + reportedPerS * scale, reportingDaemons };
  }
}
