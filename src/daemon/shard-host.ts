import { hash32, rendezvousOrder, type Clock } from '../core/index.js';
import { MemberStatus, type Member, type Membership } from '../membership/index.js';

/** What a daemon runs for one shard while it is the shard's home, or stands in for it. */
export abstract class ShardPart {
  /** Resolves when the shard's state is caught up. */
  abstract readonly ready: Promise<void>;
  abstract stop(deadlineAtMs: number): Promise<void>;
}

/** Options of {@link ShardHost}. */
export interface ShardHostOptions<P extends ShardPart> {
  /** Names the shards in placement, such as `claims`. */
  readonly name: string;
  readonly shards: number;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly create: (shard: number) => P;
  /** A part that has not been asked for so long and is not at home here is stopped. */
  readonly idleMs?: number;
}

interface HostedPart<P> {
  readonly part: P;
  lastUsedAtMs: number;
}

const rebalancePeriodMs = 1_000;

/**
 * Decides which daemon is the home of each shard, and keeps the parts of those that are at home
 * here. Homes are an optimisation: two daemons that both take themselves for the home are safe,
 * since the log's order decides between their entries.
 *
 * @example
 * ```ts
 * const host = new ShardHost({ name: 'claims', shards: 4, membership, clock, create });
 * host.start();
 * ```
 */
export class ShardHost<P extends ShardPart> {
  readonly #options: ShardHostOptions<P>;
  readonly #parts = new Map<number, HostedPart<P>>();
  readonly #homes = new Map<number, Member | undefined>();
  #stopRebalancing: (() => void) | undefined;

  constructor(options: ShardHostOptions<P>) {
    this.#options = options;
    options.membership.onChange(() => {
      this.#homes.clear();
    });
  }

  /** Shard of a key. */
  shardOf(key: string): number {
    return hash32(key) % this.#options.shards;
  }

  /** Starts the parts that are at home here, now and whenever the members change. */
  start(): void {
    this.#rebalance();
    this.#stopRebalancing = this.#options.clock.every(rebalancePeriodMs, () => {
      this.#rebalance();
    });
  }

  /** The other daemon that is the shard's home; undefined when it is this one. */
  remoteHome(shard: number): Member | undefined {
    const home = this.#home(shard);
    return home && home.id !== this.#options.membership.self.id ? home : undefined;
  }

  isHome(shard: number): boolean {
    return this.remoteHome(shard) === undefined;
  }

  /** The part of a shard, started when necessary; wait for its `ready` before use. */
  part(shard: number): P {
    const nowMs = this.#options.clock.nowMs();
    let hosted = this.#parts.get(shard);
    if (!hosted) {
      hosted = { part: this.#options.create(shard), lastUsedAtMs: nowMs };
      this.#parts.set(shard, hosted);
    }
    hosted.lastUsedAtMs = nowMs;
    return hosted.part;
  }

  /** Parts that run here, by shard. */
  hosted(): readonly P[] {
    return [...this.#parts.values()].map(({ part }) => part);
  }

  async stop(deadlineAtMs: number): Promise<void> {
    this.#stopRebalancing?.();
    await Promise.all(this.hosted().map((part) => part.stop(deadlineAtMs)));
    this.#parts.clear();
  }

  #home(shard: number): Member | undefined {
    if (!this.#homes.has(shard)) this.#homes.set(shard, this.#place(shard));
    return this.#homes.get(shard);
  }

  #place(shard: number): Member | undefined {
    const { membership, name } = this.#options;
    const alive = membership.members().filter(({ status }) => status === MemberStatus.Alive);
    const first = rendezvousOrder(
      `${name}.${shard}`,
      alive.map(({ id }) => id),
    )[0];
    return first === undefined ? undefined : membership.member(first);
  }

  #rebalance(): void {
    const { shards, clock, idleMs = 60_000 } = this.#options;
    for (let shard = 0; shard < shards; shard++) {
      if (this.isHome(shard)) this.part(shard);
    }
    const nowMs = clock.nowMs();
    for (const [shard, hosted] of this.#parts) {
      if (nowMs - hosted.lastUsedAtMs < idleMs) continue;
      this.#parts.delete(shard);
      void hosted.part.stop(nowMs + idleMs);
    }
  }
}

/** Shard of a job or claim: its id starts with the shard, so that any daemon finds the home. */
export function shardOfId(id: string): number {
  const shard = Number.parseInt(id, 10);
  return Number.isNaN(shard) || shard < 0 ? 0 : shard;
}
