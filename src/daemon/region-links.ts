import { LinkRateLimiter, TrafficClass } from '../capacity/index.js';
import type { Clock } from '../core/index.js';
import { MemberStatus, type Membership } from '../membership/index.js';

/** Way of the bytes as this daemon sees it; each way has a rate of its own. */
export enum LinkDirection {
  Out = 'out',
  In = 'in',
}

/** Options of {@link RegionLinks}. */
export interface RegionLinksOptions {
  readonly clock: Clock;
  readonly membership: () => Membership;
  /** Rate of the link to another region, each way. */
  readonly bitsPerS: number;
}

/**
 * The daemon's share of the links from its region to the others. Traffic within the region is not
 * counted.
 *
 * @example
 * ```ts
 * await links.pass(view.region, LinkDirection.Out, LinkClass.Requests, bytes, signal);
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

  /** Whether traffic with a region leaves this daemon's own. */
  isRemote(region: string): boolean {
    return region !== this.#options.membership().self.region;
  }

  /** Time until a message may go; 0 within the region. */
  delayMs(region: string, direction: LinkDirection, trafficClass: TrafficClass): number {
    return this.isRemote(region) ? this.#limiter(region, direction).delayMs(trafficClass) : 0;
  }

  /** Takes bytes if they may go now. */
  take(
    region: string,
    direction: LinkDirection,
    trafficClass: TrafficClass,
    bytes: number,
  ): boolean {
    return !this.isRemote(region) || this.#limiter(region, direction).take(trafficClass, bytes);
  }

  /** Resolves when the bytes may go; when `signal` aborts, at once and without taking them. */
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

  /** Counted once a second: a stream takes from the budget with each token. */
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
