import { z } from 'zod';
import type { CloudVmList } from '../capacity/index.js';
import type { Clock, Random } from '../core/index.js';
import { MemberStatus, type Membership } from '../membership/index.js';
import type { PeerCaller, PeerMethodRegistry } from '../rpc/index.js';
import { createdVmSchema, type CreatedVm } from './created-endpoints.js';

/** Created VMs of a region, and the time of the cloud list in which they last changed. */
const regionSchema = z.object({ asOfMs: z.number(), vms: z.array(createdVmSchema).max(10_000) });
const pullSchema = z.object({ known: z.record(z.string(), z.number()) });
const responseSchema = z.object({ regions: z.record(z.string(), regionSchema) });

type RegionVms = z.output<typeof regionSchema>;

/** Options of {@link CreatedVms}. */
export interface CreatedVmsOptions {
  readonly membership: Membership;
  readonly caller: PeerCaller;
  readonly methods: PeerMethodRegistry;
  readonly clock: Clock;
  readonly random: Random;
  /** Called with all known VMs after a change. */
  readonly onChange: (vms: readonly CreatedVm[]) => void;
}

const pullMethod = 'capacity.created';
/** A pull of unchanged lists costs about 300 bytes. */
const pullIntervalMs = 2_000;
const pullTimeoutMs = 2_000;

/**
 * VMs that controllers created, by region. Only some daemons read the list from the cloud API; the
 * others pull newer lists from one random member at a time, so that a change reaches n daemons in
 * about log2(n) rounds at a constant cost for each. The newest list of a region wins.
 *
 * @example
 * ```ts
 * created.observeList('seoul', list);
 * created.start();
 * ```
 */
export class CreatedVms {
  readonly #options: CreatedVmsOptions;
  readonly #regions = new Map<string, RegionVms>();
  #stop: (() => void) | undefined;

  constructor(options: CreatedVmsOptions) {
    this.#options = options;
    options.methods.register(pullMethod, (params) => {
      const { known } = pullSchema.parse(params);
      const newer = [...this.#regions].filter(
        ([region, { asOfMs }]) => asOfMs > (known[region] ?? 0),
      );
      return Promise.resolve({ regions: Object.fromEntries(newer) });
    });
  }

  /** Merges a list that this daemon read from the cloud API. */
  observeList(region: string, { asOfMs, vms }: CloudVmList): void {
    this.#merge(region, { asOfMs, vms: vms.map((vm) => createdVmSchema.parse(vm)) });
  }

  start(): void {
    this.#stop = this.#options.clock.every(pullIntervalMs, () => void this.pull());
  }

  stop(): void {
    this.#stop?.();
  }

  /** Pulls newer lists from one random member; a failed pull has no effect. */
  async pull(): Promise<void> {
    const { membership, caller, clock, random } = this.#options;
    const others = membership
      .members()
      .filter(({ id, status }) => id !== membership.self.id && status === MemberStatus.Alive);
    const peer = others[Math.floor(random.float() * others.length)];
    if (!peer) return;
    const known = Object.fromEntries(
      [...this.#regions].map(([region, { asOfMs }]) => [region, asOfMs]),
    );
    try {
      const answer = await caller.call(
        peer.rpcUrl,
        pullMethod,
        { known },
        { deadlineAtMs: clock.nowMs() + pullTimeoutMs },
      );
      const { regions } = responseSchema.parse(answer);
      for (const [region, vms] of Object.entries(regions)) this.#merge(region, vms);
    } catch {
      // The next round pulls from another member.
    }
  }

  #merge(region: string, next: RegionVms): void {
    const current = this.#regions.get(region);
    if (current && next.asOfMs <= current.asOfMs) return;
    // The time stays that of the last change, so that an unchanged list is not sent again.
    if (current && JSON.stringify(current.vms) === JSON.stringify(next.vms)) return;
    this.#regions.set(region, next);
    this.#options.onChange([...this.#regions.values()].flatMap(({ vms }) => vms));
  }
}
