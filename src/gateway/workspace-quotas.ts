import { TokenQuota } from '../admission/token-quota.js';
import type { RequestDescription } from './request-codec.js';
import { QuotaUnit, type TrafficWorkspace } from './traffic-config.js';

/** What other daemons say about the demand for workspaces. */
export abstract class PeerDemand {
  /** Live daemons, this one included. */
  abstract get daemons(): number;
  /** Demand of the other daemons for a workspace, per second in the workspace's unit. */
  abstract othersDemandPerS(workspaceName: string): number;
}

/** Shares drift slowly; resizing more often would only cost time. */
const refreshMs = 250;

/** The quotas of all workspaces at this daemon. */
export class WorkspaceQuotas {
  readonly #peers: PeerDemand;
  readonly #quotas = new Map<string, TokenQuota>();
  readonly #refreshedAtMs = new Map<string, number>();

  constructor(peers: PeerDemand) {
    this.#peers = peers;
  }

  /** Takes a request's place. @returns when to come back, in epoch milliseconds, if refused. */
  tryTake(
    workspace: TrafficWorkspace,
    description: RequestDescription,
    nowMs: number,
  ): number | undefined {
    if (workspace.ratePerS <= 0) return undefined;
    return this.#quota(workspace, nowMs).tryTake(amountOf(workspace, description), nowMs);
  }

  /** Demand for each workspace with a limit, for the other daemons. */
  demands(nowMs: number): Record<string, number> {
    return Object.fromEntries(
      [...this.#quotas].map(([name, quota]) => [name, Math.round(quota.demandPerS(nowMs))]),
    );
  }

  #quota(workspace: TrafficWorkspace, nowMs: number): TokenQuota {
    const { name } = workspace;
    let quota = this.#quotas.get(name);
    if (!quota) {
      quota = new TokenQuota(workspace, 1 / this.#peers.daemons, nowMs);
      this.#quotas.set(name, quota);
    }
    quota.updateLimit(workspace, nowMs);
    if (nowMs - (this.#refreshedAtMs.get(name) ?? -Infinity) >= refreshMs) {
      this.#refreshedAtMs.set(name, nowMs);
      quota.updatePeers(this.#peers.daemons, this.#peers.othersDemandPerS(name), nowMs);
    }
    return quota;
  }
}

function amountOf(workspace: TrafficWorkspace, description: RequestDescription): number {
  if (workspace.unit === QuotaUnit.Requests) return 1;
  const { promptTokens, maxOutputTokens } = description;
  return promptTokens === undefined ? workspace.plainTokens : promptTokens + maxOutputTokens;
}
