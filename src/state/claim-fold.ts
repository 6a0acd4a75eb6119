import { z } from 'zod';
import { hash64Hex } from '../core/index.js';
import { EntryKind } from './envelope.js';
import type { Fence } from './fold.js';
import { LogTime } from './log-time.js';
import { OrderedFold } from './ordered-fold.js';

/** What is known about the call of a claim. */
export enum ClaimStatus {
  /** Claimed, and no outcome recorded yet. */
  Claimed = 'claimed',
  /** The back end's answer is recorded. */
  Answered = 'answered',
  /** The claimant recorded that it cannot know whether the call ran. */
  Unknown = 'unknown',
  /** An operator recorded that the call ran; its answer is not known. */
  ResolvedRan = 'resolved_ran',
}

/** What an operator found out about an unknown call. */
export enum ResolutionVerdict {
  Ran = 'ran',
  NotRun = 'not_run',
}

const answerSchema = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  /** SHA-256 of the whole body. */
  bodyDigest: z.string(),
  /** Body as base64; null when it exceeds the bound for recorded bodies. */
  bodyBase64: z.string().nullable(),
});

/** Back end's answer as recorded, which repeated requests receive. */
export type RecordedAnswer = z.output<typeof answerSchema>;

/** Schema of a `claim` entry. */
export const claimEntrySchema = z.object({
  kind: z.literal(EntryKind.Claim),
  claimId: z.string().min(1),
  workspace: z.string(),
  service: z.string(),
  keyHash: z.string().min(1),
  bodyDigest: z.string(),
  daemon: z.string(),
  claimedAtMs: z.number(),
  /** The claimant does not start the call at or after this time. */
  startByMs: z.number(),
  /**
   * The claimant stops waiting for the answer at this time; a later repeat need not wait for it.
   */
  finishByMs: z.number(),
  /** The answer is kept until this time. */
  rememberUntilMs: z.number(),
  /** A fingerprint of the key is kept until this time. */
  fingerprintUntilMs: z.number(),
});

/** Schema of an `outcome` entry; `answer` null means unknown. */
export const outcomeEntrySchema = z.object({
  kind: z.literal(EntryKind.Outcome),
  claimId: z.string().min(1),
  answer: answerSchema.nullable(),
});

/** Schema of a `release` entry: the call provably did not run. */
export const releaseEntrySchema = z.object({
  kind: z.literal(EntryKind.Release),
  claimId: z.string().min(1),
  /** Copied from the claim, so that a release that is read before its claim also expires. */
  rememberUntilMs: z.number(),
});

/** Schema of a `resolution` entry, written by an operator. */
export const resolutionEntrySchema = z.object({
  kind: z.literal(EntryKind.Resolution),
  claimId: z.string().min(1),
  verdict: z.enum(ResolutionVerdict),
  note: z.string(),
  operator: z.string(),
  /** Operator's clock; `not_run` is only accepted after the claim's `startByMs`. */
  resolvedAtMs: z.number(),
});

const entrySchema = z.discriminatedUnion('kind', [
  claimEntrySchema,
  outcomeEntrySchema,
  releaseEntrySchema,
  resolutionEntrySchema,
]);

export type ClaimEntry = z.output<typeof claimEntrySchema>;
export type OutcomeEntry = z.output<typeof outcomeEntrySchema>;
export type ReleaseEntry = z.output<typeof releaseEntrySchema>;
export type ResolutionEntry = z.output<typeof resolutionEntrySchema>;

const resolutionSchema = resolutionEntrySchema.omit({ kind: true });

/** Schema of a {@link Claim}. */
export const claimSchema = claimEntrySchema.omit({ kind: true }).extend({
  position: z.int().positive(),
  status: z.enum(ClaimStatus),
  answer: answerSchema.nullable(),
  resolution: resolutionSchema.nullable(),
});

/** The claim that holds a key. */
export type Claim = z.output<typeof claimSchema>;

const snapshotSchema = z.object({
  logTimeMs: z.number(),
  claims: z.array(claimSchema),
  fingerprints: z.array(z.tuple([z.string(), z.number()])),
  released: z.array(z.tuple([z.string(), z.number()])),
});

type ClaimSnapshot = z.output<typeof snapshotSchema>;

/** Parts that identify a caller's idempotency key. */
export interface ClaimKey {
  readonly workspace: string;
  readonly service: string;
  readonly keyHash: string;
}

/**
 * Claims of non-repeatable calls. The first claim of a key in the order of the log holds it; a
 * release frees it, and the released claim never holds it again, however late a duplicate of it
 * arrives.
 *
 * @example
 * ```ts
 * await writer.append(claimEntry, options);
 * const isMine = fold.holder(key)?.claimId === claimEntry.claimId;
 * ```
 */
export class ClaimFold extends OrderedFold<z.output<typeof entrySchema>, ClaimSnapshot> {
  /** In the order of acceptance, which is nearly the order of expiry. */
  readonly #claims = new Map<string, Claim>();
  readonly #keyByClaimId = new Map<string, string>();
  /** Expiry by 64-bit fingerprint of a key. */
  readonly #fingerprints = new Map<string, number>();
  /** Expiry by claim id. */
  readonly #released = new Map<string, number>();
  readonly #listeners = new Set<(claimId: string) => void>();
  #time = new LogTime();

  constructor() {
    super(entrySchema, snapshotSchema);
  }

