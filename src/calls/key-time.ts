const uuidV7Pattern = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const ulidPattern = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/i;
const crockfordAlphabet = '0123456789ABCDEFGHJKMNPQRSTVWXYZ';

/**
 * Returns the timestamp that an idempotency key contains (UUIDv7 or ULID), in epoch milliseconds,
 * or undefined for other keys.
 *
 * @example
 * ```ts
 * keyTimeMs('01890a5d-ac96-774b-bcce-b302099a8057'); // 1688144096406
 * ```
 */
export function keyTimeMs(key: string): number | undefined {
  const uuid = uuidV7Pattern.exec(key);
  if (uuid) return Number.parseInt(`${uuid[1] ?? ''}${uuid[2] ?? ''}`, 16);
  if (!ulidPattern.test(key)) return undefined;
  let timeMs = 0;
  for (const digit of key.slice(0, 10).toUpperCase()) {
    timeMs = timeMs * 32 + crockfordAlphabet.indexOf(digit);
  }
  return timeMs;
}
