import { Random, VirtualClock, sha256Hex } from '../../src/core/index.js';
import type { ReclaimNotice } from '../../src/jobs/index.js';
import { MemoryLogService, MemoryPeerNetwork } from '../../src/standins/index.js';
import { JobStatus } from '../../src/state/index.js';
import { FakeEndpoint, FakeEndpointState } from './fake-engine.js';
import { HistoryKind, HistoryRecorder, eventsOf } from './history.js';
import { SeededLogFaults } from './seeded-log-faults.js';
import { ProcessLogService, SimulatedProcess } from './process.js';
import { SettingsJudge } from './settings-judge.js';
import { SimulatedDaemon, daemonUrl } from './simulated-daemon.js';
import { SimulatedEndpoints, regions } from './simulated-endpoints.js';
import { Operator } from './simulated-settings.js';

export const failureDomains = ['domain-a', 'domain-b', 'domain-c'] as const;
export const operatorCount = 2;
const warmUpStepMs = 1_000;
const warmUpLimitMs = 60_000;
const observePeriodMs = 100;
/** Longer than a read that stays silent, so that two in a row do not exceed the 20 s of P7. */
const silenceGapMs = 40_000;
const endpointsPerDomain = 2;
/** Longest virtual time in which a healed system must have finished its jobs. */
const settleLimitMs = 180_000;

/** Which optional parts a history has; each costs run time. */
export interface WorldParts {
  readonly settings: boolean;
  /** Chats over endpoints of two regions, with four daemons instead of three. */
  readonly chats: boolean;
}

/** Everything that one history runs against. */
export class World {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly history = new HistoryRecorder(this.clock);
  readonly log: MemoryLogService;
  readonly faults: SeededLogFaults;
  readonly endpoints: FakeEndpoint[] = [];
  readonly #daemons: SimulatedDaemon[] = [];
  readonly #notices: ReclaimNotice[] = [];
  readonly network = new MemoryPeerNetwork({ clock: this.clock });
  readonly chatEndpoints: SimulatedEndpoints | undefined;
  readonly #parts: WorldParts;
  readonly #daemonCount: number;
  readonly judge: SettingsJudge | undefined;
  readonly #operators: Operator[] = [];
  readonly #servingSinceMs = new Map<number, number>();
  readonly #silentUntilMs = new Map<number, number>();
  #operatorRuns = 0;
  #actorError: unknown;
  #incarnation = 0;
  #endpointCount = 0;
  #callCount = 0;

