import type { Clock, Random } from '../core/index.js';
import type { SocketAddress } from '../core/http-connection.js';
import {
  AppendBatcher,
  DistributedLog,
  HttpReplicaClient,
  ReplicaServer,
  type DistributorCandidate,
} from '../distribution/index.js';
import { EraTrackingLog } from '../log/era-tracking-log.js';
import type { KeyedLog } from '../log/keyed-log.js';
import { KeyedReplica } from '../log/keyed-replica.js';
import { StoreEra } from '../log/store-era.js';
import type { ExchangeIntervals } from '../membership/exchange-intervals.js';
import { EventId, type EventLog } from '../telemetry/index.js';

/** Names of the store topics that the gateway reads and writes. */
export interface GatewayTopics {
  readonly config: string;
  readonly registrations: string;
  readonly daemons: string;
  readonly duties: string;
}

/** Options of {@link GatewayReplicas}. */
export interface GatewayReplicasOptions {
  readonly store: KeyedLog;
  readonly topics: GatewayTopics;
  readonly daemon: string;
  /** Address at which the other daemons read this one's copies. */
  readonly listenAddress: SocketAddress;
  /** Connections of the daemons that read this one's copies. */
  readonly maxPeerConnections: number;
  /** Daemons that share a distributor with this one, by rank; this one included. */
  readonly ranking: () => readonly DistributorCandidate[];
  readonly intervals: () => ExchangeIntervals;
  /** Interval at which endpoints renew their registrations, in milliseconds. */
  readonly registrationHeartbeatMs: number;
  /** Time for which a leaving endpoint serves, in milliseconds. */
  readonly drainMs: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
}

/**
 * How long the store holds reads open when a topic has no new record. Bounds the time until a dead
 * connection is noticed: short for what must be in force within seconds.
 *
 * @internal Exported for the test of the age of changes.
 */
export const configWaitMs = 1_000;
const samplesWaitMs = 4_000;
const dutiesWaitMs = 8_000;

const minRegistrationsWaitMs = 300;
const maxRegistrationsWaitMs = 1_000;

/**
 * What else may pass until every daemon knows that an endpoint leaves: an interval between reads of
 * the distributor and one of its reader, the answers that both wait for in vain, and their delays.
 */
const otherRegistrationStepsMs = 2_200;

/**
 * Shortest time between two reads of a topic.
 *
 * @internal
 */
export const configReadIntervalMs = 50;
const dutiesReadIntervalMs = 2_000;

/**
 * Time after a start until daemons that started together know of each other. The first read of a
 * topic is not followed by another before: hundreds of daemons would all read the store.
 */
const settlingMs = 1_800;

/** Longest delay of the topics of the exchange after those that the daemon needs to serve. */
const maxExchangeDelayMs = 2_000;

const startCheckIntervalMs = 20;

/** Spreads the reads of the samples by daemons that start together. */
const exchangeJitterMs = 500;

/**
 * Time for which samples that the store lost stay known: those of a daemon that is cut off count until
 * it is taken to have stopped, and their usage is still to be reported.
 */
const samplesRewriteMs = 30_000;

/** Time for which samples wait to be stored together, by one call of the distributor. */
const sampleBatchDelayMs = 1_000;

/**
 * How long the store holds reads of the registrations open, so that a lost read does not hide an
 * endpoint's leaving for as long as it serves.
 *
 * @param drainMs - time for which a leaving endpoint serves, in milliseconds.
 * @internal
 */
export function registrationsWaitMs(drainMs: number): number {
  const waitMs = drainMs - otherRegistrationStepsMs;
  return Math.max(minRegistrationsWaitMs, Math.min(waitMs, maxRegistrationsWaitMs));
}

/**
 * This daemon's copies of the store's topics: read from its distributor or from the store
 * itself, and served to the daemons whose distributor it is.
 */
export class GatewayReplicas {
  readonly config: KeyedReplica;
  readonly registrations: KeyedReplica;
  readonly samples: KeyedReplica;
  readonly duties: KeyedReplica;
  /** Era of the store as this daemon knows it. */
  readonly era = new StoreEra();
  readonly #options: GatewayReplicasOptions;
  readonly #client = new HttpReplicaClient(this.era);
  readonly #random: Random;
  readonly #log: DistributedLog;
  readonly #server: ReplicaServer;
  #isStopped = false;

