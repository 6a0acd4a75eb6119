import type { DemandEstimate } from './membership.js';

/** Workspaces whose demand one digest carries. */
export const digestWorkspaces = 32;

/** Each daemon hears about two others a second, so half a minute holds 60 of 460 daemons. */
const sampleWindowMs = 30_000;

/** Demand of one daemon on the wire: workspace and units per second. */
export type DemandDigest = [workspaceId: string, perS: number][];

interface HeardDemand {
  readonly atMs: number;
  readonly perS: ReadonlyMap<string, number>;
}

/**
 * Demand for shared limits, estimated from the daemons heard recently and scaled to all members.
 * Probes choose members uniformly, so the estimate is unbiased; it keeps no sum that lost messages
 * could distort.
 *
 * @internal
 */
export class DemandSample {
  #own: ReadonlyMap<string, number> = new Map();
  #digest: DemandDigest = [];
  readonly #heard = new Map<string, HeardDemand>();

  setOwn(demandPerS: ReadonlyMap<string, number>): void {
    this.#own = new Map(demandPerS);
    this.#digest = [...demandPerS]
      .filter(([, perS]) => perS > 0)
      .sort((a, b) => b[1] - a[1])
      .slice(0, digestWorkspaces)
      .map(([workspaceId, perS]) => [workspaceId, Number(perS.toPrecision(3))]);
  }

  /** Own demand for the wire. */
  digest(): DemandDigest {
    return this.#digest;
  }

  hear(daemonId: string, digest: DemandDigest, atMs: number): void {
    this.#heard.set(daemonId, { atMs, perS: new Map(digest) });
  }

  /** Drops what was heard too long ago. */
  expire(nowMs: number): void {
    for (const [daemonId, { atMs }] of this.#heard) {
      if (nowMs - atMs > sampleWindowMs) this.#heard.delete(daemonId);
    }
  }

  /** @param otherDaemons - present members other than this one. */
  estimate(workspaceId: string, otherDaemons: number): DemandEstimate {
    const ownPerS = this.#own.get(workspaceId) ?? 0;
    let heardPerS = 0;
    for (const { perS } of this.#heard.values()) heardPerS += perS.get(workspaceId) ?? 0;
    const heardDaemons = this.#heard.size;
    const scale = heardDaemons === 0 ? 0 : Math.max(1, otherDaemons / heardDaemons);
    return { ownPerS, totalPerS: ownPerS + heardPerS * scale, heardDaemons };
  }
}
