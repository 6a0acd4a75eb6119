import type { Clock } from '../core/index.js';

/** Classes of traffic between regions, most important first. */
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
  /**
   * Share of the rate that this daemon may use, read on each call; 1/n with n daemons per region.
   */
  readonly share: () => number;
  /**
   * Whether KV transfers may cross regions; KV exports for a handover otherwise stay within one.
   */
  readonly allowsKvTransfers: () => boolean;
}

const burstS = 1;
const maxKvRatio = 0.3;

/**
 * Bytes that must be left in the bucket for a class to send, as a ratio of the bytes of one second.
 * Control traffic may overdraw the bucket, and the other classes then wait for the refill; KV
 * transfers get only what the others leave.
 */
const minLevelRatios: Readonly<Record<TrafficClass, number>> = {
  [TrafficClass.Control]: -1,
  [TrafficClass.Requests]: 0,
  [TrafficClass.StreamText]: 0.1,
  [TrafficClass.KvTransfers]: 0.5,
};

/**
 * Token bucket for one direction of the link between two regions. A message may overdraw the
 * bucket, which is refilled before more bytes are granted, so that the average rate holds for
 * messages of any size.
 *
 * @example
 * ```ts
 * if (!link.take(TrafficClass.Requests, bytes)) return 'link is full';
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

  /**
   * Takes the bytes of a message from the bucket.
   *
   * @returns false when the message must wait or use another route.
   */
  take(trafficClass: TrafficClass, bytes: number): boolean {
    if (this.delayMs(trafficClass) > 0) return false;
    this.#levelBytes -= bytes;
    if (trafficClass === TrafficClass.KvTransfers) this.#kvLevelBytes -= bytes;
    return true;
  }

  /**
   * Milliseconds until a message of the class may be sent, if nothing else is sent; infinite for KV
   * transfers that are not allowed. The cost of a spill-over counts it as waiting time.
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
