import {
  TokenQuota,
  type QuotaPeerStatus,
  type QuotaPeers,
  type QuotaTolerance,
} from '../admission/token-quota.js';
import type { Random } from '../core/index.js';
import type { RequestDescription } from './request-codec.js';
import { QuotaUnit, type TrafficWorkspace } from './traffic-config.js';

/** What is known of the other daemons' grants. */
export abstract class PeerGrants {
  /** How they are heard now. */
  abstract peerStatus(): QuotaPeerStatus;
  /** Units of a workspace that the others granted since this daemon started; never falls. */
  abstract grantedByPeers(workspaceName: string): number;
  /** Units of a workspace that the others were asked for since this daemon started; never falls. */
  abstract askedOfPeers(workspaceName: string): number;
}

/** Units by workspace. */
export interface WorkspaceCounts {
  readonly granted: Record<string, number>;
  readonly asked: Record<string, number>;
}

/** The quotas of all workspaces at this daemon. */
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

  /** Takes a request's place. @returns when to come back, in epoch milliseconds, if refused. */
  tryTake(
    workspace: TrafficWorkspace,
    description: RequestDescription,
    nowMs: number,
  ): number | undefined {
    const quota = this.#quotaOf(workspace, nowMs);
    if (!quota) return undefined;
    return quota.tryTake(
      amountOf(workspace, description),
      this.#peersOf(workspace.name, this.#peers.peerStatus()),
      nowMs,
    );
  }

  /** What a decision about a workspace was made from, for the log. */
  explain(workspace: TrafficWorkspace, description: RequestDescription): string {
    const { daemons, unreachableDaemons, propagationDelayMs } = this.#peers.peerStatus();
    const balance = Math.round(this.#quotas.get(workspace.name)?.balance ?? 0);
    const age = `as told up to ${Math.round(propagationDelayMs)} ms ago`;
    return (
      `${amountOf(workspace, description)} asked for, ${balance} left at ${workspace.ratePerS} a second ` +
      `for ${daemons} live and ${unreachableDaemons} silent daemons, ${age}`
    );
  }

  /**
   * Reckons with what the other daemons granted since the last call, also for workspaces that no
   * request came for: the first one must not find a balance that the others have spent.
   */
  refresh(workspaces: readonly TrafficWorkspace[], nowMs: number): void {
    const peerStatus = this.#peers.peerStatus();
    for (const workspace of workspaces) {
      this.#quotaOf(workspace, nowMs)?.refresh(this.#peersOf(workspace.name, peerStatus), nowMs);
    }
  }

  /** Units granted and asked for here since the start by workspace, for the other daemons. */
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
