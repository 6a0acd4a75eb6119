import { z } from 'zod';
import type { Clock, Random } from '../core/index.js';
import { isPresent, type Member, type Membership } from '../membership/index.js';
import type { PeerCaller, PeerMethodRegistry } from '../rpc/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import {
  decodeLeaving,
  encodeLeaving,
  leavingTupleSchema,
  type LeavingEntry,
  type LeavingSet,
} from './leaving-set.js';

/** Value of `tell` for a push that the receiver forwards to its whole region. */
const wholeRegion = 'region';

const entriesSchema = z.array(leavingTupleSchema).max(20_000);
const pushSchema = z.object({
  entries: entriesSchema,
  tell: z.union([z.literal(wholeRegion), z.array(z.string().max(200)).max(1_000)]),
});
/** Daemons to which the receiver of a push forwards it: its whole region, or the ids listed. */
type ForwardTargets = z.output<typeof pushSchema>['tell'];
const pullSchema = z.object({ hashes: z.array(z.string().max(32)).max(256) });
const pullReplySchema = z.object({
  entries: entriesSchema,
  /** False while the peer itself has no complete set, after its start or a pause. */
  isComplete: z.boolean(),
});
const payloadSchema = z.object({ hash: z.string().max(32) });

const pushMethod = 'leaving.push';
const pullMethod = 'leaving.pull';
const callTimeoutMs = 500;
const pushAttempts = 3;
const relaysPerRegion = 2;
/** Daemons reached by one call, whose receiver forwards to the rest; spreads the bytes evenly. */
const pushGroupSize = 8;
/** Signals of a mass reclaim arrive within milliseconds and are pushed in one message. */
const batchDelayMs = 20;
/** Daemons that receive the same signal wait a random time, so that few of them push it. */
const batchJitterMs = 80;
/** A push in flight explains differing hashes; a difference that lasts longer leads to a pull. */
const hashMismatchGraceMs = 300;
const minPullIntervalMs = 1_000;
/** Partitions between regions last minutes. */
const regionRetryTimeoutMs = 600_000;
/** Peers that are pulled from at once, and how many of them may be in the own region. */
const maxPullPeers = 3;
const maxOwnRegionPullPeers = 2;
/** A peer that starts at the same time has no set to return; a longer wait would not help. */
const pullTimeoutMs = 3_000;

/** Period of a timer that detects, by being late, that the process was paused. */
const pauseCheckPeriodMs = 500;
/**
 * A daemon paused for longer may have missed a signal. Guarantee P5 allows new work for a leaving
 * endpoint for at most 3 s after the first signal.
 */
const maxPauseMs = 1_500;
const regionRetryIntervalMs = 500;

/** Options of {@link LeavingGossip}. */
export interface LeavingGossipOptions {
  readonly leaving: LeavingSet;
  readonly membership: Membership;
  readonly caller: PeerCaller;
  readonly methods: PeerMethodRegistry;
  readonly clock: Clock;
  readonly random: Random;
  readonly events?: EventLog;
}

/**
 * Spreads leaving entries to all daemons. The daemon with the first signal calls all members of its
 * region, in groups, and two in each other region, which forward to theirs. A hash on each
 * membership probe detects entries that were missed because a call was lost.
 *
 * @example
 * ```ts
 * const gossip = new LeavingGossip({ leaving, membership, caller, methods, clock, random });
 * await gossip.pullBeforeReady();
 * ```
 */
export class LeavingGossip {
  readonly #leaving: LeavingSet;
  readonly #membership: Membership;
  readonly #caller: PeerCaller;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #events: EventLog;
  readonly #pending = new Map<string, LeavingEntry>();
  #isComplete = false;
  #nextPullAtMs = 0;
  #isFlushScheduled = false;
  #lastPauseCheckAtMs: number;
  #isCatchingUp = false;

