import { TokenQuota, type QuotaTolerance } from '../admission/token-quota.js';
import type { RequestDescription } from './request-codec.js';
import { QuotaUnit, type TrafficWorkspace } from './traffic-config.js';

/** What is known of the other daemons' grants. */
export abstract class PeerGrants {
  /** Live daemons, this one included. */
  abstract get daemons(): number;
  /** Daemons that went without a word. */
  abstract get silentDaemons(): number;
  /** False while nothing is heard from the others. */
  abstract get isCurrent(): boolean;
  /** Units of a workspace that the others granted since this daemon started; never falls. */
  abstract grantedByOthers(workspaceName: string): number;
}

/** The quotas of all workspaces at this daemon. */
export class WorkspaceQuotas {
  readonly #peers: PeerGrants;
  readonly #tolerance: QuotaTolerance;
  readonly #quotas = new Map<string, TokenQuota>();

  constructor(peers: PeerGrants, tolerance: QuotaTolerance) {
    this.#peers = peers;
    this.#tolerance = tolerance;
  }

  /** Takes a request's place. @returns when to come back, in epoch milliseconds, if refused. */
  tryTake(
    workspace: TrafficWorkspace,
    description: RequestDescription,
    nowMs: number,
  ): number | undefined {
    const { name, ratePerS } = workspace;
    if (ratePerS <= 0) return undefined;
    let quota = this.#quotas.get(name);
    if (!quota) {
      quota = new TokenQuota(workspace, this.#tolerance, nowMs);
      this.#quotas.set(name, quota);
    }
    quota.updateLimit(workspace);
    const { daemons, silentDaemons, isCurrent } = this.#peers;
    const grantedByOthers = this.#peers.grantedByOthers(name);
    const peers = { daemons, silentDaemons, isCurrent, grantedByOthers };
    return quota.tryTake(amountOf(workspace, description), peers, nowMs);
  }

  /** Units granted here since the start by workspace, for the other daemons. */
  granted(): Record<string, number> {
    return Object.fromEntries([...this.#quotas].map(([name, { granted }]) => [name, granted]));
  }
}

function amountOf(workspace: TrafficWorkspace, description: RequestDescription): number {
  if (workspace.unit === QuotaUnit.Requests) return 1;
  const { promptTokens, maxOutputTokens } = description;
  return promptTokens === undefined ? workspace.plainTokens : promptTokens + maxOutputTokens;
}
