import {
  createPrivateKey,
  createPublicKey,
  hkdfSync,
  randomBytes,
  sign,
  type KeyObject,
} from 'node:crypto';
import { OrioleError, Step } from '../core/index.js';

/** DER header of a PKCS #8 Ed25519 private key; the 32-byte seed follows (RFC 8410). */
const pkcs8Header = Buffer.from('302e020100300506032b657004220420', 'hex');

/**
 * In characters. A shorter secret could be found by brute force from the public key, which is
 * readable by everyone.
 */
const minSecretLength = 32;

/** Creates an operator secret with 256 random bits, encoded as base64url. */
export function createOperatorSecret(): string {
  return randomBytes(32).toString('base64url');
}

/**
 * Ed25519 key pair derived from an operator's secret, so that one secret both authenticates to the
 * HTTP API and signs settings changes. The secret must be random, as {@link createOperatorSecret}
 * returns it: HKDF does not slow down brute force.
 *
 * @throws OrioleError (step `security`) when the secret has fewer than 32 characters.
 * @example
 * ```ts
 * const key = SigningKey.fromSecret(createOperatorSecret());
 * key.publicKey; // goes into `signing_public_key`
 * ```
 */
export class SigningKey {
  readonly #privateKey: KeyObject;
  /** SPKI in base64, as in the setting `signing_public_key`. */
  readonly publicKey: string;

  private constructor(privateKey: KeyObject) {
    this.#privateKey = privateKey;
    this.publicKey = createPublicKey(privateKey)
      .export({ format: 'der', type: 'spki' })
      .toString('base64');
  }

  static fromSecret(secret: string): SigningKey {
    if (secret.length < minSecretLength) {
      throw new OrioleError(
        `an operator secret needs at least ${minSecretLength} characters; create a new one`,
        { step: Step.Security, peer: 'local' },
      );
    }
    const seed = hkdfSync('sha256', secret, 'oriolestack', 'settings-signing-key.v1', 32);
    const key = Buffer.concat([pkcs8Header, Buffer.from(seed)]);
    return new SigningKey(createPrivateKey({ key, format: 'der', type: 'pkcs8' }));
  }

  /** Signs `data`; returns the signature as base64. */
  sign(data: Uint8Array): string {
    return sign(null, data, this.#privateKey).toString('base64');
  }
}
