import { z } from 'zod';
import type { Clock, Random } from '../core/index.js';
import { isPresent, type Member, type Membership } from '../membership/index.js';
import type { PeerCaller, PeerMethods } from '../rpc/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import { leavingEntrySchema, type LeavingEntry, type LeavingMerge } from './leaving-merge.js';

const entriesSchema = z.array(leavingEntrySchema).max(20_000);
const pushSchema = z.object({
  entries: entriesSchema,
  /** Whether the receiver is to tell its own region. */
  relay: z.boolean(),
});
const pullSchema = z.object({ hashes: z.array(z.string().max(32)).max(256) });
const pullAnswerSchema = z.object({
  entries: entriesSchema,
  /** False for a daemon that has just started and has no complete set itself. */
  isComplete: z.boolean(),
});
const riderSchema = z.object({ hash: z.string().max(32) });

const pushMethod = 'leaving.push';
const pullMethod = 'leaving.pull';
const callTimeoutMs = 500;
const pushAttempts = 3;
const relaysPerRegion = 2;
/** Signals of a wave arrive within milliseconds of each other and are told in one message. */
const batchDelayMs = 20;
/** Daemons that see the same signal wait differently long, so that few of them tell it. */
const batchJitterMs = 80;
/** A push on its way explains a difference of hashes; one that lasts longer is pulled. */
const differenceGraceMs = 300;
const pullGapMs = 1_000;
/** A peer that starts at the same time has nothing to give; waiting longer would not help. */
const startPatienceMs = 3_000;

/** Options of {@link LeavingGossip}. */
export interface LeavingGossipOptions {
  readonly leaving: LeavingMerge;
  readonly membership: Membership;
  readonly caller: PeerCaller;
  readonly methods: PeerMethods;
  readonly clock: Clock;
  readonly random: Random;
  readonly events?: EventLog;
}

/**
 * Tells leaving entries to all daemons. The daemon with the first signal calls all members of its
 * region and two in each other region, which tell theirs; a hash on each membership probe finds
 * what a lost call left out.
 *
 * @example
 * ```ts
 * const gossip = new LeavingGossip({ leaving, membership, caller, methods, clock, random });
 * await gossip.pullBeforeReady();
 * ```
 */
export class LeavingGossip {
  readonly #leaving: LeavingMerge;
  readonly #membership: Membership;
  readonly #caller: PeerCaller;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #events: EventLog;
  readonly #pending = new Map<string, LeavingEntry>();
  #isComplete = false;
  #nextPullAtMs = 0;
  #isFlushDue = false;

