import { LRUCache } from 'lru-cache';
import type { Clock } from '../core/index.js';
import {
  BatchScope,
  BroadcastKind,
  type BroadcastBatch,
  type BroadcastMessage,
} from './broadcast-message.js';

/** How a daemon reaches the others. Addresses are host:port. */
export interface BroadcastRoutes {
  /** All other daemons, if they are few enough for each to send to each; else undefined. */
  readonly peers: readonly string[] | undefined;
  /** The distributor of the own group; undefined when this daemon is the distributor. */
  readonly distributor: string | undefined;
  /** The other daemons of the own group. */
  readonly members: readonly string[];
  /** For each other group, its daemons by rank as distributor. */
  readonly otherGroups: readonly (readonly string[])[];
}

/** Options of {@link BroadcastRelay}. */
export interface BroadcastRelayOptions {
  readonly daemon: string;
  /** Address at which this daemon receives batches. */
  readonly address: string;
  readonly routes: () => BroadcastRoutes;
  readonly send: (address: string, batch: BroadcastBatch) => void;
  /** Called with each message of another daemon. */
  readonly deliver: (message: BroadcastMessage) => void;
  readonly clock: Clock;
}

/** Time for which a distributor collects messages, so that its members get few datagrams. */
const batchDelayMs = 50;

/** Messages of this length together fit into one datagram on any link. */
const maxBatchChars = 1_200;

/** Time for which a leaving endpoint is passed on once only, whichever daemons report it. */
const leavingRepeatMs = 5_000;

/** Leaving endpoints that are remembered as passed on. */
const maxPassedOn = 1_024;

/** Messages that may wait; further ones are dropped, as datagrams may be. */
const maxPendingMessages = 5_000;

/** A distributor that has sent nothing for this long may be another daemon by now. */
const senderTimeoutMs = 4_000;

/** Bounds the memory, as anybody can send to a UDP port. */
const maxKnownSenders = 1_024;

/** Daemons of another group that are tried while its distributor is not known. */
const guessedDistributors = 2;

/**
 * Decides to whom a broadcast message goes. Few daemons send to each other directly. With many, each
 * sends to the distributor of its group, which passes the messages of all its members on in batches:
 * to its members, and to the distributors of the other groups for theirs. A daemon then sends and
 * receives a number of datagrams that does not grow with the number of daemons. Messages may be
 * lost or come twice.
 */
export class BroadcastRelay {
  readonly #options: BroadcastRelayOptions;
  readonly #forMembers: BroadcastMessage[] = [];
  readonly #forGroups: BroadcastMessage[] = [];
  /** Last time at which an address sent on messages of its group, in epoch milliseconds. */
  readonly #sentOnAtMs = new LRUCache<string, number>({ max: maxKnownSenders });
  /** Time at which the report of a leaving endpoint was passed on, in epoch milliseconds. */
  readonly #passedOnAtMs = new LRUCache<string, number>({ max: maxPassedOn });
  #dropped = 0;
  #cancelFlush: (() => void) | undefined;

  constructor(options: BroadcastRelayOptions) {
    this.#options = options;
  }

  /** Messages that were dropped because too many were waiting. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Sends a message of this daemon to all others. */
  publish(message: BroadcastMessage): void {
    const { peers, distributor } = this.#options.routes();
    if (peers) this.#send(peers, BatchScope.Receiver, [message]);
    else if (distributor !== undefined) this.#send([distributor], BatchScope.Everyone, [message]);
    else this.#enqueue([message], [this.#forMembers, this.#forGroups]);
  }

  /** Delivers a batch of another daemon and passes it on as far as its scope says. */
  receive({ scope, senderAddress, messages }: BroadcastBatch): void {
    for (const message of messages) this.#options.deliver(message);
    if (scope === BatchScope.Receiver) return;
    const news = messages.filter((message) => this.#isNews(message));
    if (scope === BatchScope.Everyone) {
      this.#enqueue(news, [this.#forMembers, this.#forGroups]);
    } else {
      this.#sentOnAtMs.set(senderAddress, this.#options.clock.nowMs());
      const isDistributor = this.#options.routes().distributor === undefined;
      if (isDistributor) this.#enqueue(news, [this.#forMembers]);
    }
  }

  stop(): void {
    this.#cancelFlush?.();
    this.#cancelFlush = undefined;
  }

  /** Whether a message says what was not passed on lately: many daemons hear of a leaving at once. */
  #isNews(message: BroadcastMessage): boolean {
    if (message[0] !== BroadcastKind.Leaving) return true;
    const [, endpointId] = message;
    const nowMs = this.#options.clock.nowMs();
    const isNews = nowMs >= (this.#passedOnAtMs.get(endpointId) ?? -Infinity) + leavingRepeatMs;
    if (isNews) this.#passedOnAtMs.set(endpointId, nowMs);
    return isNews;
  }

  #enqueue(messages: readonly BroadcastMessage[], queues: readonly BroadcastMessage[][]): void {
    for (const queue of queues) {
      const free = Math.max(0, maxPendingMessages - queue.length);
      this.#dropped += Math.max(0, messages.length - free);
      queue.push(...messages.slice(0, free));
    }
    const { clock } = this.#options;
    this.#cancelFlush ??= clock.schedule(clock.nowMs() + batchDelayMs, () => {
      this.#flush();
    });
  }

  #flush(): void {
    this.#cancelFlush = undefined;
    const { members, otherGroups } = this.#options.routes();
    this.#send(members, BatchScope.Receiver, this.#forMembers.splice(0));
    const distributors = otherGroups.flatMap((group) => this.#distributorsOf(group));
    this.#send(distributors, BatchScope.Group, this.#forGroups.splice(0));
  }

  /** The daemon that last sent on messages of a group, or the first in rank while none did. */
  #distributorsOf(group: readonly string[]): readonly string[] {
    const sinceMs = this.#options.clock.nowMs() - senderTimeoutMs;
    let latest: string | undefined;
    let latestAtMs = sinceMs;
    for (const address of group) {
      const sentOnAtMs = this.#sentOnAtMs.get(address) ?? -Infinity;
      if (sentOnAtMs <= latestAtMs) continue;
      latest = address;
      latestAtMs = sentOnAtMs;
    }
    return latest === undefined ? group.slice(0, guessedDistributors) : [latest];
  }

  #send(
    addresses: readonly string[],
    scope: BatchScope,
    messages: readonly BroadcastMessage[],
  ): void {
    if (messages.length === 0) return;
    const { daemon, address: senderAddress, send } = this.#options;
    for (const part of splitByLength(messages)) {
      const batch = { scope, sender: daemon, senderAddress, messages: part };
      for (const address of addresses) send(address, batch);
    }
  }
}

/** Splits messages into parts that each fit into a datagram. */
function splitByLength(messages: readonly BroadcastMessage[]): BroadcastMessage[][] {
  const parts: BroadcastMessage[][] = [];
  let chars = Infinity;
  for (const message of messages) {
    const { length } = JSON.stringify(message);
    if (chars + length > maxBatchChars) {
      parts.push([]);
      chars = 0;
    }
    parts.at(-1)?.push(message);
    chars += length;
  }
  return parts;
}
