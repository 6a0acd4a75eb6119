import type { QuotaHearing } from '../admission/token-quota.js';
import type { Clock } from '../core/index.js';
import type { DaemonSample, DaemonSamples } from '../membership/daemon-samples.js';
import { exchangePace, type ExchangePace } from '../membership/exchange-pace.js';
import { PeerNews, type PeerAddress, type PrefillNews } from '../membership/peer-news.js';
import type { EventLog } from '../telemetry/index.js';
import { ToldCounts } from './told-counts.js';
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
  readonly maxRegistrationGapMs: number;
  /** Units granted and asked for here since the start by workspace. */
  readonly counts: () => WorkspaceCounts;
  readonly onPrefill: (news: PrefillNews) => void;
}

/** A direct report of grants is under way for this long. */
const newsDelayMs = 150;

/** A sample is under way through the store for this long, besides the periods of its exchange. */
const sampleDelayMs = 300;

/** Direct reports missing in a row after which a daemon counts as heard through the store only. */
const missingNews = 4;

/**
 * What the daemons tell each other, directly and through the store, at a pace that follows their
 * number. Direct news may be lost or cut off; what the store tells then has to do.
 */
export class PeerExchange extends PeerGrants {
  readonly #options: PeerExchangeOptions;
  readonly #news: PeerNews;
  readonly #toldGranted = new ToldCounts();
  readonly #toldAsked = new ToldCounts();
  #pace: ExchangePace;
  #stopTelling: () => void = () => undefined;

  constructor(options: PeerExchangeOptions) {
    super();
    this.#options = options;
    const { samples, address, events, maxRegistrationGapMs, onPrefill } = options;
    this.#pace = exchangePace(1, maxRegistrationGapMs);
    this.#news = new PeerNews({
      own: address,
      // One that is cut off from the store only can be told directly.
      peers: () => [...samples.others(), ...samples.silent()].map(({ newsAddress }) => newsAddress),
      onPrefill,
      onGrants: (report) => {
        samples.heardDirectly(report);
      },
      events,
    });
  }

  /** How often the daemons tell each other of themselves now. */
  get pace(): ExchangePace {
    return this.#pace;
  }

  override hearing(): QuotaHearing {
    const { samples, clock } = this.#options;
    const { newsPeriodMs, samplePeriodMs, sampleReadGapMs } = this.#pace;
    const sinceMs = clock.nowMs() - newsPeriodMs * missingNews;
    const isDirect = ({ daemon }: DaemonSample): boolean =>
      samples.isDirectlyHeard(daemon, sinceMs);
    const live = samples.others();
    const silent = samples.silent();
    // One that only the store has lost is heard directly and counts as live.
    const directSilent = silent.filter(isDirect).length;
    const heard = live.length + directSilent;
    const directRatio = heard === 0 ? 1 : (live.filter(isDirect).length + directSilent) / heard;
    const hasPeers = live.length + silent.length > 0;
    const storedMs = samplePeriodMs + sampleReadGapMs + sampleDelayMs;
    return {
      daemons: heard + 1,
      silentDaemons: silent.length - directSilent,
      isCurrent: samples.isCurrent || (hasPeers && directRatio === 1),
      // Between the delay of direct reports and that of the store, as many daemons as each reaches.
      untoldMs: directRatio * (newsPeriodMs + newsDelayMs) + (1 - directRatio) * storedMs,
    };
  }

  override grantedByOthers(workspaceName: string): number {
    return this.#options.samples.grantedByOthers(workspaceName);
  }

  override askedOfOthers(workspaceName: string): number {
    return this.#options.samples.askedOfOthers(workspaceName);
  }

  start(): void {
    this.#news.listen();
    this.#tellGrantsLater();
  }

  stop(): void {
    this.#stopTelling();
    this.#news.close();
  }

  /** Tells all live daemons of a long prompt. */
  tellPrefill(news: PrefillNews): void {
    this.#news.tellPrefill(news);
  }

  /**
   * Tells the totals that changed, each change twice, as datagrams are lost. What is lost all the same
   * comes with the next change or with the next sample.
   */
  #tellGrantsLater(): void {
    const { clock, daemon, incarnation, counts, maxRegistrationGapMs } = this.#options;
    this.#stopTelling = clock.schedule(clock.nowMs() + this.#pace.newsPeriodMs, () => {
      this.#pace = exchangePace(this.hearing().daemons, maxRegistrationGapMs);
      const { granted, asked } = counts();
      this.#news.tellGrants({
        daemon,
        incarnation,
        granted: this.#toldGranted.changed(granted),
        asked: this.#toldAsked.changed(asked),
      });
      this.#tellGrantsLater();
    });
  }
}
