import type { Fence } from '../state/index.js';

/**
 * Leases recorded in the log, one per name.
 *
 * @example
 * ```ts
 * const fence = await leases.acquire('control/chat/seoul');
 * ```
 */
export abstract class LeaseManager {
  /**
   * Tries to take a lease. Appends to the log only when the lease is free or expired as far as the
   * local fold knows, since candidates ask every few seconds.
   *
   * @returns its fence; undefined when it was not taken.
   */
  abstract acquire(name: string): Promise<Fence | undefined>;

  /** Extends a held lease. @returns false when it is held no more. */
  abstract renew(name: string): Promise<boolean>;

  /** Fence of the lease held here; undefined when it is not held. */
  abstract fence(name: string): Fence | undefined;

  /** Whether the lease is held here by the local clock; false from its local deadline on. */
  abstract isHeld(name: string): boolean;
}
