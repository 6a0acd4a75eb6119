import type { Clock, Random } from '../core/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import { DemandEstimator } from './demand-estimator.js';
import { GossipKind, type GossipMessage, type GossipReply } from './gossip-message.js';
import { MemberTable } from './member-table.js';
import {
  decodeMember,
  encodeMember,
  isPresent,
  MemberStatus,
  type Member,
  type MemberInfo,
  type MemberUpdate,
} from './member.js';
import { Membership, type DemandEstimate, type GossipDelegate } from './membership.js';
import type { PeerTransport } from './peer-transport.js';
import { UpdateQueue } from './update-queue.js';

/** Options of {@link SwimProtocol}. */
export interface SwimProtocolOptions {
  readonly self: MemberInfo;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  /** RPC base URLs of daemons from the settings and the cloud list; called for each use. */
  readonly seeds: () => readonly string[];
  readonly events?: EventLog;
  readonly periodMs?: number;
  readonly suspicionTimeoutMs?: number;
  /** Timeout of a direct probe and, separately, of the indirect ones. */
  readonly probeTimeoutMs?: number;
}

const maxUpdatesPerMessage = 8;
const indirectProbes = 3;
const syncTimeoutMs = 2_000;
/** Periods between attempts to reach a lost daemon or unknown seed; their cost stays constant. */
const reconnectEveryPeriods = 5;
/** Tables differ briefly after each change; only a lasting difference is worth a full list. */
const minSyncIntervalMs = 10_000;

/**
 * SWIM-style membership: in each period one random member is probed, directly and then through
 * three others, and updates are piggybacked on the probes. The cost per daemon does not grow with
 * the cluster size.
 *
 * @example
 * ```ts
 * const membership = new SwimProtocol({ self, transport, clock, random, seeds: () => urls });
 * await membership.join();
 * membership.start();
 * ```
 */
export class SwimProtocol extends Membership {
  readonly #transport: PeerTransport;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #seeds: () => readonly string[];
  readonly #events: EventLog;
  readonly #periodMs: number;
  readonly #suspicionTimeoutMs: number;
  readonly #probeTimeoutMs: number;
  readonly #table = new MemberTable();
  readonly #queue = new UpdateQueue();
  readonly #demand = new DemandEstimator();
  readonly #delegates: GossipDelegate[] = [];
  readonly #listeners = new Set<() => void>();
  #self: Member;
  #sortedMembers: readonly Member[] | undefined;
  #probeOrder: string[] = [];
  #rounds = 0;
  #nextSyncAtMs = 0;
  #stopTimer: (() => void) | undefined;