  constructor(seed: number, parts: WorldParts) {
    this.random = new Random(seed);
    this.#parts = parts;
    this.#daemonCount = parts.chats ? 4 : 3;
    this.faults = new SeededLogFaults(this.clock, this.random.fork());
    this.log = new MemoryLogService({ clock: this.clock, faults: this.faults });
    for (const domain of failureDomains) {
      for (let index = 0; index < endpointsPerDomain; index++) this.#startEndpoint(domain);
    }
    if (parts.settings) {
      this.judge = new SettingsJudge(this.log, this.history);
    }
    if (parts.chats) {
      const { clock, history } = this;
      const chatEndpoints = new SimulatedEndpoints({ clock, history, random: this.random.fork() });
      this.chatEndpoints = chatEndpoints;
      this.network.isCut = (from, to) => chatEndpoints.isCut(regionOfUrl(from), regionOfUrl(to));
    }
    for (let index = 0; index < this.#daemonCount; index++) this.#startDaemon(index);
    if (parts.settings) {
      for (let index = 0; index < operatorCount; index++) this.restartOperator(index);
    }
    if (parts.settings || parts.chats) {
      this.clock.every(observePeriodMs, () => {
        this.#observe();
      });
    }
  }

  /** Lets the daemons of chats meet, as faults come to a deployment that runs already. */
  async start(): Promise<void> {
    const isReady = (): boolean => this.#daemons.every(({ fleet }) => fleet?.isReady !== false);
    for (let waitedMs = 0; !isReady() && waitedMs < warmUpLimitMs; waitedMs += warmUpStepMs) {
      await this.clock.advance(warmUpStepMs);
    }
  }

  /** The tool that an operator runs now. */
  operator(index: number): Operator {
    return this.#operators[index]!;
  }

  /** Ends an operator's tool, whose appends on their way still arrive, and starts it again. */
  restartOperator(index: number): void {
    this.#operators[index]?.close();
    const process = new SimulatedProcess(this.clock);
    this.#operators[index] = new Operator({
      process,
      log: new ProcessLogService(this.log, process),
      random: this.random.fork(),
      run: `operator-${index}.${++this.#operatorRuns}`,
    });
  }

  /** Makes the next read of the log by a daemon silent, at most once in a while. */
  silenceRead(place: number): void {
    const nowMs = this.clock.nowMs();
    if (nowMs < (this.#silentUntilMs.get(place) ?? 0)) return;
    this.#silentUntilMs.set(place, nowMs + silenceGapMs);
    this.fault(`a read of entry-${place} goes silent`);
    this.daemon(place).process.silentReads += 1;
  }

  /** The daemon now in a place; a crashed one until it is replaced. */
  daemon(place: number): SimulatedDaemon {
    return this.#daemons[place % this.#daemonCount]!;
  }

  /** All daemons, by place. */
  get daemons(): readonly SimulatedDaemon[] {
    return this.#daemons;
  }

  anyDaemon(): SimulatedDaemon {
    // The balancer sends to a crashed daemon for a while, but to none that announced its stop.
    const open = this.#daemons.filter(({ takesRequests, process }) => {
      return takesRequests || process.isCrashed;
    });
    return this.random.pick(open.length > 0 ? open : this.#daemons);
  }

  newCallId(): string {
    return `call-${++this.#callCount}`;
  }

  fault(what: string): void {
    this.history.record({ kind: HistoryKind.Fault, what });
  }

  /** Runs an actor beside the commands. */
  spawn(actor: () => Promise<void>): void {
    actor().catch((error: unknown) => {
      this.#actorError ??= error;
    });
  }

  sleep(ms: number): Promise<void> {
    return this.clock.sleepUntil(this.clock.nowMs() + ms);
  }

  /** Takes the endpoints of a failure domain away at `inMs`; replacements come later. */
  loseDomain(domain: string, inMs: number): void {
    const lost = this.endpoints.filter(
      ({ options, state }) => options.failureDomain === domain && state === FakeEndpointState.Live,
    );
    const replaceInMs = inMs + this.random.int(1_000, 20_000);
    this.clock.schedule(this.clock.nowMs() + inMs, () => {
      for (const endpoint of lost) endpoint.state = FakeEndpointState.Lost;
    });
    this.clock.schedule(this.clock.nowMs() + replaceInMs, () => {
      for (const { options } of lost) this.#startEndpoint(options.failureDomain);
    });
  }

  /** Announces the loss of a failure domain; a few daemons miss the notice. */
  announce(domain: string, noticeMs: number): void {
    const endpointIds = this.endpoints
      .filter(({ options }) => options.failureDomain === domain)
      .map(({ options }) => options.id);
    const notice = { endpointIds, deadlineAtMs: this.clock.nowMs() + noticeMs };
    this.#notices.push(notice);
    this.history.record({ kind: HistoryKind.ReclaimAnnounced, endpointIds });
    for (const daemon of this.#daemons) {
      if (this.random.float() < 0.1) continue;
      void daemon.process.deliver(this.sleep(this.random.int(1, 500))).then(() => {
        daemon.manager.reclaim(notice);
      });
    }
    this.loseDomain(domain, noticeMs);
  }

  /**
   * Ends all faults, waits until the accepted jobs have ended, and records how.
   *
   * @throws the first error that an actor met and did not expect, such as a wrong digest.
   */
  async finish(): Promise<void> {
    this.faults.heal();
    this.chatEndpoints?.heal();
    for (const daemon of this.#daemons) daemon.process.resume();
    for (let waitedMs = 0; waitedMs < settleLimitMs; waitedMs += 5_000) {
      await this.clock.advance(5_000);
      if (waitedMs >= 20_000 && this.#hasSettled()) break;
    }
    this.#observe(true);
    if (this.#actorError !== undefined) throw this.#actorError as Error;
    const [daemon] = this.#daemons;
    for (const job of daemon?.jobs.jobs() ?? []) {
      this.history.record({
        kind: HistoryKind.JobEnded,
        jobId: job.jobId,
        isDone: job.status === JobStatus.Done,
        text: job.text,
      });
    }
    this.history.record({ kind: HistoryKind.HistoryEnded });
  }

  /** Whether the service has run a call of the claim's key, as an operator finds out by looking. */
  hasRun(keyHash: string): boolean {
    return eventsOf(this.history.events, HistoryKind.WorkRan).some(
      ({ key }) => key !== '' && sha256Hex(key) === keyHash,
    );
  }

  /** Follows the log and which daemons run and reach it. */
  #observe(isEnd = false): void {
    this.judge?.observe();
    this.chatEndpoints?.observe(
      // A daemon that is still starting has not met its peers yet.
      this.#daemons.filter(
        ({ process, fleet }) => !process.isPaused && !process.isCrashed && fleet?.isReady === true,
      ),
    );
    if (isEnd) this.chatEndpoints?.endObservation();
    const nowMs = this.clock.nowMs();
    this.#daemons.forEach(({ process }, place) => {
      const isServing = !isEnd && !process.isPaused && !process.isCrashed && !this.faults.isOut;
      const sinceMs = this.#servingSinceMs.get(place);
      if (isServing && sinceMs === undefined) this.#servingSinceMs.set(place, nowMs);
      if (isServing || sinceMs === undefined) return;
      this.#servingSinceMs.delete(place);
      this.history.record(
        { kind: HistoryKind.DaemonServing, daemon: `entry-${place}`, untilMs: nowMs },
        sinceMs,
      );
    });
  }

  #hasSettled(): boolean {
    return this.#daemons.every(({ jobs }) => jobs.activeJobs().length === 0);
  }

  #startDaemon(place: number): void {
    const daemon = new SimulatedDaemon({
      clock: this.clock,
      log: this.log,
      endpoints: this.endpoints,
      random: this.random,
      history: this.history,
      name: `entry-${place}`,
      incarnation: ++this.#incarnation,
      network: this.network,
      urls: Array.from({ length: this.#daemonCount }, (_, index) => daemonUrl(`entry-${index}`)),
      region: regionOfPlace(place),
      hasSettings: this.#parts.settings,
      chatEndpoints: this.chatEndpoints,
    });
    // A new daemon pulls the leaving endpoints from a peer before it is ready.
    for (const notice of this.#notices) daemon.manager.reclaim(notice);
    const replaceLater = (what: string): void => {
      this.fault(`entry-${place} ${what}`);
      this.network.close(daemonUrl(`entry-${place}`));
      const atMs = this.clock.nowMs() + this.random.int(500, 10_000);
      this.clock.schedule(atMs, () => {
        this.#startDaemon(place);
      });
    };
    daemon.process.onCrash = () => {
      this.history.record({ kind: HistoryKind.DaemonCrashed, daemon: daemon.run });
      replaceLater('crashed');
    };
    daemon.process.onExit = () => {
      replaceLater('has stopped');
    };
    this.#daemons[place] = daemon;
  }

  #startEndpoint(failureDomain: string): void {
    const id = `endpoint-${++this.#endpointCount}`;
    this.endpoints.push(
      new FakeEndpoint({
        clock: this.clock,
        id,
        failureDomain,
        tokenGapMs: 100,
        onStart: (_, tag) => {
          this.history.record({ kind: HistoryKind.WorkRan, workId: tag, key: '' });
        },
      }),
    );
  }
}

function regionOfPlace(place: number): string {
  return regions[Math.floor(place / 2) % regions.length] ?? '';
}

/** Region of a daemon's RPC address. */
function regionOfUrl(url: string): string {
  return regionOfPlace(Number(/entry-(\d+)/.exec(url)?.[1] ?? 0));
}