  constructor(options: LeavingGossipOptions) {
    this.#leaving = options.leaving;
    this.#membership = options.membership;
    this.#caller = options.caller;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#events = options.events ?? new NullEventLog();
    options.methods.register(pushMethod, (params) => {
      const { entries, relay } = pushSchema.parse(params);
      this.#receive(entries, relay);
      return Promise.resolve({});
    });
    options.methods.register(pullMethod, (params) => {
      const { hashes } = pullSchema.parse(params);
      return Promise.resolve({
        entries: this.#leaving.differing(hashes),
        isComplete: this.#isComplete,
      });
    });
    this.#membership.addRider({
      name: 'leaving',
      collect: () => ({ hash: this.#leaving.hash }),
      deliver: (payload, from) => {
        this.#compare(payload, from);
      },
    });
    this.#leaving.onNews((entries, isLocal) => {
      if (isLocal) this.#tellLater(entries);
    });
  }

  /**
   * Pulls the leaving set from a peer that has a complete one. Call it after joining and before
   * the daemon takes requests.
   *
   * @returns false when no such peer answered within 3 s, as when all daemons start at once; the
   * set then grows from the cloud's notices and list and from the endpoints themselves.
   */
  async pullBeforeReady(): Promise<boolean> {
    const giveUpAtMs = this.#clock.nowMs() + startPatienceMs;
    for (;;) {
      for (const peer of this.#shuffled(this.#others()).slice(0, 3)) {
        if (await this.#pull(peer)) {
          this.#isComplete = true;
          return true;
        }
      }
      const nowMs = this.#clock.nowMs();
      if (nowMs >= giveUpAtMs) break;
      await this.#clock.sleepUntil(Math.min(giveUpAtMs, nowMs + 250));
    }
    this.#isComplete = true;
    this.#events.warn(EventId.LeavingPullFailed, 'no peer gave a complete leaving set', {
      peers: this.#others().length,
    });
    return false;
  }

  #receive(entries: readonly LeavingEntry[], relay: boolean): void {
    const news = this.#leaving.mergeFromPeer(entries);
    const untold = entries.filter(({ subject }) => this.#pending.delete(subject));
    if (!relay) return;
    const toTell = new Map([...news, ...untold].map((entry) => [entry.subject, entry]));
    if (toTell.size > 0) this.#tellRegion([...toTell.values()]);
  }

  #tellLater(entries: readonly LeavingEntry[]): void {
    for (const entry of entries) this.#pending.set(entry.subject, entry);
    if (this.#isFlushDue) return;
    this.#isFlushDue = true;
    const delayMs = batchDelayMs + this.#random.float() * batchJitterMs;
    this.#clock.schedule(this.#clock.nowMs() + delayMs, () => {
      this.#isFlushDue = false;
      const due = [...this.#pending.values()];
      this.#pending.clear();
      if (due.length > 0) this.#tellAll(due);
    });
  }

  #tellAll(entries: readonly LeavingEntry[]): void {
    this.#tellRegion(entries);
    const regions = new Map<string, Member[]>();
    for (const member of this.#others()) {
      if (member.region === this.#membership.self.region) continue;
      const members = regions.get(member.region);
      if (members) members.push(member);
      else regions.set(member.region, [member]);
    }
    for (const members of regions.values()) {
      const candidates = this.#shuffled(members);
      for (let relay = 0; relay < relaysPerRegion; relay++) {
        void this.#pushToOneOf(candidates, entries);
      }
    }
  }

  #tellRegion(entries: readonly LeavingEntry[]): void {
    const { region } = this.#membership.self;
    for (const member of this.#others()) {
      if (member.region === region) void this.#pushWithRetries(member, entries);
    }
  }

  /** Takes candidates from the shared list until one has taken the entries. */
  async #pushToOneOf(candidates: Member[], entries: readonly LeavingEntry[]): Promise<void> {
    for (let attempt = 0; attempt < pushAttempts; attempt++) {
      const candidate = candidates.pop();
      if (!candidate || (await this.#push(candidate, entries, true))) return;
    }
  }

  async #pushWithRetries(member: Member, entries: readonly LeavingEntry[]): Promise<void> {
    for (let attempt = 0; attempt < pushAttempts; attempt++) {
      if (await this.#push(member, entries, false)) return;
      const current = this.#membership.member(member.id);
      if (!current || !isPresent(current)) return;
    }
  }

  async #push(member: Member, entries: readonly LeavingEntry[], relay: boolean): Promise<boolean> {
    const answer = await this.#call(member, pushMethod, { entries, relay });
    return answer !== undefined;
  }

  #compare(payload: unknown, from: Member): void {
    const rider = riderSchema.safeParse(payload);
    const ownHash = this.#leaving.hash;
    if (!rider.success || rider.data.hash === ownHash) return;
    const nowMs = this.#clock.nowMs();
    if (nowMs < this.#nextPullAtMs) return;
    this.#nextPullAtMs = nowMs + pullGapMs;
    this.#clock.schedule(nowMs + differenceGraceMs, () => {
      // When the set changed meanwhile, the next probe compares again.
      if (this.#leaving.hash === ownHash) void this.#pull(from);
    });
  }

  /** @returns whether the peer's set was complete. */
  async #pull(peer: Member): Promise<boolean> {
    const answer = pullAnswerSchema.safeParse(
      await this.#call(peer, pullMethod, { hashes: this.#leaving.bucketHashes() }),
    );
    if (!answer.success) return false;
    this.#leaving.mergeFromPeer(answer.data.entries);
    return answer.data.isComplete;
  }

  async #call(member: Member, method: string, params: unknown): Promise<unknown> {
    try {
      return await this.#caller.call(member.rpcUrl, method, params, {
        deadlineAtMs: this.#clock.nowMs() + callTimeoutMs,
      });
    } catch {
      // Lost calls are expected; retries and the hash on the probes make up for them.
      return undefined;
    }
  }

  #others(): Member[] {
    return this.#membership.members().filter(({ id }) => id !== this.#membership.self.id);
  }

  #shuffled<T>(items: readonly T[]): T[] {
    return items
      .map((item) => ({ item, rank: this.#random.float() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ item }) => item);
  }
}
