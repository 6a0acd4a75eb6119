import type { Clock, Random } from '../core/index.js';
import {
  HistoryTrimmedError,
  KeyedLog,
  type AppendPosition,
  type KeyedAppendOptions,
  type KeyedEntry,
  type KeyedPage,
} from '../log/keyed-log.js';
import type { Offset } from '../log/log-service.js';
import { maxTransferMs } from '../log/keyed-replica.js';
import { LogUnavailableError } from '../log/log-errors.js';
import { StoreEra } from '../log/store-era.js';
import { withTransferTimeout } from '../log/with-timeout.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { AppendBatcher } from './append-batcher.js';
import type { DistributorCandidate } from './distributor-ranking.js';
import type { ReplicaClient } from './replica-client.js';

/** Options of {@link DistributedLog}. */
export interface DistributedLogOptions {
  readonly store: KeyedLog;
  readonly client: ReplicaClient;
  readonly daemon: string;
  /** Daemons that share a distributor with this one, by rank; this one included. */
  readonly ranking: () => readonly DistributorCandidate[];
  /** Combines entries that may wait for others, by topic. */
  readonly batchers: ReadonlyMap<string, AppendBatcher>;
  /** Era of the store as this daemon knows it; by default as this log alone does. */
  readonly era?: StoreEra;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
}

/** Distributors that a read asks before it goes to the store. */
const maxDistributorsAsked = 2;

/** Longest time for which a distributor may hold a read: it must notice its own loss sooner. */
const maxDistributorWaitMs = 800;

/** Limits of a read of the store by a reader whose distributors do not serve it. */
const fallbackLimits = { answerMs: 600, stalledMs: 700, transferMs: maxTransferMs };

/** Times for which a distributor that failed is not asked; spread, so that not all return at once. */
const minSuspensionMs = 1_500;
const maxSuspensionMs = 4_000;

/**
 * Time for which a reader asks its distributor for the newest records of a new era before it reads
 * them from the store; spread, so that hundreds of readers do not call the store at the same moment.
 */
const minEraWaitMs = 500;
const maxEraWaitMs = 1_200;

/** How often it asks. */
const eraRetryMs = 100;

/**
 * A log of which one daemon of a failure domain or small region, the distributor, reads the store,
 * and the others read its copies. Calls to the store then grow with the number of failure domains
 * and not of daemons. Every daemon falls back to the next in rank and to the store itself when a
 * distributor is dead, silent, stale, cut off or in an earlier era of the store. Conditional appends
 * always go to the store, and so do reads of all newest records, but for those of a new era.
 *
 * @example
 * ```ts
 * const log = new DistributedLog({ store, client, daemon, ranking, ...rest });
 * const { records, copyAgeMs } = await log.read('config', 12, 2_500);
 * ```
 */
export class DistributedLog extends KeyedLog {
  readonly #options: DistributedLogOptions;
  readonly #era: StoreEra;
  readonly #suspendedUntilMs = new Map<string, number>();

  constructor(options: DistributedLogOptions) {
    super();
    this.#options = options;
    this.#era = options.era ?? new StoreEra();
  }

  /** The daemon that this one reads from at present; undefined when it reads the store itself. */
  get distributor(): DistributorCandidate | undefined {
    return this.#distributors()[0];
  }

  override newest(topic: string, signal?: AbortSignal): Promise<KeyedPage> {
    return this.#options.store.newest(topic, signal);
  }

  override async newestOfEra(topic: string, era: number, signal?: AbortSignal): Promise<KeyedPage> {
    const { client, store, clock, random } = this.#options;
    const waitMs = minEraWaitMs + (maxEraWaitMs - minEraWaitMs) * random.float();
    const untilMs = clock.nowMs() + waitMs;
    // Suspended ones too: in the outage before a new era, every reader suspends its distributor.
    const distributors = this.#ranked().slice(0, maxDistributorsAsked);
    while (distributors.length > 0 && clock.nowMs() < untilMs && !signal?.aborted) {
      for (const { address } of distributors) {
        const page = await this.#newestOfCopy(client, address, topic, signal);
        if (page && page.era >= era) return page;
      }
      await clock.sleepUntil(clock.nowMs() + eraRetryMs, signal);
    }
    return store.newest(topic, signal);
  }

