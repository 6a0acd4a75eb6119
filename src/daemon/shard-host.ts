import { hash32, rendezvousOrder, type Clock } from '../core/index.js';
import { MemberStatus, type Member, type Membership } from '../membership/index.js';

/** State and work of one shard on this daemon, which owns the shard or replaces its owner. */
export abstract class LocalShard {
  /** Resolves when the shard's state has caught up with the log. */
  abstract readonly ready: Promise<void>;
  abstract stop(deadlineAtMs: number): Promise<void>;
}

/** Options of {@link ShardHost}. */
export interface ShardHostOptions<S extends LocalShard> {
  /** Prefix of the shards' keys in rendezvous hashing, such as `claims`. */
  readonly name: string;
  readonly shards: number;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly create: (shard: number) => S;
  /** A shard owned by another daemon is stopped here when it has not been used for this time. */
  readonly idleTimeoutMs?: number;
}

interface HostedShard<S> {
  readonly localShard: S;
  lastUsedAtMs: number;
}

const rebalancePeriodMs = 1_000;

/**
 * Decides which daemon owns each shard, and runs the shards that this daemon owns. Ownership is an
 * optimisation: two daemons that both consider themselves the owner are safe, since the order of the
 * log decides between their entries.
 *
 * @example
 * ```ts
 * const host = new ShardHost({ name: 'claims', shards: 4, membership, clock, create });
 * host.start();
 * ```
 */
export class ShardHost<S extends LocalShard> {
  readonly #options: ShardHostOptions<S>;
  readonly #localShards = new Map<number, HostedShard<S>>();
  readonly #owners = new Map<number, Member | undefined>();
  #stopRebalancing: (() => void) | undefined;

  constructor(options: ShardHostOptions<S>) {
    this.#options = options;
    options.membership.onChange(() => {
      this.#owners.clear();
    });
  }

  shardOf(key: string): number {
    return hash32(key) % this.#options.shards;
  }

  /** Runs the shards that this daemon owns, now and as members change. */
  start(): void {
    this.#rebalance();
    this.#stopRebalancing = this.#options.clock.every(rebalancePeriodMs, () => {
      this.#rebalance();
    });
  }

  /** The owner of a shard; undefined when it is this daemon. */
  remoteOwner(shard: number): Member | undefined {
    const owner = this.#ownerOf(shard);
    return owner && owner.id !== this.#options.membership.self.id ? owner : undefined;
  }

  isOwner(shard: number): boolean {
    return this.remoteOwner(shard) === undefined;
  }

  /** The shard on this daemon, started when necessary; wait for its `ready` before use. */
  localShard(shard: number): S {
    const nowMs = this.#options.clock.nowMs();
    let hosted = this.#localShards.get(shard);
    if (!hosted) {
      hosted = { localShard: this.#options.create(shard), lastUsedAtMs: nowMs };
      this.#localShards.set(shard, hosted);
    }
    hosted.lastUsedAtMs = nowMs;
    return hosted.localShard;
  }

  /** Shards that run on this daemon, owned or not. */
  hosted(): readonly S[] {
    return [...this.#localShards.values()].map(({ localShard }) => localShard);
  }

  async stop(deadlineAtMs: number): Promise<void> {
    this.#stopRebalancing?.();
    await Promise.all(this.hosted().map((localShard) => localShard.stop(deadlineAtMs)));
    this.#localShards.clear();
  }

  #ownerOf(shard: number): Member | undefined {
    if (!this.#owners.has(shard)) this.#owners.set(shard, this.#selectOwner(shard));
    return this.#owners.get(shard);
  }

  #selectOwner(shard: number): Member | undefined {
    const { membership, name } = this.#options;
    const alive = membership.members().filter(({ status }) => status === MemberStatus.Alive);
    const first = rendezvousOrder(
      `${name}.${shard}`,
      alive.map(({ id }) => id),
    )[0];
    return first === undefined ? undefined : membership.member(first);
  }

  #rebalance(): void {
    const { shards, clock, idleTimeoutMs = 60_000 } = this.#options;
    for (let shard = 0; shard < shards; shard++) {
      if (this.isOwner(shard)) this.localShard(shard);
    }
    const nowMs = clock.nowMs();
    for (const [shard, hosted] of this.#localShards) {
      if (nowMs - hosted.lastUsedAtMs < idleTimeoutMs) continue;
      this.#localShards.delete(shard);
      void hosted.localShard.stop(nowMs + idleTimeoutMs);
    }
  }
}

/** Shard of a job or claim, with which its id starts, so that every daemon can find the owner. */
export function shardOfId(id: string): number {
  const shard = Number.parseInt(id, 10);
  return Number.isNaN(shard) || shard < 0 ? 0 : shard;
}
