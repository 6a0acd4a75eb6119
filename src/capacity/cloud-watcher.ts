import type { Clock } from '../core/index.js';
import { LeavingSource, vmLeavingEntry, type LeavingMerge } from '../fleet/index.js';
import type { Membership } from '../membership/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import type { CloudApi, CloudVmList } from './cloud-api.js';
import { InformationSource, type InformationAge } from './information-age.js';
import { isAmongFirst } from './region-rank.js';

/** Options of {@link CloudWatcher}. */
export interface CloudWatcherOptions {
  readonly cloud: CloudApi;
  readonly region: string;
  readonly leaving: LeavingMerge;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly age: InformationAge;
  readonly events?: EventLog;
  /** Whether this daemon polls in any case, as one that holds a controller's lease must. */
  readonly isNeeded?: () => boolean;
  /** Called with each list that is newer than the last. */
  readonly onList?: (list: CloudVmList) => void;
}

/** Daemons of a region that poll the cloud: one may be dead or paused without delaying notices. */
const pollersPerRegion = 2;
const noticeWaitMs = 10_000;
const retryMs = 500;
const listEveryMs = 5_000;

/**
 * Feeds reclaim notices and the list of VMs into the leaving set. Two daemons of each region poll;
 * the others learn by gossip, so that the cloud's API sees a constant load.
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
  #latest: CloudVmList | undefined;

  constructor(options: CloudWatcherOptions) {
    this.#options = options;
    this.#events = options.events ?? new NullEventLog();
  }

  /** The newest list read here; undefined before the first. */
  get latest(): CloudVmList | undefined {
    return this.#latest;
  }

  start(): void {
    void this.#loop(() => this.#pollNotices(), 0);
    void this.#loop(() => this.readList(), listEveryMs);
  }

  stop(): void {
    this.#stop.abort();
  }

  /** Whether this daemon polls the cloud now. */
  isPoller(): boolean {
    const { membership, region, isNeeded } = this.#options;
    return (
      isAmongFirst(membership, region, 'cloud-watcher', pollersPerRegion) || isNeeded?.() === true
    );
  }

  /** Reads the list once. @throws CloudUnavailableError */
  async readList(): Promise<void> {
    const { cloud, region, leaving, clock, age } = this.#options;
    const list = await cloud.listVms(region);
    age.seen(InformationSource.Cloud);
    // A list whose time stands still is as good as none.
    if (!this.#latest || list.asOfMs > this.#latest.asOfMs) age.seen(InformationSource.List);
    else return;
    this.#latest = list;
    leaving.observeList(list, clock.nowMs());
    this.#options.onList?.(list);
  }

  async #pollNotices(): Promise<void> {
    const { cloud, region, leaving, clock, age } = this.#options;
    const notices = await cloud.notices(region, this.#sequence, noticeWaitMs);
    age.seen(InformationSource.Cloud);
    const nowMs = clock.nowMs();
    leaving.signal(
      notices.map(({ vmId, reclaimAtMs }) =>
        vmLeavingEntry(vmId, reclaimAtMs, LeavingSource.Notice, nowMs),
      ),
    );
    for (const { sequence } of notices) this.#sequence = Math.max(this.#sequence, sequence);
  }

  async #loop(step: () => Promise<void>, gapMs: number): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      let pauseMs = gapMs;
      if (this.isPoller()) {
        try {
          await step();
        } catch (error) {
          pauseMs = Math.max(gapMs, retryMs);
          this.#events.warn(EventId.CloudUnanswered, 'the cloud API gave no usable answer', {
            reason: error instanceof Error ? error.message : String(error),
          });
        }
      } else {
        pauseMs = Math.max(gapMs, retryMs);
      }
      if (pauseMs > 0) await clock.sleepUntil(clock.nowMs() + pauseMs, signal);
    }
  }
}