  override async read(
    topic: string,
    fromOffset: Offset,
    waitMs: number,
    signal?: AbortSignal,
    onBytes?: () => void,
  ): Promise<KeyedPage> {
    const { client, store, clock } = this.#options;
    const waitUntilMs = clock.nowMs() + Math.min(waitMs, maxDistributorWaitMs);
    const distributors = this.#distributors();
    for (const distributor of distributors) {
      const distributorWaitMs = waitUntilMs - clock.nowMs();
      // One that did not respond has used up the time: the rest of it is for the store.
      if (distributorWaitMs < 0) break;
      try {
        const { address } = distributor;
        const page = await client.read(
          address,
          topic,
          fromOffset,
          distributorWaitMs,
          signal,
          onBytes,
        );
        this.#era.observe(page.era);
        if (!this.#era.isOlder(page.era)) return page;
        throw new LogUnavailableError('its copy is of an earlier era', address, false);
      } catch (error) {
        // It is sound, only its copy does not reach back far enough.
        if (error instanceof HistoryTrimmedError) break;
        this.#suspend(distributor, topic, error);
        if (signal?.aborted) throw error;
      }
    }
    if (distributors.length === 0) return store.read(topic, fromOffset, waitMs, signal, onBytes);
    // The distributors have taken a part of the reader's time; a store that does not answer soon is
    // asked again.
    const abort = signal ?? new AbortController().signal;
    return withTransferTimeout(clock, fallbackLimits, abort, (storeSignal, onStoreBytes) =>
      store.read(topic, fromOffset, 0, storeSignal, () => {
        onStoreBytes();
        onBytes?.();
      }),
    );
  }

  override async appendAll(
    topic: string,
    entries: readonly KeyedEntry[],
    options: KeyedAppendOptions = {},
  ): Promise<AppendPosition> {
    return this.#options.store.appendAll(topic, entries, options);
  }

  override async publish(topic: string, entry: KeyedEntry): Promise<void> {
    const { client, store, batchers } = this.#options;
    const { distributor } = this;
    const batcher = batchers.get(topic);
    if (batcher && !distributor) {
      await batcher.append(entry);
      return;
    }
    if (batcher && distributor) {
      try {
        await client.append(distributor.address, topic, entry);
        return;
      } catch (error) {
        this.#suspend(distributor, topic, error);
      }
    }
    await store.appendAll(topic, [entry]);
  }

  /** @returns undefined when the daemon does not serve them now; it may not have read them yet. */
  async #newestOfCopy(
    client: ReplicaClient,
    address: string,
    topic: string,
    signal: AbortSignal | undefined,
  ): Promise<KeyedPage | undefined> {
    try {
      return await client.newest(address, topic, signal);
    } catch (error) {
      this.#options.events.debug(EventId.DistributionFailed, 'copy of a new era not read yet', {
        topic,
        reason: error instanceof Error ? error.message : String(error),
      });
      return undefined;
    }
  }

  /** Daemons ranked above this one, best first. */
  #ranked(): DistributorCandidate[] {
    const candidates = this.#options.ranking();
    const own = candidates.findIndex(({ daemon }) => daemon === this.#options.daemon);
    return candidates.slice(0, own < 0 ? candidates.length : own);
  }

  /** Daemons ranked above this one that have not failed lately, best first. */
  #distributors(): DistributorCandidate[] {
    const nowMs = this.#options.clock.nowMs();
    const isAsked = ({ daemon }: DistributorCandidate): boolean =>
      (this.#suspendedUntilMs.get(daemon) ?? 0) <= nowMs;
    return this.#ranked().filter(isAsked).slice(0, maxDistributorsAsked);
  }

  #suspend({ daemon }: DistributorCandidate, topic: string, error: unknown): void {
    const { clock, random, events } = this.#options;
    const suspensionMs = minSuspensionMs + (maxSuspensionMs - minSuspensionMs) * random.float();
    const nowMs = clock.nowMs();
    for (const [name, untilMs] of this.#suspendedUntilMs) {
      if (untilMs <= nowMs) this.#suspendedUntilMs.delete(name);
    }
    this.#suspendedUntilMs.set(daemon, nowMs + suspensionMs);
    events.info(EventId.DistributorSuspended, 'distributor is not asked for a while', {
      distributor: daemon,
      topic,
      suspensionMs: Math.round(suspensionMs),
      reason: error instanceof Error ? error.message : String(error),
    });
  }
}
