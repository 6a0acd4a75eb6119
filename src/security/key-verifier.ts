import { LRUCache } from 'lru-cache';
import { OrioleError, sha256Hex, Step } from '../core/index.js';
import { KeyKind, type Deployment } from '../settings/index.js';
import { parseBearerKey, verifySecret } from './secret-hash.js';

/** Key whose secret was verified against the settings in force. */
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

/** Too many unverified keys are waiting for scrypt; the caller can retry. */
export class KeyVerifierBusyError extends OrioleError {}

/** Options of {@link KeyVerifier}. */
export interface KeyVerifierOptions {
  /** Returns the settings in force; called on each verification, so that revocation is immediate. */
  readonly deployment: () => Deployment;
  /** Maximum number of cached results; the least recently used is evicted first. */
  readonly maxCachedKeys?: number;
  /** Maximum number of distinct keys being verified; each scrypt run takes 16 MiB. */
  readonly maxPendingKeys?: number;
  /** Compares a secret with a hash; tests replace it to count calls. Default: {@link verifySecret}. */
  readonly verify?: (secret: string, storedHash: string) => Promise<boolean>;
}

/** Result of one scrypt run; valid only while the key's section has the same hash. */
interface CachedResult {
  readonly storedHash: string;
  readonly isMatch: boolean;
}

/**
 * Verifies bearer keys of callers and operators.
 *
 * The result of scrypt is cached by a digest of the entire key, together with the stored hash that
 * it was compared with. Changed and revoked keys therefore need no invalidation. Results for wrong
 * keys are cached too, so that a client that repeats one causes a single derivation.
 *
 * @example
 * ```ts
 * const keys = new KeyVerifier({ deployment: () => configFold.deployment });
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
   * Verifies an `Authorization` header. Returns undefined when it holds no valid key in force.
   *
   * @throws KeyVerifierBusyError when too many other keys are being verified; respond with 503.
   */
  verifyHeader(authorization: string | undefined): Promise<VerifiedKey | undefined> {
    const [, bearer] = /^Bearer +(\S+)$/i.exec(authorization ?? '') ?? [];
    return bearer ? this.verify(bearer) : Promise.resolve(undefined);
  }

  /**
   * Verifies a key in its text form. Returns undefined when the key is not in force or its secret is
   * wrong.
   *
   * @throws KeyVerifierBusyError when too many other keys are being verified; respond with 503.
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
    // The key may have been revoked or replaced while scrypt ran.
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
