import { LRUCache } from 'lru-cache';
import { OrioleError, sha256Hex, Step } from '../core/index.js';
import { KeyKind, type Deployment } from '../settings/index.js';
import { parseBearerKey, verifySecret } from './secret-hash.js';

/** A key whose secret was verified against the settings in force. */
export interface VerifiedKey {
  /** `team/name` of the key's settings section. */
  readonly id: string;
  readonly kind: KeyKind;
  readonly team: string;
  /** `team/name` of a caller's workspace; undefined for an operator's key. */
  readonly workspaceId: string | undefined;
  /** Path prefix of an operator's key; empty for a caller's. */
  readonly scope: string;
}

/** Too many unverified keys wait for scrypt; the caller may try again. */
export class KeyVerifierBusyError extends OrioleError {}

/** Options of {@link KeyVerifier}. */
export interface KeyVerifierOptions {
  /** Settings in force; asked on each verification, so that a withdrawn key stops at once. */
  readonly deployment: () => Deployment;
  /** Verified keys remembered, least recently used first out. */
  readonly maxCachedKeys?: number;
  /** Distinct keys that may wait for scrypt; each takes 16 MiB while it runs. */
  readonly maxPendingKeys?: number;
  /** Replaced in tests that count verifications. */
  readonly verify?: (secret: string, storedHash: string) => Promise<boolean>;
}

/** Result of one scrypt run; valid only while the section still holds the same hash. */
interface CachedResult {
  readonly storedHash: string;
  readonly isMatch: boolean;
}

/**
 * Verifies bearer keys of callers and operators.
 *
 * The result of scrypt is cached under a digest of the whole key together with the stored hash it
 * was compared with. A changed or withdrawn key therefore needs no invalidation. Wrong keys are
 * cached too, so that a client that repeats one costs a single derivation.
 *
 * @example
 * ```ts
 * const keys = new KeyStore({ deployment: () => configFold.deployment });
 * const key = await keys.verifyHeader(request.headers.authorization);
 * ```
 */
export class KeyVerifier {
  readonly #deployment: () => Deployment;
  readonly #cache: LRUCache<string, CachedResult>;
  readonly #pending = new Map<string, Promise<boolean>>();
  readonly #maxPendingKeys: number;
  readonly #verify: (secret: string, storedHash: string) => Promise<boolean>;

  constructor(options: KeyVerifierOptions) {
    this.#deployment = options.deployment;
    this.#cache = new LRUCache({ max: options.maxCachedKeys ?? 4_096 });
    this.#maxPendingKeys = options.maxPendingKeys ?? 16;
    this.#verify = options.verify ?? verifySecret;
  }

  /**
   * Verifies an `Authorization` header; undefined when it names no key in force.
   *
   * @throws KeyStoreBusyError when too many other keys are being verified; answer 503.
   */
  verifyHeader(authorization: string | undefined): Promise<VerifiedKey | undefined> {
    const [, bearer] = /^Bearer +(\S+)$/i.exec(authorization ?? '') ?? [];
    return bearer ? this.verify(bearer) : Promise.resolve(undefined);
  }

  /**
   * Verifies a key in its text form; undefined when it is not in force or its secret is wrong.
   *
   * @throws KeyStoreBusyError when too many other keys are being verified; answer 503.
   */
  async verify(bearer: string): Promise<VerifiedKey | undefined> {
    const parsed = parseBearerKey(bearer);
    const storedHash = parsed && this.#deployment().keys.get(parsed.keyId)?.values.secret_hash;
    if (!storedHash) return undefined;
    const digest = sha256Hex(bearer);
    const cached = this.#cache.get(digest);
    const isMatch =
      cached?.storedHash === storedHash
        ? cached.isMatch
        : await this.#verifyUncached(digest, parsed.secret, storedHash);
    if (!isMatch) return undefined;
    const section = this.#deployment().keys.get(parsed.keyId);
    // The key may have been withdrawn or replaced while scrypt ran.
    if (section?.values.secret_hash !== storedHash) return undefined;
    const { kind, workspace, scope } = section.values;
    const { team } = section.path;
    if (kind === KeyKind.Operator) {
      return { id: section.id, kind, team, workspaceId: undefined, scope };
    }
    return { id: section.id, kind, team, workspaceId: `${team}/${workspace}`, scope: '' };
  }

  #verifyUncached(digest: string, secret: string, storedHash: string): Promise<boolean> {
    const pendingId = `${digest} ${storedHash}`;
    const running = this.#pending.get(pendingId);
    if (running) return running;
    if (this.#pending.size >= this.#maxPendingKeys) {
      throw new KeyVerifierBusyError(
        `${this.#pending.size} keys are being verified; send the request again in a second`,
        { step: Step.Security, peer: 'caller' },
      );
    }
    const result = this.#verify(secret, storedHash)
      .then((isMatch) => {
        this.#cache.set(digest, { storedHash, isMatch });
        return isMatch;
      })
      .finally(() => this.#pending.delete(pendingId));
    this.#pending.set(pendingId, result);
    return result;
  }
}
