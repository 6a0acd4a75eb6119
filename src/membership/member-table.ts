import { isPresent, MemberStatus, supersedes, type Member } from './member.js';
import { SetHash } from './set-hash.js';

/** How long a lost daemon is remembered, so that two sides of a partition find each other again. */
export const lostRetentionMs = 1_800_000;

/**
 * The members known to one daemon, without the daemon itself, under the merge rules of SWIM: a
 * higher incarnation wins; within one incarnation the later status wins.
 *
 * @internal
 */
export class MemberTable {
  readonly #members = new Map<string, Member>();
  readonly #presentHash = new SetHash();
  #present: readonly Member[] | undefined;

  /** Merges `candidate`. @returns true when it was news. */
  merge(candidate: Member): boolean {
    const known = this.#members.get(candidate.id);
    if (known ? !supersedes(candidate, known) : !isPresent(candidate)) return false;
    this.#put(candidate, known);
    return true;
  }

  /** Declares suspects dead whose suspicion is older than `timeoutMs`. @returns them. */
  expireSuspects(nowMs: number, timeoutMs: number): Member[] {
    const expired: Member[] = [];
    for (const member of this.#members.values()) {
      if (member.status !== MemberStatus.Suspect) continue;
      if (nowMs - member.statusSinceMs < timeoutMs) continue;
      const dead = { ...member, status: MemberStatus.Dead, statusSinceMs: nowMs };
      this.#put(dead, member);
      expired.push(dead);
    }
    return expired;
  }

  /** Forgets members that were lost long ago. */
  pruneLost(nowMs: number): void {
    for (const member of this.#members.values()) {
      if (!isPresent(member) && nowMs - member.statusSinceMs > lostRetentionMs) {
        this.#members.delete(member.id);
      }
    }
  }

  get(id: string): Member | undefined {
    return this.#members.get(id);
  }

  /** Alive and suspect members. */
  present(): readonly Member[] {
    this.#present ??= [...this.#members.values()].filter(isPresent);
    return this.#present;
  }

  /** Members lost without a farewell. */
  lost(): Member[] {
    return [...this.#members.values()].filter(({ status }) => status === MemberStatus.Dead);
  }

  all(): Member[] {
    return [...this.#members.values()];
  }

  /** Order-free hash of the present members, `self` included; equal tables have equal hashes. */
  hashWith(self: Member): string {
    return this.#presentHash.with(hashTextOf(self));
  }

  #put(member: Member, known: Member | undefined): void {
    if (known && isPresent(known)) this.#presentHash.toggle(hashTextOf(known));
    if (isPresent(member)) this.#presentHash.toggle(hashTextOf(member));
    this.#members.set(member.id, member);
    this.#present = undefined;
  }
}

/** Leaves out the status, since suspicions come and go while members agree on who is present. */
function hashTextOf({ id, incarnation }: Member): string {
  return `${id} ${incarnation}`;
}
