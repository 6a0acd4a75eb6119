import type { Clock } from '../core/index.js';

/** Traffic between regions, most important first. */
export enum TrafficClass {
  Control = 'control',
  Requests = 'requests',
  StreamText = 'stream_text',
  KvTransfers = 'kv_transfers',
}

/** Options of {@link LinkRateLimiter}. */
export interface LinkRateLimiterOptions {
  readonly clock: Clock;
  /** Rate of the whole link in one direction, in bytes per second; 20 Mbit/s by default. */
  readonly rateBytesPerS?: number;
  /** Share of the rate that this daemon may use, read on each take; 1/n with n daemons a region. */
  readonly share: () => number;
  /** KV export for a handover stays within a region unless a setting allows more. */
  readonly allowsKvTransfers: () => boolean;
}

const burstS = 1;
const maxKvRatio = 0.3;

/**
 * Part of a second's bytes that must be left for a class to send. Control may run into debt, which
 * the other classes then wait for; KV transfers get only what the others leave.
 */
const minLevelRatios: Readonly<Record<TrafficClass, number>> = {
  [TrafficClass.Control]: -1,
  [TrafficClass.Requests]: 0,
  [TrafficClass.StreamText]: 0.1,
  [TrafficClass.KvTransfers]: 0.5,
};

/**
 * Token bucket for one direction of the link between two regions. Bytes taken are paid back before
 * more are granted, so that the rate holds on average however large a single message is.
 *
 * @example
 * ```ts
 * if (!link.take(LinkClass.Requests, bytes)) return 'link is full';
 * ```
 */
export class LinkRateLimiter {
  readonly #clock: Clock;
  readonly #rateBytesPerS: number;
  readonly #share: () => number;
  readonly #allowsKvTransfers: () => boolean;
  #levelBytes: number;
  #kvLevelBytes = 0;
  #refilledAtMs: number;

  constructor(options: LinkRateLimiterOptions) {
    this.#clock = options.clock;
    this.#rateBytesPerS = options.rateBytesPerS ?? 20_000_000 / 8;
    this.#share = options.share;
    this.#allowsKvTransfers = options.allowsKvTransfers;
    this.#levelBytes = this.#ownRateBytesPerS() * burstS;
    this.#refilledAtMs = options.clock.nowMs();
  }

  /** Takes bytes for a message. @returns false when it must wait or go elsewhere. */
  take(trafficClass: TrafficClass, bytes: number): boolean {
    if (this.delayMs(trafficClass) > 0) return false;
    this.#levelBytes -= bytes;
    if (trafficClass === TrafficClass.KvTransfers) this.#kvLevelBytes -= bytes;
    return true;
  }

  /**
   * Milliseconds until a message of the class may go, if nothing else is sent; infinite for KV
   * transfers that are not allowed. The price of a spill-over counts it as waiting time.
   */
  delayMs(trafficClass: TrafficClass): number {
    this.#refill();
    const rate = this.#ownRateBytesPerS();
    const neededBytes = minLevelRatios[trafficClass] * rate * burstS;
    const delayMs = (Math.max(0, neededBytes - this.#levelBytes) / rate) * 1_000;
    if (trafficClass !== TrafficClass.KvTransfers) return delayMs;
    if (!this.#allowsKvTransfers()) return Infinity;
    const kvDelayMs = (Math.max(0, -this.#kvLevelBytes) / (rate * maxKvRatio)) * 1_000;
    return Math.max(delayMs, kvDelayMs);
  }

  #ownRateBytesPerS(): number {
    return this.#rateBytesPerS * this.#share();
  }

  #refill(): void {
    const nowMs = this.#clock.nowMs();
    const rate = this.#ownRateBytesPerS();
    const elapsedS = (nowMs - this.#refilledAtMs) / 1_000;
    this.#refilledAtMs = nowMs;
    this.#levelBytes = Math.min(rate * burstS, this.#levelBytes + rate * elapsedS);
    this.#kvLevelBytes = Math.min(0, this.#kvLevelBytes + rate * maxKvRatio * elapsedS);
  }
}
