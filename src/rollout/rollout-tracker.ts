import type { Clock } from '../core/index.js';
import { EvidenceCounter } from './evidence-counter.js';
import { Arm, type RolloutReport } from './rollout-report.js';

/** A request that is sent to an endpoint. */
export interface TrackedSend {
  readonly serviceName: string;
  readonly routeName: string;
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number;
  readonly version: string;
  /** Whether it is the first send of its request. */
  readonly isFirst: boolean;
}

/** How a send ended, as far as it tells of the endpoint's version. */
export enum SendEnd {
  /** A complete response. */
  Answered = 'answered',
  /** A failure that the endpoint is to blame for. */
  Failed = 'failed',
  /** Anything else: refused, aborted, or ended with its endpoint. */
  Other = 'other',
}

/** One send that was begun; its owner tells how it goes on. */
export abstract class SendTrack {
  /** More events of a stream were received. */
  abstract progressed(events: number): void;
  /** The attempt has ended; a second call is ignored. */
  abstract ended(end: SendEnd): void;
  /**
   * The send is over, but whether the endpoint is to blame is not known yet; nothing runs there any
   * more.
   */
  abstract closed(): void;
}

/** Options of {@link RolloutTracker}. */
export interface RolloutTrackerOptions {
  readonly clock: Clock;
  readonly incarnation: number;
  /** Version that a rollout moves a service to; undefined while none runs. */
  readonly runningTo: (serviceName: string) => string | undefined;
  readonly revisionInForce: (serviceName: string) => number;
}

interface ServiceTracks {
  readonly open: Set<OpenSend>;
  counter: EvidenceCounter;
  /** Version that the counter is about. */
  to: string | undefined;
  sequence: number;
  /** Longest request in this period and in the one before, in milliseconds. */
  longestMs: number;
  previousLongestMs: number;
  periodEndsAtMs: number;
}

/** Events of a stream by whose mean distance its speed is known. */
const gapEvents = 8;

/** An attempt without a response counts as slow after this many objectives, or a second. */
const overdueObjectives = 4;
const minOverdueMs = 1_000;

/** Longest requests are known from the last one to two of these periods. */
const longestPeriodMs = 15_000;

/**
 * What this daemon sees of the versions of its services: requests that are open, and while a rollout
 * runs, responses, failures and latencies by version and route.
 */
export class RolloutTracker {
  readonly #options: RolloutTrackerOptions;
  readonly #services = new Map<string, ServiceTracks>();

  constructor(options: RolloutTrackerOptions) {
    this.#options = options;
  }

  /** A request is sent to an endpoint. */
  sent(send: TrackedSend): SendTrack {
    const tracks = this.#tracksOf(send.serviceName);
    const counter = this.#counterOf(tracks, send.serviceName);
    if (counter) {
      if (send.isFirst) counter.arrivals += 1;
      if (send.version === tracks.to) counter.exposed += 1;
    }
    const open = new OpenSend({
      ...send,
      sentAtMs: this.#options.clock.nowMs(),
      clock: this.#options.clock,
      counter: () => this.#counterOf(tracks, send.serviceName),
      arm: () => (send.version === tracks.to ? Arm.New : Arm.Old),
      onClosed: (elapsedMs) => {
        tracks.open.delete(open);
        tracks.longestMs = Math.max(tracks.longestMs, elapsedMs);
      },
    });
    tracks.open.add(open);
    return open;
  }

  /** Requests of a service open at endpoints of other versions than `to`. */
  openAtOthers(serviceName: string, to: string): number {
    const open = this.#services.get(serviceName)?.open ?? [];
    return [...open].filter(({ version }) => version !== to).length;
  }

  /** What to report of the rollout of a service; undefined while none runs. */
  report(serviceName: string): RolloutReport | undefined {
    const tracks = this.#tracksOf(serviceName);
    const counter = this.#counterOf(tracks, serviceName);
    if (!counter || tracks.to === undefined) return undefined;
    this.#turnPeriod(tracks);
    const nowMs = this.#options.clock.nowMs();
    let longestMs = Math.max(tracks.longestMs, tracks.previousLongestMs);
    for (const open of tracks.open) {
      open.checkOverdue(nowMs);
      longestMs = Math.max(longestMs, nowMs - open.sentAtMs);
    }
    return {
      serviceName,
      to: tracks.to,
      incarnation: this.#options.incarnation,
      sequence: tracks.sequence++,
      revision: this.#options.revisionInForce(serviceName),
      openAtOld: this.openAtOthers(serviceName, tracks.to),
      longestMs: Math.round(longestMs),
      arrivals: counter.arrivals,
      exposed: counter.exposed,
      cells: counter.cells(),
    };
  }

