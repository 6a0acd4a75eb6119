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
 * Turns of the KV transfers that this daemon arranges. One after the other, since in parallel each
 * would arrive as late as the last and a reclaim deadline would lose them all.
 *
 * @example
 * ```ts
 * transfers.reserve(requestId, bytes);
 * await transfers.turn(requestId, signal);
 * ```
 */
export class KvTransferQueue {
  readonly #options: KvTransferQueueOptions;
  readonly #slots = new Map<string, Slot>();
  #freeAtMs = 0;

  constructor(options: KvTransferQueueOptions) {
    this.#options = options;
  }

  /** Milliseconds that the reserved transfers still take. */
  backlogMs(): number {
    return Math.max(0, this.#freeAtMs - this.#options.clock.nowMs());
  }

  /** Reserves a turn behind the others, so that later estimates count it. */
  reserve(requestId: string, bytes: number): void {
    const { clock, bytesPerS } = this.#options;
    const nowMs = clock.nowMs();
    for (const [id, { endAtMs }] of this.#slots) if (endAtMs < nowMs) this.#slots.delete(id);
    const startAtMs = nowMs + this.backlogMs();
    this.#freeAtMs = startAtMs + (bytes / bytesPerS()) * 1_000;
    this.#slots.set(requestId, { startAtMs, endAtMs: this.#freeAtMs });
  }

  /** Resolves when the reserved turn has come; at once without one. */
  async waitForTurn(requestId: string, signal: AbortSignal): Promise<void> {
    const slot = this.#slots.get(requestId);
    if (slot) await this.#options.clock.sleepUntil(slot.startAtMs, signal);
  }
}
