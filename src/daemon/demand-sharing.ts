import type { AdmissionController } from '../admission/index.js';
import type { Clock } from '../core/index.js';
import type { AppendBudget } from '../log/index.js';
import { MemberStatus, type Membership } from '../membership/index.js';

/** Options of {@link DemandSharing}. */
export interface DemandSharingOptions {
  readonly admission: AdmissionController;
  readonly membership: Membership;
  readonly budget: AppendBudget;
  readonly clock: Clock;
}

const periodMs = 1_000;

/**
 * Divides what the deployment shares among its daemons: limits of workspaces by demand, appends
 * evenly. Runs once a second on what membership knows.
 */
export class DemandSharing {
  readonly #options: DemandSharingOptions;
  #stop: (() => void) | undefined;

  constructor(options: DemandSharingOptions) {
    this.#options = options;
  }

  start(): void {
    this.#share();
    this.#stop = this.#options.clock.every(periodMs, () => {
      this.#share();
    });
  }

  stop(): void {
    this.#stop?.();
  }

  #share(): void {
    const { admission, membership, budget } = this.#options;
    const alive = membership.members().filter(({ status }) => status === MemberStatus.Alive);
    // A daemon that is cut off for minutes still uses its share, so lost ones count too.
    budget.updateShare(Math.max(alive.length, membership.recentMemberCount()));
    const own = admission.demandPerS();
    membership.setDemand(own);
    const others = new Map<string, number>();
    for (const workspaceId of own.keys()) {
      const { totalPerS, ownPerS } = membership.demandOf(workspaceId);
      others.set(workspaceId, Math.max(0, totalPerS - ownPerS));
    }
    admission.updatePeers(alive.length, others);
  }
}
