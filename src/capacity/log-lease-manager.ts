import type { Clock } from '../core/index.js';
import { EntryPriority, type EntryWriter } from '../log/index.js';
import { EntryKind, type Fence, type LeaseFold } from '../state/index.js';
import { LeaseManager } from './lease-manager.js';

/** Options of {@link LogLeaseManager}. */
export interface LogLeaseManagerOptions {
  readonly writer: EntryWriter;
  /** Fold of the stream that `writer` appends to. */
  readonly fold: LeaseFold;
  /** Name of this daemon. */
  readonly holder: string;
  /** Tells this run of the daemon from earlier ones. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly durationMs?: number;
}

interface HeldLease {
  readonly fence: Fence;
  readonly untilMs: number;
}

/** Clocks of daemons differ; others wait this much longer before they take a lease over. */
const maxClockSkewMs = 1_000;

/**
 * {@link LeaseManager} on the entries of a control stream. The local deadline counts from before the
 * entry was sent, so that it never lies after the one that others see.
 *
 * @example
 * ```ts
 * const leases = new LogLeaseKeeper({ writer, fold, holder, incarnation, clock });
 * ```
 */
export class LogLeaseManager extends LeaseManager {
  readonly #options: LogLeaseManagerOptions;
  readonly #durationMs: number;
  readonly #held = new Map<string, HeldLease>();

  constructor(options: LogLeaseManagerOptions) {
    super();
    this.#options = options;
    this.#durationMs = options.durationMs ?? 10_000;
  }

  override async acquire(name: string): Promise<Fence | undefined> {
    const { fold, clock } = this.#options;
    const current = fold.lease(name);
    const isTaken = current && current.expiresAtMs + maxClockSkewMs > clock.nowMs();
    if (isTaken && !this.#isOwn(name)) return undefined;
    return (await this.#append(name)) ? this.fence(name) : undefined;
  }

  override async renew(name: string): Promise<boolean> {
    if (!this.#isOwn(name)) return false;
    return this.#append(name);
  }

  override fence(name: string): Fence | undefined {
    return this.#held.get(name)?.fence;
  }

  override isHeld(name: string): boolean {
    const held = this.#held.get(name);
    if (!held || held.untilMs <= this.#options.clock.nowMs()) return false;
    return this.#isOwn(name) && this.#options.fold.fence(name) === held.fence;
  }

  #isOwn(name: string): boolean {
    const { fold, holder, incarnation } = this.#options;
    return fold.isHeldBy(name, holder, incarnation);
  }

  /** @returns whether the lease is held after the entry was read back. */
  async #append(name: string): Promise<boolean> {
    const { writer, fold, holder, incarnation, clock } = this.#options;
    const untilMs = clock.nowMs() + this.#durationMs;
    try {
      await writer.append(
        {
          kind: EntryKind.Lease,
          name,
          holder,
          incarnation,
          previousFence: fold.fence(name),
          expiresAtMs: untilMs,
        },
        { deadlineAtMs: untilMs, priority: EntryPriority.High },
      );
    } catch {
      // An entry that turns up later extends or grants the lease in the fold; here it counts as
      // not held until the next renewal is read back.
      return false;
    }
    if (!this.#isOwn(name)) return false;
    this.#held.set(name, { fence: fold.fence(name), untilMs });
    return true;
  }
}
