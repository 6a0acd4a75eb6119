import { randomBytes, scrypt, timingSafeEqual } from 'node:crypto';
import { promisify } from 'node:util';

const scryptAsync = promisify<string, Buffer, number, object, Buffer>(scrypt);

/** Each derivation takes 16 MiB and about 60 ms; callers cache the result for each key. */
const scryptCost = { N: 16_384, r: 8, p: 1 };

const saltBytes = 16;
const hashBytes = 32;
const secretBytes = 32;

const storedHashPattern = /^scrypt\$([0-9a-f]{32})\$([0-9a-f]{64})$/;
const bearerKeyPattern = /^oriole\.([A-Za-z0-9_-]{1,400})\.([A-Za-z0-9_-]{43})$/;

/** The two parts of a key as sent in `Authorization: Bearer`. */
export interface BearerKey {
  /** `team/name` of the key's settings section. */
  readonly keyId: string;
  /** 32 random bytes as base64url; the only secret part. */
  readonly secret: string;
}

/**
 * Creates a key with 256 random bits for the settings section `team/keys/name`.
 *
 * @param keyId - `team/name`.
 * @example
 * ```ts
 * const key = createBearerKey('tejidos/counter');
 * const setting = await hashSecret(key.secret);
 * ```
 */
export function createBearerKey(keyId: string): BearerKey {
  return { keyId, secret: randomBytes(secretBytes).toString('base64url') };
}

/**
 * Text form of a key: `oriole.{base64url of team/name}.{secret}`. The id is encoded because names
 * may use any script, whereas HTTP headers are limited to ASCII.
 *
 * @example
 * ```ts
 * const header = `Bearer ${formatBearerKey(key)}`;
 * ```
 */
export function formatBearerKey(key: BearerKey): string {
  return `oriole.${Buffer.from(key.keyId, 'utf8').toString('base64url')}.${key.secret}`;
}

/**
 * Parses the text form of a key. Returns undefined when it is malformed.
 *
 * @example
 * ```ts
 * const keyId = parseBearerKey(text)?.keyId;
 * ```
 */
export function parseBearerKey(text: string): BearerKey | undefined {
  const [, encodedId, secret] = bearerKeyPattern.exec(text) ?? [];
  if (!encodedId || !secret) return undefined;
  return { keyId: Buffer.from(encodedId, 'base64url').toString('utf8'), secret };
}

/**
 * Hashes a secret for the setting `secret_hash`: `scrypt$saltHex$hashHex`.
 *
 * @param salt - 16 bytes; default: random.
 * @example
 * ```ts
 * const setting = await hashSecret(key.secret);
 * ```
 */
export async function hashSecret(
  secret: string,
  salt: Buffer = randomBytes(saltBytes),
): Promise<string> {
  const hash = await scryptAsync(secret, salt, hashBytes, scryptCost);
  return `scrypt$${salt.toString('hex')}$${hash.toString('hex')}`;
}

/**
 * Compares a secret with a stored hash in constant time. Returns false for a malformed hash.
 *
 * @example
 * ```ts
 * if (!(await verifySecret(secret, section.values.secret_hash))) refuse();
 * ```
 */
export async function verifySecret(secret: string, storedHash: string): Promise<boolean> {
  const [, salt, hash] = storedHashPattern.exec(storedHash) ?? [];
  if (!salt || !hash) return false;
  const actual = await scryptAsync(secret, Buffer.from(salt, 'hex'), hashBytes, scryptCost);
  return timingSafeEqual(actual, Buffer.from(hash, 'hex'));
}