  #turnPeriod(tracks: ServiceTracks): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < tracks.periodEndsAtMs) return;
    const isCurrent = nowMs < tracks.periodEndsAtMs + longestPeriodMs;
    tracks.previousLongestMs = isCurrent ? tracks.longestMs : 0;
    tracks.longestMs = 0;
    tracks.periodEndsAtMs = nowMs + longestPeriodMs;
  }

  /** Counts of the rollout that runs, begun anew with each version. */
  #counterOf(tracks: ServiceTracks, serviceName: string): EvidenceCounter | undefined {
    const to = this.#options.runningTo(serviceName);
    if (to !== undefined && to !== tracks.to) {
      tracks.to = to;
      tracks.counter = new EvidenceCounter();
    }
    return to === undefined ? undefined : tracks.counter;
  }

  #tracksOf(serviceName: string): ServiceTracks {
    let tracks = this.#services.get(serviceName);
    if (!tracks) {
      tracks = {
        open: new Set(),
        counter: new EvidenceCounter(),
        to: undefined,
        sequence: 0,
        longestMs: 0,
        previousLongestMs: 0,
        periodEndsAtMs: this.#options.clock.nowMs() + longestPeriodMs,
      };
      this.#services.set(serviceName, tracks);
    }
    if (tracks.open.size === 0) this.#turnPeriod(tracks);
    return tracks;
  }
}

interface OpenSendOptions extends TrackedSend {
  readonly sentAtMs: number;
  readonly clock: Clock;
  readonly counter: () => EvidenceCounter | undefined;
  readonly arm: () => Arm;
  readonly onClosed: (elapsedMs: number) => void;
}

class OpenSend extends SendTrack {
  readonly version: string;
  readonly sentAtMs: number;
  readonly #options: OpenSendOptions;
  #events = 0;
  #firstEventAtMs: number | undefined;
  #isAnswered = false;
  #hasGap = false;
  #isOpen = true;
  #isEnded = false;

  constructor(options: OpenSendOptions) {
    super();
    this.#options = options;
    this.version = options.version;
    this.sentAtMs = options.sentAtMs;
  }

  override progressed(events: number): void {
    const nowMs = this.#options.clock.nowMs();
    if (this.#firstEventAtMs === undefined) {
      this.#firstEventAtMs = nowMs;
      this.#answer(nowMs);
      return;
    }
    this.#events += events;
    if (this.#hasGap || this.#events < gapEvents) return;
    this.#hasGap = true;
    const { counter, routeName, arm } = this.#options;
    counter()?.recordGap(routeName, arm(), (nowMs - this.#firstEventAtMs) / this.#events);
  }

  override closed(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#options.onClosed(this.#options.clock.nowMs() - this.sentAtMs);
  }

  override ended(end: SendEnd): void {
    this.closed();
    if (this.#isEnded) return;
    this.#isEnded = true;
    const { clock, counter, routeName, arm } = this.#options;
    if (end === SendEnd.Answered) this.#answer(clock.nowMs());
    if (end !== SendEnd.Failed) return;
    if (!this.#isAnswered) counter()?.recordResponse(routeName, arm());
    this.#isAnswered = true;
    counter()?.recordBad(routeName, arm());
  }

  /** Counts a response that does not come as one that took this long. */
  checkOverdue(nowMs: number): void {
    const limitMs = Math.max(minOverdueMs, overdueObjectives * this.#options.objectiveMs);
    if (nowMs >= this.sentAtMs + limitMs) this.#answer(nowMs);
  }

  #answer(nowMs: number): void {
    if (this.#isAnswered) return;
    this.#isAnswered = true;
    const { counter, routeName, arm } = this.#options;
    counter()?.recordResponse(routeName, arm());
    counter()?.recordFirst(routeName, arm(), nowMs - this.sentAtMs);
  }
}
