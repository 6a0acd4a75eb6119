import {
  TokenQuota,
  type QuotaPeerStatus,
  type QuotaPeers,
  type QuotaTolerance,
} from '../admission/token-quota.js';
import type { Random } from '../core/index.js';
import type { RequestDescription } from './request-codec.js';
import { QuotaUnit, type TrafficRoute, type TrafficWorkspace } from './traffic-config.js';

/** The other daemons' grants as known at this daemon. */
export abstract class PeerGrants {
  /** Current reachability of the other daemons. */
  abstract peerStatus(): QuotaPeerStatus;
  /** Units of a workspace that the others granted since this daemon started; never decreases. */
  abstract grantedByPeers(workspaceName: string): number;
  /** Units of a workspace requested from the others since this daemon started; never decreases. */
  abstract askedOfPeers(workspaceName: string): number;
}

/** Units granted and requested, by workspace. */
export interface WorkspaceCounts {
  readonly granted: Record<string, number>;
  readonly asked: Record<string, number>;
}

/** Enforces the quotas of all workspaces at this daemon. */
export class WorkspaceQuotas {
  readonly #peers: PeerGrants;
  readonly #tolerance: QuotaTolerance;
  readonly #random: Random;
  readonly #quotas = new Map<string, TokenQuota>();

  constructor(peers: PeerGrants, tolerance: QuotaTolerance, random: Random) {
    this.#peers = peers;
    this.#tolerance = tolerance;
    this.#random = random;
  }

  /**
   * Charges a request to the quota of its workspace. While the workspace is over its limit, urgent
   * requests are granted first.
   *
   * @returns undefined when granted, else the time at which to retry, in epoch milliseconds.
   */
  tryTake(
    workspace: TrafficWorkspace,
    route: TrafficRoute,
    description: RequestDescription,
    nowMs: number,
  ): number | undefined {
    const quota = this.#quotaOf(workspace, nowMs);
    if (!quota) return undefined;
    return quota.tryTake(
      amountOf(workspace, description),
      this.#peersOf(workspace.name, this.#peers.peerStatus()),
      nowMs,
      { priority: workspace.priority ?? route.priority, objectiveMs: route.objectiveMs },
    );
  }

  /** Describes the inputs of a quota decision, for the log. */
  explain(workspace: TrafficWorkspace, description: RequestDescription): string {
    const { daemons, unreachableDaemons, propagationDelayMs } = this.#peers.peerStatus();
    const balance = Math.round(this.#quotas.get(workspace.name)?.balance ?? workspace.burst);
    const age = `reports up to ${Math.round(propagationDelayMs)} ms old`;
    return (
      `${amountOf(workspace, description)} requested, ${balance} left at ${workspace.ratePerS} a second ` +
      `for ${daemons} live and ${unreachableDaemons} unreachable daemons, ${age}`
    );
  }

  /**
   * Applies what the other daemons granted since the last call, also for workspaces without
   * requests at this daemon: their first request must not be granted from a balance that the others
   * have spent.
   */
  refresh(workspaces: readonly TrafficWorkspace[], nowMs: number): void {
    const peerStatus = this.#peers.peerStatus();
    for (const workspace of workspaces) {
      this.#quotaOf(workspace, nowMs)?.refresh(this.#peersOf(workspace.name, peerStatus), nowMs);
    }
  }

  /** Units granted and requested at this daemon since its start, for the other daemons. */
  counts(): WorkspaceCounts {
    return {
      granted: this.#countsOf(({ granted }) => granted),
      asked: this.#countsOf(({ asked }) => asked),
    };
  }

  /** Undefined for a workspace without a limit. */
  #quotaOf(workspace: TrafficWorkspace, nowMs: number): TokenQuota | undefined {
    const { name, ratePerS } = workspace;
    if (ratePerS <= 0) return undefined;
    let quota = this.#quotas.get(name);
    if (!quota) {
      quota = new TokenQuota(workspace, this.#tolerance, this.#random.fork(), nowMs);
      this.#quotas.set(name, quota);
    }
    quota.updateLimit(workspace);
    return quota;
  }

  #countsOf(select: (quota: TokenQuota) => number): Record<string, number> {
    const counts = [...this.#quotas].map(([name, quota]) => [name, select(quota)] as const);
    return Object.fromEntries(counts.filter(([, count]) => count > 0));
  }

  #peersOf(name: string, peerStatus: QuotaPeerStatus): QuotaPeers {
    return {
      ...peerStatus,
      grantedByPeers: this.#peers.grantedByPeers(name),
      askedOfPeers: this.#peers.askedOfPeers(name),
    };
  }
}

function amountOf(workspace: TrafficWorkspace, description: RequestDescription): number {
  if (workspace.unit === QuotaUnit.Requests) return 1;
  const { promptTokens, maxOutputTokens } = description;
  return promptTokens === undefined ? workspace.defaultTokens : promptTokens + maxOutputTokens;
}
