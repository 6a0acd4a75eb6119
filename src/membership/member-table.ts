import { isPresent, MemberStatus, supersedes, type Member } from './member.js';
import { SetHash } from './set-hash.js';

/** A lost member is kept this long, so that the sides of a partition can find each other again. */
export const lostRetentionMs = 1_800_000;

/**
 * The members known to one daemon, excluding the daemon itself, with the merge rules of SWIM: a
 * higher incarnation wins; within one incarnation the later status wins.
 *
 * @internal
 */
export class MemberTable {
  readonly #members = new Map<string, Member>();
  readonly #presentHash = new SetHash();
  #present: readonly Member[] | undefined;

  /** Merges `candidate`. @returns whether the table changed. */
  merge(candidate: Member): boolean {
    const known = this.#members.get(candidate.id);
    if (known ? !supersedes(candidate, known) : !isPresent(candidate)) return false;
    this.#put(candidate, known);
    return true;
  }

  /** Declares suspects dead whose suspicion is older than `timeoutMs`. @returns the dead. */
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

  /** Removes members that have been dead or left for longer than {@link lostRetentionMs}. */
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

  /** Members declared dead; those that left on purpose are not included. */
  lost(): Member[] {
    return [...this.#members.values()].filter(({ status }) => status === MemberStatus.Dead);
  }

  all(): Member[] {
    return [...this.#members.values()];
  }

  /** Order-independent hash of the present members and `self`; equal sets have equal hashes. */
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

/** Excludes the status, as suspicions come and go while members agree on who is present. */
function hashTextOf({ id, incarnation }: Member): string {
  return `${id} ${incarnation}`;
}
