import { LinkRateLimiter, TrafficClass } from '../capacity/index.js';
import type { Clock } from '../core/index.js';
import { MemberStatus, type Membership } from '../membership/index.js';

/** Direction of traffic relative to this daemon; each direction has a rate limit of its own. */
export enum LinkDirection {
  Out = 'out',
  In = 'in',
}

/** Options of {@link RegionLinks}. */
export interface RegionLinksOptions {
  readonly clock: Clock;
  readonly membership: () => Membership;
  /** Rate of the link to another region in each direction, in bits per second. */
  readonly bitsPerS: number;
}

/**
 * Limits this daemon's traffic to other regions to its share of the links. Traffic within the region
 * is not limited.
 *
 * @example
 * ```ts
 * await links.acquire(view.region, LinkDirection.Out, TrafficClass.Requests, bytes, signal);
 * ```
 */
export class RegionLinks {
  readonly #options: RegionLinksOptions;
  readonly #limiters = new Map<string, LinkRateLimiter>();
  #share = 1;
  #shareUpdatedAtMs = -Infinity;

  constructor(options: RegionLinksOptions) {
    this.#options = options;
  }

  /** Whether a region is not this daemon's own. */
  isRemote(region: string): boolean {
    return region !== this.#options.membership().self.region;
  }

  /** Milliseconds until a message may be sent; 0 within the region. */
  delayMs(region: string, direction: LinkDirection, trafficClass: TrafficClass): number {
    return this.isRemote(region) ? this.#limiter(region, direction).delayMs(trafficClass) : 0;
  }

  /** Takes bytes from the limit; false when they may not pass now. */
  take(
    region: string,
    direction: LinkDirection,
    trafficClass: TrafficClass,
    bytes: number,
  ): boolean {
    return !this.isRemote(region) || this.#limiter(region, direction).take(trafficClass, bytes);
  }

  /** Waits until it has taken the bytes; returns early without taking them on an abort. */
  async acquire(
    region: string,
    direction: LinkDirection,
    trafficClass: TrafficClass,
    bytes: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted && !this.take(region, direction, trafficClass, bytes)) {
      const delayMs = this.delayMs(region, direction, trafficClass);
      await clock.sleepUntil(clock.nowMs() + Math.min(1_000, Math.max(1, delayMs)), signal);
    }
  }

  #limiter(region: string, direction: LinkDirection): LinkRateLimiter {
    const key = `${direction} ${region}`;
    let limiter = this.#limiters.get(key);
    if (!limiter) {
      limiter = new LinkRateLimiter({
        clock: this.#options.clock,
        rateBytesPerS: this.#options.bitsPerS / 8,
        share: () => this.#ownShare(),
        // No setting allows KV transfers between regions yet.
        allowsKvTransfers: () => false,
      });
      this.#limiters.set(key, limiter);
    }
    return limiter;
  }

  /** Updated at most once a second, since a stream takes from the limit with each token. */
  #ownShare(): number {
    const { clock, membership } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs < this.#shareUpdatedAtMs + 1_000) return this.#share;
    this.#shareUpdatedAtMs = nowMs;
    const { self } = membership();
    const alive = membership()
      .members()
      .filter(({ region, status }) => region === self.region && status === MemberStatus.Alive);
    this.#share = 1 / Math.max(1, alive.length);
    return this.#share;
  }
}