  /** The claim that holds `key`; undefined when there is none or it has expired. */
  holder(key: ClaimKey): Claim | undefined {
    return this.#claims.get(mapKeyOf(key));
  }

  /** A claim by id; undefined when it does not hold its key. */
  claim(claimId: string): Claim | undefined {
    const key = this.#keyByClaimId.get(claimId);
    return key === undefined ? undefined : this.#claims.get(key);
  }

  /** True when the claim of the key has expired and only its fingerprint is kept. */
  isExpired(key: ClaimKey): boolean {
    return this.#fingerprints.has(hash64Hex(mapKeyOf(key)));
  }

  /** All claims that have not expired, for operators. */
  claims(): readonly Claim[] {
    return [...this.#claims.values()];
  }

  /**
   * Calls `listener` after each entry about a claim.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (claimId: string) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  protected override applyEntry(position: Fence, entry: z.output<typeof entrySchema>): void {
    switch (entry.kind) {
      case EntryKind.Claim:
        this.#applyClaim(position, entry);
        break;
      case EntryKind.Outcome:
        this.#applyOutcome(entry);
        break;
      case EntryKind.Release:
        this.#applyRelease(entry);
        break;
      case EntryKind.Resolution:
        this.#applyResolution(entry);
        break;
    }
    for (const listener of this.#listeners) listener(entry.claimId);
  }

  #applyClaim(position: Fence, entry: ClaimEntry): void {
    this.#time.observe(entry.claimedAtMs);
    this.#expire();
    const key = mapKeyOf(entry);
    if (this.#claims.has(key) || this.#fingerprints.has(hash64Hex(key))) return;
    if (this.#released.has(entry.claimId)) return;
    this.#claims.set(
      key,
      claimSchema.parse({
        ...entry,
        position,
        status: ClaimStatus.Claimed,
        answer: null,
        resolution: null,
      }),
    );
    this.#keyByClaimId.set(entry.claimId, key);
  }

  #applyOutcome({ claimId, answer }: OutcomeEntry): void {
    const claim = this.claim(claimId);
    // An answer is final. It also replaces `unknown`, since it is the more specific outcome.
    if (!claim || claim.status === ClaimStatus.Answered) return;
    if (answer) this.#update(claim, { status: ClaimStatus.Answered, answer });
    else if (claim.status === ClaimStatus.Claimed) {
      this.#update(claim, { status: ClaimStatus.Unknown });
    }
  }

  #applyRelease({ claimId, rememberUntilMs }: ReleaseEntry): void {
    const claim = this.claim(claimId);
    if (claim && claim.status !== ClaimStatus.Claimed) return;
    this.#released.set(claimId, rememberUntilMs);
    if (claim) this.#remove(claim);
  }

  #applyResolution(entry: ResolutionEntry): void {
    const resolution = resolutionSchema.parse(entry);
    const claim = this.claim(resolution.claimId);
    if (!claim || claim.status === ClaimStatus.Answered) return;
    // Before `startByMs` the claimant may still start the call.
    if (resolution.resolvedAtMs <= claim.startByMs) return;
    if (resolution.verdict === ResolutionVerdict.Ran) {
      this.#update(claim, { status: ClaimStatus.ResolvedRan, resolution });
    } else if (claim.status !== ClaimStatus.ResolvedRan) {
      this.#released.set(claim.claimId, claim.rememberUntilMs);
      this.#remove(claim);
    }
  }

  #update(claim: Claim, change: Partial<Claim>): void {
    this.#claims.set(mapKeyOf(claim), { ...claim, ...change });
  }

  #remove(claim: Claim): void {
    this.#claims.delete(mapKeyOf(claim));
    this.#keyByClaimId.delete(claim.claimId);
  }

  /**
   * Scans each map from its oldest entry up to the first that has not expired. An entry behind one
   * with a longer retention is kept longer than needed, never shorter.
   */
  #expire(): void {
    const nowMs = this.#time.nowMs;
    for (const [key, claim] of this.#claims) {
      if (claim.rememberUntilMs > nowMs) break;
      this.#remove(claim);
      this.#fingerprints.set(hash64Hex(key), claim.fingerprintUntilMs);
    }
    for (const map of [this.#fingerprints, this.#released]) {
      for (const [id, untilMs] of map) {
        if (untilMs > nowMs) break;
        map.delete(id);
      }
    }
  }

  protected override stateSnapshot(): ClaimSnapshot {
    return {
      logTimeMs: this.#time.nowMs,
      claims: [...this.#claims.values()],
      fingerprints: [...this.#fingerprints],
      released: [...this.#released],
    };
  }

  protected override restoreState(state: ClaimSnapshot): void {
    this.#time = new LogTime(state.logTimeMs);
    for (const map of [this.#claims, this.#keyByClaimId, this.#fingerprints, this.#released]) {
      map.clear();
    }
    for (const claim of state.claims) {
      this.#claims.set(mapKeyOf(claim), claim);
      this.#keyByClaimId.set(claim.claimId, mapKeyOf(claim));
    }
    for (const [fingerprint, untilMs] of state.fingerprints)
      this.#fingerprints.set(fingerprint, untilMs);
    for (const [claimId, untilMs] of state.released) this.#released.set(claimId, untilMs);
  }
}

function mapKeyOf({ workspace, service, keyHash }: ClaimKey): string {
  return `${workspace}\u0000${service}\u0000${keyHash}`;
}
