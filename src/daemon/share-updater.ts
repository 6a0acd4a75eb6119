import type { AdmissionController } from '../admission/index.js';
import type { Clock } from '../core/index.js';
import type { AppendBudget } from '../log/index.js';
import { MemberStatus, type Membership } from '../membership/index.js';

/** Options of {@link ShareUpdater}. */
export interface ShareUpdaterOptions {
  readonly admission: AdmissionController;
  readonly membership: Membership;
  readonly budget: AppendBudget;
  readonly clock: Clock;
}

const updatePeriodMs = 1_000;

/**
 * Updates this daemon's share of the deployment's limits once a second, from the members and their
 * demand: the limits of workspaces are divided by demand, the append rate evenly.
 */
export class ShareUpdater {
  readonly #options: ShareUpdaterOptions;
  #stop: (() => void) | undefined;

  constructor(options: ShareUpdaterOptions) {
    this.#options = options;
  }

  start(): void {
    this.#updateShares();
    this.#stop = this.#options.clock.every(updatePeriodMs, () => {
      this.#updateShares();
    });
  }

  stop(): void {
    this.#stop?.();
  }

  #updateShares(): void {
    const { admission, membership, budget } = this.#options;
    const alive = membership.members().filter(({ status }) => status === MemberStatus.Alive);
    // A daemon that its peers cannot reach for minutes still uses its share, so lost ones count.
    budget.updateShare(Math.max(alive.length, membership.recentMemberCount()));
    const ownDemandPerS = admission.demandPerS();
    membership.setDemand(ownDemandPerS);
    const peerDemandPerS = new Map<string, number>();
    for (const workspaceId of ownDemandPerS.keys()) {
      const { totalPerS, ownPerS } = membership.demandOf(workspaceId);
      peerDemandPerS.set(workspaceId, Math.max(0, totalPerS - ownPerS));
    }
    admission.updatePeers(alive.length, peerDemandPerS);
  }
}
