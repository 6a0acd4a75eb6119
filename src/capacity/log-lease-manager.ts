import type { Clock } from '../core/index.js';
import { EntryPriority, type EntryWriter } from '../log/index.js';
import { EntryKind, type Fence, type LeaseFold } from '../state/index.js';
import { LeaseManager } from './lease-manager.js';

/** Options of {@link LogLeaseManager}. */
export interface LogLeaseManagerOptions {
  readonly writer: EntryWriter;
  /** Leases read from the stream that `writer` appends to. */
  readonly fold: LeaseFold;
  /** Name of this daemon. */
  readonly holder: string;
  /** Distinguishes this run of the daemon from earlier ones. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly durationMs?: number;
}

interface HeldLease {
  readonly fence: Fence;
  readonly untilMs: number;
}

/** The clocks of daemons differ, so others wait this much longer before they take a lease over. */
const maxClockSkewMs = 1_000;

/**
 * {@link LeaseManager} that stores leases in a control stream. The local deadline is computed
 * before the entry is sent, so that it is never later than the deadline that others see.
 *
 * @example
 * ```ts
 * const leases = new LogLeaseManager({ writer, fold, holder, incarnation, clock });
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

  /**
   * Appends an entry that grants or extends the lease.
   *
   * @returns whether the lease is held after the entry was read back.
   */
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
      // The entry may still be stored later and grants or extends the lease in the fold. The local
      // deadline does not move until the next renewal is read back.
      return false;
    }
    if (!this.#isOwn(name)) return false;
    this.#held.set(name, { fence: fold.fence(name), untilMs });
    return true;
  }
}
