import type { Clock } from '../core/index.js';

/** Options of {@link KvTransferQueue}. */
export interface KvTransferQueueOptions {
  readonly clock: Clock;
  /** Rate that all transfers of this daemon's jobs share, in bytes per second. */
  readonly bytesPerS: () => number;
}

interface Slot {
  readonly startAtMs: number;
  readonly endAtMs: number;
}

/**
 * Serializes the KV transfers that this daemon starts. In parallel, each transfer would end as late
 * as the last one, and a reclaim deadline could abort them all.
 *
 * @example
 * ```ts
 * queue.reserve(requestId, bytes);
 * await queue.waitForTurn(requestId, signal);
 * ```
 */
export class KvTransferQueue {
  readonly #options: KvTransferQueueOptions;
  readonly #slots = new Map<string, Slot>();
  #freeAtMs = 0;

  constructor(options: KvTransferQueueOptions) {
    this.#options = options;
  }

  /** Milliseconds until the last reserved transfer ends. */
  backlogMs(): number {
    return Math.max(0, this.#freeAtMs - this.#options.clock.nowMs());
  }

  /** Reserves a slot after the existing ones, so that later estimates include it. */
  reserve(requestId: string, bytes: number): void {
    const { clock, bytesPerS } = this.#options;
    const nowMs = clock.nowMs();
    for (const [id, { endAtMs }] of this.#slots) if (endAtMs < nowMs) this.#slots.delete(id);
    const startAtMs = nowMs + this.backlogMs();
    this.#freeAtMs = startAtMs + (bytes / bytesPerS()) * 1_000;
    this.#slots.set(requestId, { startAtMs, endAtMs: this.#freeAtMs });
  }

  /** Resolves when the reserved slot starts or `signal` aborts; at once without a slot. */
  async waitForTurn(requestId: string, signal: AbortSignal): Promise<void> {
    const slot = this.#slots.get(requestId);
    if (slot) await this.#options.clock.sleepUntil(slot.startAtMs, signal);
  }
}
