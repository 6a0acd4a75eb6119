import { TokenBucket } from '../admission/token-bucket.js';
import type { QuotaPeerStatus } from '../admission/token-quota.js';
import type { Clock } from '../core/index.js';
import {
  distributionGroups,
  type DistributionGroup,
  type DistributorCandidate,
} from '../distribution/index.js';
import type { DaemonSample, DaemonSamples } from '../membership/daemon-samples.js';
import { exchangeIntervals, type ExchangeIntervals } from '../membership/exchange-intervals.js';
import type { PrefillReport } from '../membership/broadcast-message.js';
import type { BroadcastRoutes } from '../membership/broadcast-relay.js';
import { ReportCoverage, type PeerCoverage } from '../membership/report-coverage.js';
import { PeerBroadcaster, type PeerAddress } from '../membership/peer-broadcaster.js';
import type { QuarantineMessage } from '../quarantine/quarantine-message.js';
import type { RolloutMessage } from '../rollout/rollout-message.js';
import type { EventLog } from '../telemetry/index.js';
import { ChangeFilter } from './change-filter.js';
import { PeerGrants, type WorkspaceCounts } from './workspace-quotas.js';

/** Options of {@link PeerExchange}. */
export interface PeerExchangeOptions {
  readonly samples: DaemonSamples;
  readonly daemon: string;
  readonly incarnation: number;
  /** Address at which this daemon receives datagrams from its peers. */
  readonly address: PeerAddress;
  readonly region: string;
  readonly failureDomain: string;
  /** Processor capacity of this daemon's VM, in cores. */
  readonly capacityCores: number;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Longest time between two reads of the registrations, in milliseconds. */
  readonly maxRegistrationReadIntervalMs: number;
  /** Units granted and requested at this daemon since its start, by workspace. */
  readonly counts: () => WorkspaceCounts;
  readonly onPrefill: (report: PrefillReport) => void;
  /** Called when another daemon could not reach an endpoint. */
  readonly onSuspicion: (endpointId: string, daemon: string) => void;
  /** Called when an endpoint has told another daemon that it leaves, `ageMs` milliseconds ago. */
  readonly onLeaving: (endpointId: string, daemon: string, ageMs: number) => void;
  /** Called when another daemon reports endpoints that crashed, or what they crashed under. */
  readonly onQuarantine: (message: QuarantineMessage) => void;
  /** Called when another daemon tells of a rollout. */
  readonly onRollout?: (message: RolloutMessage, daemon: string) => void;
  /** The daemon from which this one reads the store; undefined when it reads the store itself. */
  readonly distributor: () => DistributorCandidate | undefined;
}

/** Transit time of a grant report by datagram, passed on by up to two distributors. */
const directDelayMs = 250;

/** Daemons that send datagrams to each of their peers; more send them by distributors. */
const maxDirectPeers = 15;

/** Time for which the groups are reused before they are computed again. */
const groupsTtlMs = 500;

/** Transit time of a sample through the store, with the wait for a batch, besides the intervals. */
const storeTransitMs = 1_300;

/** Time until the first sample of a daemon has reached all others, through the store. */
const maxFirstSampleDelayMs = 3_300;

/** A sample passes two readers: the distributor and the daemon that reads from it. */
const readers = 2;

/** Missed direct reports in a row after which a daemon counts as reachable by the store only. */
const maxMissedReports = 4;

/** Endpoints that one daemon reports as leaving: on average, and of a failure domain at once. */
const leavingTellsPerS = 2;
const leavingTellsBurst = 64;

/** The other daemons as this one reaches them, itself counted. */
interface PeerReach extends PeerCoverage {
  readonly daemons: number;
  readonly unreachableDaemons: number;
}

/**
 * Exchanges quota grants and prefill load with the other daemons, directly by datagram and through
 * the store, at intervals that grow with the number of daemons. Datagrams may be lost or blocked;
 * the samples in the store then have to suffice.
 */
