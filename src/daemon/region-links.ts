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
  readonly #budgets = new Map<string, LinkRateLimiter>();
  #share = 1;
  #shareAtMs = -Infinity;

  constructor(options: RegionLinksOptions) {
    this.#options = options;
  }

  /** Whether traffic with a region leaves this daemon's own. */
  crosses(region: string): boolean {
    return region !== this.#options.membership().self.region;
  }

  /** Time until a message may go; 0 within the region. */
  delayMs(region: string, direction: LinkDirection, linkClass: TrafficClass): number {
    return this.crosses(region) ? this.#budget(region, direction).delayMs(linkClass) : 0;
  }

  /** Takes bytes if they may go now. */
  take(region: string, direction: LinkDirection, linkClass: TrafficClass, bytes: number): boolean {
    return !this.crosses(region) || this.#budget(region, direction).take(linkClass, bytes);
  }

  /** Resolves when the bytes may go; when `signal` aborts, at once and without taking them. */
  async pass(
    region: string,
    direction: LinkDirection,
    linkClass: TrafficClass,
    bytes: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted && !this.take(region, direction, linkClass, bytes)) {
      const delayMs = this.delayMs(region, direction, linkClass);
      await clock.sleepUntil(clock.nowMs() + Math.min(1_000, Math.max(1, delayMs)), signal);
    }
  }

  #budget(region: string, direction: LinkDirection): LinkRateLimiter {
    const key = `${direction} ${region}`;
    let budget = this.#budgets.get(key);
    if (!budget) {
      budget = new LinkRateLimiter({
        clock: this.#options.clock,
        rateBytesPerS: this.#options.bitsPerS / 8,
        share: () => this.#ownShare(),
        // No setting allows KV transfers between regions yet.
        allowsKvTransfers: () => false,
      });
      this.#budgets.set(key, budget);
    }
    return budget;
  }

  /** Counted once a second: a stream takes from the budget with each token. */
  #ownShare(): number {
    const { clock, membership } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs < this.#shareAtMs + 1_000) return this.#share;
    this.#shareAtMs = nowMs;
    const { self } = membership();
    const alive = membership()
      .members()
      .filter(({ region, status }) => region === self.region && status === MemberStatus.Alive);
    this.#share = 1 / Math.max(1, alive.length);
    return this.#share;
  }
}
