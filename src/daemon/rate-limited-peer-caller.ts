import { TrafficClass } from '../capacity/index.js';
import type { Clock } from '../core/index.js';
import { PeerCaller, type PeerCallOptions } from '../rpc/index.js';
import { LinkDirection, type RegionLinks } from './region-links.js';

/** Options of {@link RateLimitedPeerCaller}. */
export interface RateLimitedPeerCallerOptions {
  readonly caller: PeerCaller;
  readonly links: RegionLinks;
  /** Region of the daemon at an RPC URL; undefined for an unknown daemon. */
  readonly regionOf: (peerUrl: string) => string | undefined;
  readonly clock: Clock;
}

/** Prefixes of methods that carry callers' requests; all others are control traffic. */
const requestMethodPrefixes = ['calls.', 'jobs.'] as const;

/**
 * {@link PeerCaller} that applies the rate limit of the link to calls to other regions. Control
 * traffic has priority over callers' requests.
 */
export class RateLimitedPeerCaller extends PeerCaller {
  readonly #options: RateLimitedPeerCallerOptions;

  constructor(options: RateLimitedPeerCallerOptions) {
    super();
    this.#options = options;
  }

  override async call(
    peerUrl: string,
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<unknown> {
    const { caller, links, regionOf, clock } = this.#options;
    const region = regionOf(peerUrl);
    if (region !== undefined && links.isRemote(region)) {
      const isRequest = requestMethodPrefixes.some((prefix) => method.startsWith(prefix));
      const trafficClass = isRequest ? TrafficClass.Requests : TrafficClass.Control;
      const bytes = Buffer.byteLength(JSON.stringify(params ?? null));
      const deadline = new AbortController();
      const cancel = clock.schedule(options.deadlineAtMs, () => deadline.abort());
      await links.acquire(region, LinkDirection.Out, trafficClass, bytes, deadline.signal);
      cancel();
    }
    return caller.call(peerUrl, method, params, options);
  }
}