export class PeerExchange extends PeerGrants {
  readonly #options: PeerExchangeOptions;
  readonly #broadcaster: PeerBroadcaster;
  readonly #grantedFilter = new ChangeFilter();
  readonly #askedFilter = new ChangeFilter();
  readonly #coverage: ReportCoverage;
  readonly #leavingTells: TokenBucket;
  #groups: { readonly groups: readonly DistributionGroup[]; readonly untilMs: number } = {
    groups: [],
    untilMs: 0,
  };
  #intervals: ExchangeIntervals;
  #stopReporting: () => void = () => undefined;

  constructor(options: PeerExchangeOptions) {
    super();
    this.#options = options;
    const { samples, daemon, address, clock, events } = options;
    const { onPrefill, onSuspicion, onLeaving, onQuarantine, onRollout } = options;
    this.#intervals = this.#intervalsFor(1, 1);
    this.#leavingTells = new TokenBucket(leavingTellsPerS, leavingTellsBurst, clock.nowMs());
    this.#coverage = new ReportCoverage(clock.nowMs() + maxFirstSampleDelayMs);
    this.#broadcaster = new PeerBroadcaster({
      daemon,
      listenAddress: address,
      routes: () => this.#routes(),
      onPrefill,
      onSuspicion,
      onLeaving,
      onQuarantine,
      ...(onRollout ? { onRollout } : {}),
      onGrants: (report) => {
        samples.applyDirectReport(report);
      },
      clock,
      events,
    });
  }

  /** Current intervals of the exchange, for the current number of daemons. */
  get intervals(): ExchangeIntervals {
    return this.#intervals;
  }

  /** Daemons that share a distributor with this one, by rank; this one included. */
  ranking(): DistributionGroup {
    const { daemon } = this.#options;
    const isOwn = (candidate: DistributorCandidate): boolean => candidate.daemon === daemon;
    return this.#distributionGroups().find((group) => group.some(isOwn)) ?? [];
  }

  override peerStatus(): QuotaPeerStatus {
    const { grantReportPeriodMs, samplePeriodMs, sampleReadIntervalMs } = this.#intervals;
    const { daemons, unreachableDaemons, isConnected, directRatio } = this.#reach();
    const storeDelayMs = samplePeriodMs + readers * sampleReadIntervalMs + storeTransitMs;
    return {
      daemons,
      unreachableDaemons,
      isConnected,
      // Delays of direct reports and the store, weighted by the share of daemons each reaches.
      propagationDelayMs:
        directRatio * (grantReportPeriodMs + directDelayMs) + (1 - directRatio) * storeDelayMs,
    };
  }

  /**
   * Time since which what the other daemons broadcast arrives, in epoch milliseconds; infinite while
   * it does not.
   */
  get reportsCompleteSinceMs(): number {
    return this.#coverage.sinceMs;
  }

  override grantedByPeers(workspaceName: string): number {
    return this.#options.samples.grantedByPeers(workspaceName);
  }

  override askedOfPeers(workspaceName: string): number {
    return this.#options.samples.askedOfPeers(workspaceName);
  }

  /** Starts to receive datagrams and to report grants. */
  start(): void {
    this.#broadcaster.listen();
    this.#scheduleGrantReport();
  }

  stop(): void {
    this.#stopReporting();
    this.#broadcaster.close();
  }

  /** Tells all other daemons of a rollout. */
  broadcastRollout(message: RolloutMessage): void {
    this.#broadcaster.broadcastRollout(message);
  }

  /** Tells one daemon of a rollout, at host:port. */
  sendRollout(address: string, message: RolloutMessage): void {
    this.#broadcaster.sendRollout(address, message);
  }

  /** Reports a long prompt to all other daemons. */
  broadcastPrefill(report: PrefillReport): void {
    this.#broadcaster.broadcastPrefill(report);
  }

  /** Tells all other daemons that this one could not reach an endpoint. */
  broadcastSuspicion(endpointId: string): void {
    this.#broadcaster.broadcastSuspicion(endpointId);
  }

  /**
   * Tells all other daemons that an endpoint has told this one that it leaves. Beyond a bound the
   * others have to wait for its registration.
   */
  broadcastLeaving(endpointId: string): void {
    const nowMs = this.#options.clock.nowMs();
    if (this.#leavingTells.tryTake(1, nowMs)) this.#broadcaster.broadcastLeaving(endpointId, 0);
  }

  /** Tells all other daemons of endpoints that crashed, or of what they crashed under. */
  broadcastQuarantine(message: QuarantineMessage): void {
    this.#broadcaster.broadcastQuarantine(message);
  }

  /**
   * Reports the totals that changed at the end of each interval. Each change is sent twice, as
   * datagrams can be lost. A change that is lost both times reaches the peers with the next change
   * or the next sample.
   */
  #scheduleGrantReport(): void {
    const { clock, daemon, incarnation, counts } = this.#options;
    this.#stopReporting = clock.schedule(
      clock.nowMs() + this.#intervals.grantReportPeriodMs,
      () => {
        const reach = this.#reach();
        this.#coverage.update(reach, clock.nowMs());
        this.#intervals = this.#intervalsFor(reach.daemons, this.ranking().length);
        const { granted, asked } = counts();
        this.#broadcaster.broadcastGrants({
          daemon,
          incarnation,
          granted: this.#grantedFilter.changed(granted),
          asked: this.#askedFilter.changed(asked),
        });
        this.#scheduleGrantReport();
      },
    );
  }

  /** Which of the other daemons this one knows and hears of directly. */
  #reach(): PeerReach {
    const { samples, clock } = this.#options;
    const sinceMs = clock.nowMs() - this.#intervals.grantReportPeriodMs * maxMissedReports;
    const isDirect = ({ daemon }: DaemonSample): boolean =>
      samples.hasDirectReportSince(daemon, sinceMs);
    const live = samples.livePeers();
    const unreachable = samples.unreachablePeers();
    // A peer that is missing from the store but reports directly counts as live.
    const directlyReachable = unreachable.filter(isDirect).length;
    const reachable = live.length + directlyReachable;
    const directRatio =
      reachable === 0 ? 1 : (live.filter(isDirect).length + directlyReachable) / reachable;
    const hasPeers = live.length + unreachable.length > 0;
    return {
      daemons: reachable + 1,
      unreachableDaemons: unreachable.length - directlyReachable,
      directRatio,
      isConnected: samples.isCurrent || (hasPeers && directRatio === 1),
    };
  }

  #intervalsFor(daemons: number, domainDaemons: number): ExchangeIntervals {
    const { maxRegistrationReadIntervalMs } = this.#options;
    return exchangeIntervals({ daemons, domainDaemons, maxRegistrationReadIntervalMs });
  }

  #distributionGroups(): readonly DistributionGroup[] {
    const { samples, address, clock } = this.#options;
    const nowMs = clock.nowMs();
    if (this.#groups.untilMs <= nowMs) {
      const { host, port } = address;
      const own = { ...this.#options, address: `${host}:${port}` };
      const peers = samples.livePeers().map((sample) => ({
        ...sample,
        address: sample.newsAddress,
      }));
      const groups = distributionGroups([own, ...peers]);
      this.#groups = { groups, untilMs: nowMs + groupsTtlMs };
    }
    return this.#groups.groups;
  }

  #routes(): BroadcastRoutes {
    const { samples, daemon, distributor } = this.#options;
    // A peer that is cut off from the store only can still receive datagrams.
    const peers = [...samples.livePeers(), ...samples.unreachablePeers()];
    if (peers.length <= maxDirectPeers) {
      const addresses = peers.map(({ newsAddress }) => newsAddress);
      return { peers: addresses, distributor: undefined, members: [], otherGroups: [] };
    }
    const ranking = this.ranking();
    return {
      peers: undefined,
      distributor: distributor()?.address,
      members: ranking.filter((member) => member.daemon !== daemon).map(({ address }) => address),
      otherGroups: this.#distributionGroups()
        .filter((group) => group !== ranking)
        .map((group) => group.map(({ address }) => address)),
    };
  }
}
