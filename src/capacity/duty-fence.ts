import type { Offset } from '../log/log-service.js';
import type { Fence } from '../state/index.js';

/** Offsets of one era that a fence can tell apart; 53 bits leave room for 2^21 eras. */
const offsetsPerEra = 2 ** 32;

/**
 * Fence of the lease whose record is stored at an offset in an era of the store. Fences increase with
 * the offset within an era and with each era, so that offsets that are assigned again after the store
 * came back from an older copy give no fence twice.
 *
 * @returns undefined when there is no such fence of 53 bits.
 */
export function fenceOf(era: number, offset: Offset): Fence | undefined {
  const fence = era * offsetsPerEra + offset + 1;
  const isUnique = era === 0 || offset < offsetsPerEra - 1;
  return isUnique && Number.isSafeInteger(fence) ? fence : undefined;
}

/** Era of the store for which a fence was given. */
export function eraOfFence(fence: Fence): number {
  return Math.floor((fence - 1) / offsetsPerEra);
}