  constructor(options: GatewayReplicasOptions) {
    this.#options = options;
    const { topics, clock, random, events, intervals } = options;
    const store = new EraTrackingLog(options.store, this.era);
    this.era.onChange((era, previousEra) => {
      const message = 'the store came back from an older copy; its newest records are read again';
      events.warn(EventId.StoreEraChanged, message, { era, previousEra });
    });
    this.#random = random.fork();
    const batcher = new AppendBatcher({
      log: store,
      topic: topics.daemons,
      clock,
      maxDelayMs: sampleBatchDelayMs,
    });
    const batchers = new Map([[topics.daemons, batcher]]);
    this.#log = new DistributedLog({
      ...options,
      store,
      era: this.era,
      random: random.fork(),
      client: this.#client,
      batchers,
    });
    const settledAtMs = clock.nowMs() + settlingMs;
    const settled = (intervalMs: () => number) => (): number =>
      Math.max(intervalMs(), settledAtMs - clock.nowMs());
    this.config = this.#replica(
      topics.config,
      configWaitMs,
      settled(() => configReadIntervalMs),
    );
    this.registrations = this.#replica(
      topics.registrations,
      registrationsWaitMs(options.drainMs),
      settled(() => intervals().registrationReadIntervalMs),
    );
    this.samples = this.#replica(
      topics.daemons,
      samplesWaitMs,
      () => intervals().sampleReadIntervalMs,
      samplesRewriteMs,
    );
    this.duties = this.#replica(
      topics.duties,
      dutiesWaitMs,
      settled(() => dutiesReadIntervalMs),
    );
    this.#server = new ReplicaServer({
      maxConnections: options.maxPeerConnections,
      replicas: this.all(),
      batchers,
      clock,
      events,
    });
  }

  /** Log through which the daemon reads and writes. */
  get log(): KeyedLog {
    return this.#log;
  }

  /** The daemon from which this one reads; undefined when it reads the store itself. */
  get distributor(): DistributorCandidate | undefined {
    return this.#log.distributor;
  }

  all(): KeyedReplica[] {
    return [this.config, this.registrations, this.samples, this.duties];
  }

  /** @throws Error when the server cannot listen on the address. */
  async start(): Promise<void> {
    const { host, port } = this.#options.listenAddress;
    await this.#server.listen(host, port);
    this.config.start();
    this.registrations.start();
    // Holds the quarantines too, without which a daemon would send what endpoints crash under.
    this.duties.start();
    void this.#startExchange();
  }

  /**
   * Starts the topic by which daemons exchange their state once the daemon can serve, or after a
   * while. Hundreds of daemons that start together would else wait for each other's samples on the
   * link to the store before they know a configuration.
   */
  async #startExchange(): Promise<void> {
    const { clock } = this.#options;
    const latestAtMs = clock.nowMs() + maxExchangeDelayMs;
    const canServe = (): boolean =>
      this.config.endOffset !== undefined && this.registrations.endOffset !== undefined;
    while (!canServe() && clock.nowMs() < latestAtMs) {
      await clock.sleepUntil(clock.nowMs() + startCheckIntervalMs);
    }
    await clock.sleepUntil(clock.nowMs() + this.#random.float() * exchangeJitterMs);
    if (this.#isStopped) return;
    this.samples.start();
  }

  stop(): void {
    this.#isStopped = true;
    for (const replica of this.all()) replica.stop();
    this.#client.close();
    void this.#server.close();
  }

  #replica(
    topic: string,
    waitMs: number,
    minReadIntervalMs: () => number,
    rewriteMs?: number,
  ): KeyedReplica {
    const { clock, random, events, registrationHeartbeatMs } = this.#options;
    return new KeyedReplica({
      log: this.#log,
      topic,
      clock,
      random: random.fork(),
      events,
      waitMs,
      minReadIntervalMs,
      era: this.era,
      ...(rewriteMs === undefined ? {} : { rewriteMs }),
      // A shorter one loses one heartbeat of an endpoint at most, and lets no registration expire.
      minOutageMs: registrationHeartbeatMs,
    });
  }
}
