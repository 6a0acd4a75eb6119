import type { MemberUpdate } from './member.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  sendCount: number;
}

/**
 * Updates waiting to be piggybacked on messages. Each is sent about `3 log2 n` times, which spreads
 * it to all n members with high probability; the least sent go first.
 *
 * @internal
 */
export class UpdateQueue {
  readonly #updates = new Map<string, QueuedUpdate>();

  /** Queues an update in place of an older one about the same daemon. */
  push(update: MemberUpdate): void {
    this.#updates.set(update[0], { update, sendCount: 0 });
  }

  /** Takes up to `limit` updates for one message to one of `memberCount` members. */
  take(limit: number, memberCount: number): MemberUpdate[] {
    if (this.#updates.size === 0) return [];
    const sendLimit = 3 * Math.ceil(Math.log2(memberCount + 1));
    const chosen = [...this.#updates.values()]
      .sort((a, b) => a.sendCount - b.sendCount)
      .slice(0, limit);
    for (const queued of chosen) {
      queued.sendCount += 1;
      if (queued.sendCount >= sendLimit) this.#updates.delete(queued.update[0]);
    }
    return chosen.map(({ update }) => update);
  }
}
