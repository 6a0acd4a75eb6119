import type { Fence } from '../state/index.js';

/**
 * Acquires and renews leases that are stored in the log, one per name.
 *
 * @example
 * ```ts
 * const fence = await leases.acquire('control/chat/seoul');
 * ```
 */
export abstract class LeaseManager {
  /**
   * Tries to acquire a lease. Appends to the log only when the lease is free or expired according
   * to the local fold, because candidates try every few seconds.
   *
   * @returns the fence of the lease; undefined when it was not acquired.
   */
  abstract acquire(name: string): Promise<Fence | undefined>;

  /**
   * Extends a held lease.
   *
   * @returns false when this daemon no longer holds the lease or the append failed.
   */
  abstract renew(name: string): Promise<boolean>;

  /** Fence of the lease that this daemon acquired last; undefined when it never held the lease. */
  abstract fence(name: string): Fence | undefined;

  /** Whether this daemon holds the lease by its local clock; false from the local deadline on. */
  abstract isHeld(name: string): boolean;
}
