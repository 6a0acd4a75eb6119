import { createHash } from 'node:crypto';
import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/** xxHash64 of the UTF-8 bytes of `text`. For placement and fingerprints, not for security. */
export function hash64(text: string): bigint {
  return xxhash.h64(text);
}

/** {@link hash64} as 16 hexadecimal digits. */
export function hash64Hex(text: string): string {
  return xxhash.h64ToString(text);
}

/** xxHash32 of the UTF-8 bytes of `text` as an unsigned integer; cheaper than {@link hash64}. */
export function hash32(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/** SHA-256 of `data` as hexadecimal digits, for digests that must not collide. */
export function sha256Hex(data: string | Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}

/**
 * Orders `members` for `key` by rendezvous hashing, highest weight first. When a member is added or
 * removed, the others keep their relative order for each key, so that only keys of that member move.
 *
 * @example
 * ```ts
 * const owner = rendezvousOrder('claims.7', ['a', 'b', 'c'])[0];
 * ```
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
  return members
    .map((member) => ({ member, weight: hash64(`${key}\u0000${member}`) }))
    .sort((a, b) => (a.weight > b.weight ? -1 : a.weight < b.weight ? 1 : 0))
    .map(({ member }) => member);
}
