import type { Clock } from '../core/index.js';
import { LeavingSource, vmLeavingEntry, type LeavingSet } from '../fleet/index.js';
import type { Membership } from '../membership/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import type { CloudApi, CloudVmList } from './cloud-api.js';
import { DataSource, type SourceFreshness } from './source-freshness.js';
import { isTopRanked } from './rendezvous-rank.js';

/** Options of {@link CloudWatcher}. */
export interface CloudWatcherOptions {
  readonly cloud: CloudApi;
  readonly region: string;
  readonly leaving: LeavingSet;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly freshness: SourceFreshness;
  readonly events?: EventLog;
  /**
   * Whether this daemon must poll regardless of its rank, as the holder of a controller's lease.
   */
  readonly shouldAlwaysPoll?: () => boolean;
  /** Called with each list that is newer than the previous one. */
  readonly onList?: (list: CloudVmList) => void;
}

/** Daemons of a region that poll the cloud; one may be dead or paused without delaying notices. */
const pollersPerRegion = 2;
const noticePollMs = 10_000;
const retryDelayMs = 500;
const listIntervalMs = 5_000;

/**
 * Feeds reclaim notices and lists of VMs into the set of leaving VMs. Two daemons of each region
 * poll, and the others receive the result by gossip, so that the load on the cloud API is constant.
 *
 * @example
 * ```ts
 * watcher.start();
 * ```
 */
export class CloudWatcher {
  readonly #options: CloudWatcherOptions;
  readonly #events: EventLog;
  readonly #stop = new AbortController();
  #sequence = 0;
  #latestList: CloudVmList | undefined;

  constructor(options: CloudWatcherOptions) {
    this.#options = options;
    this.#events = options.events ?? new NullEventLog();
  }

  /** Newest list that this daemon has read; undefined before the first. */
  get latestList(): CloudVmList | undefined {
    return this.#latestList;
  }

  start(): void {
    void this.#loop(() => this.#pollNotices(), 0);
    void this.#loop(() => this.readList(), listIntervalMs);
  }

  stop(): void {
    this.#stop.abort();
  }

  /** Whether this daemon currently polls the cloud. */
  isPoller(): boolean {
    const { membership, region, shouldAlwaysPoll } = this.#options;
    return (
      isTopRanked(membership, region, 'cloud-watcher', pollersPerRegion) ||
      shouldAlwaysPoll?.() === true
    );
  }

  /**
   * Reads the list of VMs once.
   *
   * @throws CloudUnavailableError when the request fails.
   */
  async readList(): Promise<void> {
    const { cloud, region, leaving, clock, freshness } = this.#options;
    const list = await cloud.listVms(region);
    freshness.markSeen(DataSource.Cloud);
    // A list whose timestamp does not advance does not count as seen.
    if (!this.#latestList || list.asOfMs > this.#latestList.asOfMs)
      freshness.markSeen(DataSource.VmList);
    else return;
    this.#latestList = list;
    leaving.observeList(list, clock.nowMs());
    this.#options.onList?.(list);
  }

  async #pollNotices(): Promise<void> {
    const { cloud, region, leaving, clock, freshness } = this.#options;
    const notices = await cloud.notices(region, this.#sequence, noticePollMs);
    freshness.markSeen(DataSource.Cloud);
    const nowMs = clock.nowMs();
    leaving.mergeLocal(
      notices.map(({ vmId, reclaimAtMs }) =>
        vmLeavingEntry(vmId, reclaimAtMs, LeavingSource.Notice, nowMs),
      ),
    );
    for (const { sequence } of notices) this.#sequence = Math.max(this.#sequence, sequence);
  }

  async #loop(step: () => Promise<void>, intervalMs: number): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      let pauseMs = intervalMs;
      if (this.isPoller()) {
        try {
          await step();
        } catch (error) {
          pauseMs = Math.max(intervalMs, retryDelayMs);
          this.#events.warn(EventId.CloudUnanswered, 'cloud API request failed; retrying', {
            reason: error instanceof Error ? error.message : String(error),
          });
        }
      } else {
        pauseMs = Math.max(intervalMs, retryDelayMs);
      }
      if (pauseMs > 0) await clock.sleepUntil(clock.nowMs() + pauseMs, signal);
    }
  }
}
