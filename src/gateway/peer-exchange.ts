import type { QuotaPeerStatus } from '../admission/token-quota.js';
import type { Clock } from '../core/index.js';
import type { DaemonSample, DaemonSamples } from '../membership/daemon-samples.js';
import { exchangeIntervals, type ExchangeIntervals } from '../membership/exchange-intervals.js';
import {
  PeerBroadcaster,
  type PeerAddress,
  type PrefillReport,
} from '../membership/peer-broadcaster.js';
import type { EventLog } from '../telemetry/index.js';
import { ChangeFilter } from './change-filter.js';
import { PeerGrants, type WorkspaceCounts } from './workspace-quotas.js';

/** Options of {@link PeerExchange}. */
export interface PeerExchangeOptions {
  readonly samples: DaemonSamples;
  readonly daemon: string;
  readonly incarnation: number;
  /** Where this daemon takes direct news. */
  readonly address: PeerAddress;
  readonly clock: Clock;
  readonly events: EventLog;
  /** How late a change of a registration may be read at most. */
  readonly maxRegistrationReadIntervalMs: number;
  /** Units granted and asked for here since the start by workspace. */
  readonly counts: () => WorkspaceCounts;
  readonly onPrefill: (report: PrefillReport) => void;
}

/** A direct report of grants is under way for this long. */
const directDelayMs = 150;

/** A sample is under way through the store for this long, besides the periods of its exchange. */
const storeTransitMs = 300;

/** Direct reports missing in a row after which a daemon counts as heard through the store only. */
const maxMissedReports = 4;

/**
 * What the daemons tell each other, directly and through the store, at a pace that follows their
 * number. Direct news may be lost or cut off; what the store tells then has to do.
 */
export class PeerExchange extends PeerGrants {
  readonly #options: PeerExchangeOptions;
  readonly #broadcaster: PeerBroadcaster;
  readonly #grantedFilter = new ChangeFilter();
  readonly #askedFilter = new ChangeFilter();
  #intervals: ExchangeIntervals;
  #stopReporting: () => void = () => undefined;

  constructor(options: PeerExchangeOptions) {
    super();
    this.#options = options;
    const { samples, address, events, maxRegistrationReadIntervalMs, onPrefill } = options;
    this.#intervals = exchangeIntervals(1, maxRegistrationReadIntervalMs);
    this.#broadcaster = new PeerBroadcaster({
      listenAddress: address,
      // One that is cut off from the store only can be told directly.
      peers: () =>
        [...samples.livePeers(), ...samples.unreachablePeers()].map(
          ({ newsAddress }) => newsAddress,
        ),
      onPrefill,
      onGrants: (report) => {
        samples.applyDirectReport(report);
      },
      events,
    });
  }

  /** How often the daemons tell each other of themselves now. */
  get intervals(): ExchangeIntervals {
    return this.#intervals;
  }

  override peerStatus(): QuotaPeerStatus {
    const { samples, clock } = this.#options;
    const { grantReportPeriodMs, samplePeriodMs, sampleReadIntervalMs } = this.#intervals;
    const sinceMs = clock.nowMs() - grantReportPeriodMs * maxMissedReports;
    const isDirect = ({ daemon }: DaemonSample): boolean =>
      samples.hasDirectReportSince(daemon, sinceMs);
    const live = samples.livePeers();
    const unreachable = samples.unreachablePeers();
    // One that only the store has lost is heard directly and counts as live.
    const directlyReachable = unreachable.filter(isDirect).length;
    const reachable = live.length + directlyReachable;
    const directRatio =
      reachable === 0 ? 1 : (live.filter(isDirect).length + directlyReachable) / reachable;
    const hasPeers = live.length + unreachable.length > 0;
    const storeDelayMs = samplePeriodMs + sampleReadIntervalMs + storeTransitMs;
    return {
      daemons: reachable + 1,
      unreachableDaemons: unreachable.length - directlyReachable,
      isConnected: samples.isCurrent || (hasPeers && directRatio === 1),
      // Between the delay of direct reports and that of the store, as many daemons as each reaches.
      propagationDelayMs:
        directRatio * (grantReportPeriodMs + directDelayMs) + (1 - directRatio) * storeDelayMs,
    };
  }

  override grantedByPeers(workspaceName: string): number {
    return this.#options.samples.grantedByPeers(workspaceName);
  }

  override askedOfPeers(workspaceName: string): number {
    return this.#options.samples.askedOfPeers(workspaceName);
  }

  start(): void {
    this.#broadcaster.listen();
    this.#scheduleGrantReport();
  }

  stop(): void {
    this.#stopReporting();
    this.#broadcaster.close();
  }

  /** Tells all live daemons of a long prompt. */
  broadcastPrefill(report: PrefillReport): void {
    this.#broadcaster.broadcastPrefill(report);
  }

  /**
   * Tells the totals that changed, each change twice, as datagrams are lost. What is lost all the same
   * comes with the next change or with the next sample.
   */
  #scheduleGrantReport(): void {
    const { clock, daemon, incarnation, counts, maxRegistrationReadIntervalMs } = this.#options;
    this.#stopReporting = clock.schedule(
      clock.nowMs() + this.#intervals.grantReportPeriodMs,
      () => {
        this.#intervals = exchangeIntervals(
          this.peerStatus().daemons,
          maxRegistrationReadIntervalMs,
        );
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
}