  constructor(options: SwimProtocolOptions) {
    super();
    this.#transport = options.transport;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#seeds = options.seeds;
    this.#events = options.events ?? new NullEventLog();
    this.#periodMs = options.periodMs ?? 1_000;
    this.#suspicionTimeoutMs = options.suspicionTimeoutMs ?? 5_000;
    this.#probeTimeoutMs = options.probeTimeoutMs ?? 400;
    const nowMs = options.clock.nowMs();
    this.#self = {
      ...options.self,
      // The start time, so that a restarted daemon supersedes its last run without stored state.
      incarnation: Math.floor(nowMs),
      status: MemberStatus.Alive,
      statusSinceMs: nowMs,
    };
    this.#transport.serve((message) => this.#handleMessage(message));
  }

  override get self(): Member {
    return this.#self;
  }

  override members(): readonly Member[] {
    if (!this.#sortedMembers) {
      const all = [...this.#table.present()];
      if (isPresent(this.#self)) all.push(this.#self);
      this.#sortedMembers = all.sort((a, b) => (a.id < b.id ? -1 : 1));
    }
    return this.#sortedMembers;
  }

  override lost(): readonly Member[] {
    return this.#table.lost();
  }

  override member(id: string): Member | undefined {
    return id === this.#self.id ? this.#self : this.#table.get(id);
  }

  override recentMemberCount(): number {
    return this.#table.present().length + this.#table.lost().length + 1;
  }

  override lostMembers(): readonly Member[] {
    return this.#table.lost();
  }

  override onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  override setDemand(demandPerS: ReadonlyMap<string, number>): void {
    this.#demand.setOwn(demandPerS);
  }

  override demandOf(workspaceId: string): DemandEstimate {
    return this.#demand.estimate(workspaceId, this.#table.present().length);
  }

  override addDelegate(delegate: GossipDelegate): void {
    this.#delegates.push(delegate);
  }

  /** Starts probing. */
  start(): void {
    this.#stopTimer ??= this.#clock.every(this.#periodMs, () => {
      this.#tick();
    });
  }

  /** Stops probing without notifying peers; used by tests and by {@link leave}. */
  stop(): void {
    this.#stopTimer?.();
    this.#stopTimer = undefined;
  }

  /**
   * Exchanges member lists with up to three seeds.
   *
   * @returns false when none answered, as when all daemons start at once; later rounds find them.
   */
  async join(): Promise<boolean> {
    const urls = this.#pickRandom(this.#seedUrls(), 3);
    const answers = await Promise.all(urls.map((url) => this.#sync(url)));
    return answers.includes(true);
  }

  /** Stops probing and notifies three members that this daemon stops on purpose. */
  async leave(): Promise<void> {
    this.stop();
    this.#self = { ...this.#self, status: MemberStatus.Left };
    this.#onMembersChanged();
    const peers = this.#pickRandom(this.#table.present(), 3);
    await Promise.all(peers.map((peer) => this.#ping(peer)));
  }

  #tick(): void {
    const nowMs = this.#clock.nowMs();
    this.#rounds += 1;
    this.#demand.expire(nowMs);
    this.#table.pruneLost(nowMs);
    for (const dead of this.#table.expireSuspects(nowMs, this.#suspicionTimeoutMs)) {
      this.#disseminate(dead);
    }
    if (this.#rounds % reconnectEveryPeriods === 0) this.#reconnect();
    const target = this.#nextTarget();
    if (target) void this.#probe(target);
  }

  /** Picks each member once per round in random order, so that a dead one is found in n periods. */
  #nextTarget(): Member | undefined {
    for (let refills = 0; refills < 2; refills++) {
      for (let id = this.#probeOrder.pop(); id !== undefined; id = this.#probeOrder.pop()) {
        const member = this.#table.get(id);
        if (member && isPresent(member)) return member;
      }
      const present = this.#table.present();
      this.#probeOrder = this.#pickRandom(present, present.length).map(({ id }) => id);
    }
    return undefined;
  }

  async #probe(target: Member): Promise<void> {
    if (await this.#ping(target)) return;
    const helpers = this.#pickRandom(
      this.#table.present().filter(({ id }) => id !== target.id),
      indirectProbes,
    );
    const answers = await Promise.all(helpers.map((helper) => this.#pingThrough(helper, target)));
    if (answers.includes(true)) return;
    this.#markSuspect(target.id);
  }

  /** @returns whether the member itself answered, in any incarnation. */
  async #ping(target: Member): Promise<boolean> {
    const reply = await this.#send(
      target.rpcUrl,
      this.#withStatusOf(this.#createMessage(GossipKind.Ping), target.id),
    );
    if (!reply) return false;
    if (reply.hash !== this.#table.hashWith(this.#self)) this.#scheduleSync(target.rpcUrl);
    return reply.from[0] === target.id;
  }

  async #pingThrough(helper: Member, target: Member): Promise<boolean> {
    const message = this.#createMessage(GossipKind.PingRequest);
    const reply = await this.#send(
      helper.rpcUrl,
      { ...message, target: encodeMember(target) },
      // The helper spends a probe timeout of its own on the target.
      2 * this.#probeTimeoutMs,
    );
    return reply?.reached ?? false;
  }

  #markSuspect(id: string): void {
    const member = this.#table.get(id);
    if (member?.status !== MemberStatus.Alive) return;
    this.#merge({
      ...member,
      status: MemberStatus.Suspect,
      statusSinceMs: this.#clock.nowMs(),
    });
    this.#events.info(EventId.MemberSuspected, 'daemon answered no probe and is suspect', {
      daemon: id,
    });
  }

  /** Contacts one lost daemon or unknown seed, so that the sides of a healed partition merge. */
  #reconnect(): void {
    const known = new Set(this.#table.present().map(({ rpcUrl }) => rpcUrl));
    const urls = new Set(this.#table.lost().map(({ rpcUrl }) => rpcUrl));
    for (const url of this.#seedUrls()) urls.add(url);
    const candidates = [...urls].filter((url) => !known.has(url));
    if (candidates.length > 0) void this.#sync(this.#random.pick(candidates));
  }

  #scheduleSync(rpcUrl: string): void {
    const nowMs = this.#clock.nowMs();
    if (nowMs < this.#nextSyncAtMs) return;
    this.#nextSyncAtMs = nowMs + minSyncIntervalMs;
    // Recent updates may still be spreading; a difference that remains after the delay is real.
    this.#clock.schedule(nowMs + minSyncIntervalMs / 2, () => {
      if (this.#stopTimer) void this.#sync(rpcUrl);
    });
  }

  async #sync(rpcUrl: string): Promise<boolean> {
    const message = this.#createMessage(GossipKind.Sync);
    const reply = await this.#send(
      rpcUrl,
      { ...message, updates: this.#fullList() },
      syncTimeoutMs,
    );
    return reply !== undefined;
  }

  async #send(
    rpcUrl: string,
    message: GossipMessage,
    timeoutMs = this.#probeTimeoutMs,
  ): Promise<GossipReply | undefined> {
    try {
      const reply = await this.#transport.send(rpcUrl, message, this.#clock.nowMs() + timeoutMs);
      this.#receive(reply);
      return reply;
    } catch {
      // An unanswered probe is an expected result, which the caller turns into a suspicion.
      return undefined;
    }
  }

  async #handleMessage(message: GossipMessage): Promise<GossipReply> {
    const isNewSender = this.#receive(message);
    if (message.kind === GossipKind.Sync) {
      return {
        ...this.#createDigest(),
        updates: message.hash === this.#table.hashWith(this.#self) ? [] : this.#fullList(),
        reached: true,
      };
    }
    let reached = true;
    if (message.kind === GossipKind.PingRequest && message.target) {
      reached = await this.#ping(decodeMember(message.target, this.#clock.nowMs()));
    }
    // A daemon that has just joined may have missed the updates before.
    if (isNewSender) this.#scheduleSync(message.from[3]);
    return { ...this.#withStatusOf(this.#createDigest(), message.from[0]), reached };
  }

  /**
   * Adds the status of a member that is not alive, so that the member can refute it before the
   * suspicion times out.
   */
  #withStatusOf<T extends Omit<GossipReply, 'reached'>>(digest: T, memberId: string): T {
    const member = this.#table.get(memberId);
    if (!member || member.status === MemberStatus.Alive) return digest;
    return { ...digest, updates: [...digest.updates, encodeMember(member)] };
  }

  /** @returns true when the sender was not known as alive in this incarnation. */
  #receive(message: GossipMessage | GossipReply): boolean {
    const nowMs = this.#clock.nowMs();
    const sender = decodeMember(message.from, nowMs);
    const isNewSender = sender.id !== this.#self.id && this.#merge(sender);
    for (const update of message.updates) this.#merge(decodeMember(update, nowMs));
    if (sender.id === this.#self.id) return false;
    const known = this.#table.get(sender.id);
    if (known && isPresent(known)) this.#demand.record(sender.id, message.demand, nowMs);
    for (const delegate of this.#delegates) {
      const payload = message.riders[delegate.name];
      if (payload !== undefined) delegate.deliver(payload, sender);
    }
    return isNewSender;
  }

  #merge(candidate: Member): boolean {
    if (candidate.id === this.#self.id) {
      this.#refute(candidate);
      return false;
    }
    const known = this.#table.get(candidate.id);
    if (!this.#table.merge(candidate)) return false;
    this.#disseminate(candidate, known);
    return true;
  }

  /** Raises the own incarnation above a reported status that this daemon is not alive. */
  #refute(reported: Member): void {
    if (reported.incarnation < this.#self.incarnation || this.#self.status === MemberStatus.Left) {
      return;
    }
    if (reported.rpcUrl !== this.#self.rpcUrl) {
      this.#events.warn(
        EventId.MemberNameTaken,
        'another daemon uses the name of this one; names must be unique',
        {
          daemon: reported.id,
          peerUrl: reported.rpcUrl,
        },
      );
      return;
    }
    if (reported.status === MemberStatus.Alive && reported.incarnation === this.#self.incarnation) {
      return;
    }
    this.#self = { ...this.#self, incarnation: reported.incarnation + 1 };
    this.#disseminate(this.#self);
  }

  #disseminate(member: Member, previous?: Member): void {
    this.#queue.push(encodeMember(member));
    this.#onMembersChanged();
    if (member.id === this.#self.id || previous?.status === member.status) return;
    if (isPresent(member) && !(previous && isPresent(previous))) {
      this.#events.info(EventId.MemberJoined, 'daemon joined', { daemon: member.id });
    } else if (!isPresent(member)) {
      this.#events.info(EventId.MemberLost, 'daemon is no longer a member', {
        daemon: member.id,
        status: member.status,
      });
    }
  }

  #onMembersChanged(): void {
    this.#sortedMembers = undefined;
    for (const listener of this.#listeners) listener();
  }

  #createMessage(kind: GossipKind): GossipMessage {
    return { ...this.#createDigest(), kind };
  }

  #createDigest(): Omit<GossipReply, 'reached'> {
    const riders: Record<string, unknown> = {};
    for (const delegate of this.#delegates) {
      const payload = delegate.collect();
      if (payload !== undefined) riders[delegate.name] = payload;
    }
    return {
      from: encodeMember(this.#self),
      updates: this.#queue.take(maxUpdatesPerMessage, this.#table.present().length + 1),
      demand: this.#demand.digest(),
      riders,
      hash: this.#table.hashWith(this.#self),
    };
  }

  #fullList(): MemberUpdate[] {
    return [...this.#table.all(), this.#self].map(encodeMember);
  }

  #seedUrls(): string[] {
    return this.#seeds().filter((url) => url !== this.#self.rpcUrl);
  }

  #pickRandom<T>(items: readonly T[], count: number): T[] {
    const pool = [...items];
    const chosen: T[] = [];
    while (chosen.length < count && pool.length > 0) {
      const index = this.#random.int(0, pool.length - 1);
      const item = pool[index];
      const last = pool.pop();
      if (item === undefined || last === undefined) break;
      if (index < pool.length) pool[index] = last;
      chosen.push(item);
    }
    return chosen;
  }
}