  constructor(options: LeavingGossipOptions) {
    this.#leaving = options.leaving;
    this.#membership = options.membership;
    this.#caller = options.caller;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#events = options.events ?? new NullEventLog();
    this.#lastPauseCheckAtMs = options.clock.nowMs();
    options.clock.every(pauseCheckPeriodMs, () => {
      this.#checkForPause();
    });
    options.methods.register(pushMethod, (params) => {
      const { entries, tell } = pushSchema.parse(params);
      this.#receive(entries.map(decodeLeaving), tell);
      return Promise.resolve({});
    });
    options.methods.register(pullMethod, (params) => {
      const { hashes } = pullSchema.parse(params);
      return Promise.resolve({
        entries: this.#leaving.entriesInDifferingBuckets(hashes).map(encodeLeaving),
        // A peer that was paused itself may lack the same entries.
        isComplete: this.#isComplete && this.isCurrent,
      });
    });
    this.#membership.addDelegate({
      name: 'leaving',
      collect: () => ({ hash: this.#leaving.hash }),
      deliver: (payload, from) => {
        this.#compareHash(payload, from);
      },
    });
    this.#leaving.onChange((entries, isLocal) => {
      if (isLocal) this.#schedulePush(entries);
    });
  }

  /**
   * False after a pause of the process until the leaving set has been pulled again. New work must
   * wait, since an endpoint may have been announced as leaving during the pause.
   */
  get isCurrent(): boolean {
    this.#checkForPause();
    return !this.#isCatchingUp;
  }

  /**
   * Pulls the leaving set from a peer that has a complete one. Call it after joining and before
   * the daemon takes requests.
   *
   * @returns false when no such peer answered within 3 s, as when all daemons start at once; the
   * set is then built from the cloud's notices and list and from the endpoints themselves.
   */
  async pullBeforeReady(): Promise<boolean> {
    const hasPulled = await this.#pullFromAny();
    this.#isComplete = true;
    if (!hasPulled) {
      this.#events.warn(
        EventId.LeavingPullFailed,
        'no peer returned a complete leaving set; starting without it',
        {
          peers: this.#others().length,
        },
      );
    }
    return hasPulled;
  }

  /**
   * Pushes the whole set to peers chosen as for a pull, before this daemon stops: it may be the
   * only one that has received a signal.
   */
  async pushBeforeStop(): Promise<void> {
    const entries = this.#leaving.entries();
    if (entries.length === 0) return;
    await Promise.all(this.#pullPeers().map((peer) => this.#push(peer, entries, wholeRegion)));
  }

  #checkForPause(): void {
    const nowMs = this.#clock.nowMs();
    const wasPaused = nowMs - this.#lastPauseCheckAtMs > maxPauseMs;
    this.#lastPauseCheckAtMs = nowMs;
    // A daemon that has not pulled its first set yet takes no work anyway.
    if (!wasPaused || this.#isCatchingUp || !this.#isComplete) return;
    this.#isCatchingUp = true;
    void this.#pullFromAny().then(() => {
      this.#isCatchingUp = false;
    });
  }

  /** @returns false when no peer with a complete set answered within 3 s. */
  async #pullFromAny(): Promise<boolean> {
    const deadlineAtMs = this.#clock.nowMs() + pullTimeoutMs;
    for (;;) {
      const answers = await Promise.all(this.#pullPeers().map((peer) => this.#pull(peer)));
      if (answers.includes(true)) return true;
      const nowMs = this.#clock.nowMs();
      if (nowMs >= deadlineAtMs) return false;
      await this.#clock.sleepUntil(Math.min(deadlineAtMs, nowMs + 250));
    }
  }

  #receive(entries: readonly LeavingEntry[], tell: ForwardTargets): void {
    const changed = this.#leaving.mergeFromPeer(entries);
    const unsent = entries.filter(({ subject }) => this.#pending.delete(subject));
    if (tell !== wholeRegion) {
      for (const id of tell) {
        const member = this.#membership.member(id);
        if (member) void this.#pushWithRetries(member, entries);
      }
      return;
    }
    const toForward = new Map([...changed, ...unsent].map((entry) => [entry.subject, entry]));
    if (toForward.size > 0) this.#pushToOwnRegion([...toForward.values()]);
  }

  #schedulePush(entries: readonly LeavingEntry[]): void {
    for (const entry of entries) this.#pending.set(entry.subject, entry);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    const delayMs = batchDelayMs + this.#random.float() * batchJitterMs;
    this.#clock.schedule(this.#clock.nowMs() + delayMs, () => {
      this.#isFlushScheduled = false;
      const due = [...this.#pending.values()];
      this.#pending.clear();
      if (due.length > 0) this.#pushToAllRegions(due);
    });
  }

  #pushToAllRegions(entries: readonly LeavingEntry[]): void {
    this.#pushToOwnRegion(entries);
    const ownRegion = this.#membership.self.region;
    const regions = new Set([...this.#others(), ...this.#membership.lostMembers()].map(regionOf));
    for (const region of regions) {
      if (region !== ownRegion) void this.#pushToOtherRegion(region, entries);
    }
  }

  /**
   * Pushes to two daemons of another region. An unreachable region is retried until it answers or
   * the VMs are long gone (a drained endpoint outlives its deadline): after a partition, only this
   * push delivers the signal before membership has healed.
   */
  async #pushToOtherRegion(region: string, entries: readonly LeavingEntry[]): Promise<void> {
    const deadlineAtMs =
      regionRetryTimeoutMs + Math.max(...entries.map(({ leavingAtMs }) => leavingAtMs));
    for (;;) {
      const present = this.#others().filter((member) => member.region === region);
      const lost = this.#membership.lostMembers().filter((member) => member.region === region);
      // Taken from the end, so lost members are the last resort.
      const candidates = [...this.#shuffled(lost), ...this.#shuffled(present)];
      const relays = Array.from({ length: relaysPerRegion }, () =>
        this.#pushToOneOf(candidates, entries),
      );
      if ((await Promise.all(relays)).includes(true)) return;
      const nowMs = this.#clock.nowMs();
      if (nowMs >= deadlineAtMs) return;
      await this.#clock.sleepUntil(nowMs + regionRetryIntervalMs);
    }
  }

  #pushToOwnRegion(entries: readonly LeavingEntry[]): void {
    const { region } = this.#membership.self;
    const members = this.#shuffled(this.#others().filter((member) => member.region === region));
    for (let start = 0; start < members.length; start += pushGroupSize) {
      void this.#pushToGroup(members.slice(start, start + pushGroupSize), entries);
    }
  }

  /** Pushes to the first member of a group that answers, which forwards to the rest. */
  async #pushToGroup(group: readonly Member[], entries: readonly LeavingEntry[]): Promise<void> {
    for (const [index, head] of group.entries()) {
      const rest = group.slice(index + 1).map(({ id }) => id);
      if (await this.#push(head, entries, rest)) return;
      void this.#pushWithRetries(head, entries);
    }
  }

  /** Tries candidates from the shared list until one accepts the entries. */
  async #pushToOneOf(candidates: Member[], entries: readonly LeavingEntry[]): Promise<boolean> {
    for (let attempt = 0; attempt < pushAttempts; attempt++) {
      const candidate = candidates.pop();
      if (!candidate) return false;
      if (await this.#push(candidate, entries, wholeRegion)) return true;
    }
    return false;
  }

  async #pushWithRetries(member: Member, entries: readonly LeavingEntry[]): Promise<void> {
    for (let attempt = 0; attempt < pushAttempts; attempt++) {
      if (await this.#push(member, entries, [])) return;
      const current = this.#membership.member(member.id);
      if (!current || !isPresent(current)) return;
    }
  }

  async #push(
    member: Member,
    entries: readonly LeavingEntry[],
    tell: ForwardTargets,
  ): Promise<boolean> {
    const params = { entries: entries.map(encodeLeaving), tell };
    return (await this.#call(member, pushMethod, params)) !== undefined;
  }

  #compareHash(payload: unknown, from: Member): void {
    const parsed = payloadSchema.safeParse(payload);
    const ownHash = this.#leaving.hash;
    if (!parsed.success || parsed.data.hash === ownHash) return;
    const nowMs = this.#clock.nowMs();
    if (nowMs < this.#nextPullAtMs) return;
    this.#nextPullAtMs = nowMs + minPullIntervalMs;
    this.#clock.schedule(nowMs + hashMismatchGraceMs, () => {
      // If the set has changed meanwhile, the next probe compares again.
      if (this.#leaving.hash === ownHash) void this.#pull(from);
    });
  }

  /**
   * Peers to pull from at once: the set of a single peer may lack entries that have not reached its
   * region yet, as just after a partition. Peers of the own region receive its entries first.
   */
  #pullPeers(): Member[] {
    const { region } = this.#membership.self;
    const peers = this.#shuffled(this.#others());
    const own = peers.filter((peer) => peer.region === region).slice(0, maxOwnRegionPullPeers);
    const remote = peers
      .filter((peer) => peer.region !== region)
      .slice(0, maxPullPeers - own.length);
    return [...own, ...remote];
  }

  /** @returns whether the peer's set was complete. */
  async #pull(peer: Member): Promise<boolean> {
    const answer = pullReplySchema.safeParse(
      await this.#call(peer, pullMethod, { hashes: this.#leaving.bucketHashes() }),
    );
    if (!answer.success) return false;
    this.#leaving.mergeFromPeer(answer.data.entries.map(decodeLeaving));
    return answer.data.isComplete;
  }

  async #call(member: Member, method: string, params: unknown): Promise<unknown> {
    try {
      return await this.#caller.call(member.rpcUrl, method, params, {
        deadlineAtMs: this.#clock.nowMs() + callTimeoutMs,
      });
    } catch {
      // Lost calls are expected; retries and the hash on the probes compensate for them.
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

function regionOf({ region }: Member): string {
  return region;
}
