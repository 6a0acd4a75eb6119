import { z } from 'zod';
import { EntryKind } from './envelope.js';
import type { Fence } from './fold.js';
import { OrderedFold } from './ordered-fold.js';

/** Schema of a `lease` entry. */
export const leaseEntrySchema = z.object({
  kind: z.literal(EntryKind.Lease),
  /** What is leased, such as `controller/team/service`. */
  name: z.string().min(1),
  holder: z.string().min(1),
  /** Distinguishes two runs of a daemon with the same name. */
  incarnation: z.int(),
  /** Current fence as the writer has read it; 0 when the lease was never held. */
  previousFence: z.int().nonnegative(),
  expiresAtMs: z.number(),
});

/** Entry with which a daemon takes or renews a lease. */
export type LeaseEntry = z.output<typeof leaseEntrySchema>;

const leaseSchema = leaseEntrySchema.omit({ kind: true }).extend({
  fence: z.int().positive(),
});

/** Accepted lease. `fence` is the fencing token; it grows with each change of holder. */
export type Lease = z.output<typeof leaseSchema>;

const snapshotSchema = z.array(leaseSchema);

/**
 * Leases by name. An entry is accepted if and only if its `previousFence` is the current fence. An
 * entry of the same holder and incarnation renews: the fence stays, so that tokens derived from it
 * (such as the cloud API's client tokens) stay idempotent across renewals. Any other accepted entry
 * takes over, and its position becomes the fence. The fold compares no times: `expiresAtMs` only
 * indicates when others may try to take over.
 *
 * @example
 * ```ts
 * const position = await writer.append({ kind: EntryKind.Lease, name, holder, incarnation,
 *   previousFence: fold.fence(name), expiresAtMs }, options);
 * const isMine = fold.isHeldBy(name, holder, incarnation);
 * ```
 */
export class LeaseFold extends OrderedFold<LeaseEntry, Lease[]> {
  readonly #leases = new Map<string, Lease>();

  constructor() {
    super(leaseEntrySchema, snapshotSchema);
  }

  /** The current lease of `name`, expired or not; undefined when it was never held. */
  lease(name: string): Lease | undefined {
    return this.#leases.get(name);
  }

  /** Fencing token of `name`; 0 when the lease was never held. */
  fence(name: string): Fence {
    return this.#leases.get(name)?.fence ?? 0;
  }

  /** True when the last accepted entry is from this run of this daemon; ignores expiry. */
  isHeldBy(name: string, holder: string, incarnation: number): boolean {
    const lease = this.#leases.get(name);
    return lease?.holder === holder && lease.incarnation === incarnation;
  }

  /** All leases, expired ones included. */
  leases(): readonly Lease[] {
    return [...this.#leases.values()];
  }

  protected override applyEntry(fence: Fence, entry: LeaseEntry): void {
    const current = this.#leases.get(entry.name);
    if (entry.previousFence !== (current?.fence ?? 0)) return;
    const isRenewal = current?.holder === entry.holder && current.incarnation === entry.incarnation;
    this.#leases.set(
      entry.name,
      isRenewal
        ? { ...current, expiresAtMs: Math.max(current.expiresAtMs, entry.expiresAtMs) }
        : leaseSchema.parse({ ...entry, fence }),
    );
  }

  protected override stateSnapshot(): Lease[] {
    return [...this.#leases.values()];
  }

  protected override restoreState(state: Lease[]): void {
    this.#leases.clear();
    for (const lease of state) this.#leases.set(lease.name, lease);
  }
}
