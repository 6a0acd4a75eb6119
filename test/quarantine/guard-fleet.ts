import { Random, VirtualClock, type Clock } from '../../src/core/index.js';
import { KeyedReplica } from '../../src/log/keyed-replica.js';
import { ListenCheck, type BrokenRequest } from '../../src/quarantine/crash-detector.js';
import { PromptGuard } from '../../src/quarantine/prompt-guard.js';
import type { QuarantineMessage } from '../../src/quarantine/quarantine-message.js';
import { KeyedLogFault, MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { RecordingEventLog } from '../gateway/recording-event-log.js';
import { PrometheusMetrics } from '../../src/telemetry/prometheus-metrics.js';

const topic = 'duties';

/** Times that messages take: a datagram by two distributors, and a sample through the store. */
const datagramDelayMs = 150;
const sampleDelayMs = 2_800;
const samplePeriodMs = 2_800;

const tickPeriodMs = 500;
const replicaReadIntervalMs = 2_000;

/** Time from which an endpoint listens until its registration is known. */
const registrationMs = 1_400;

/** Time from the receipt of a request at an endpoint until it begins to write. */
const serviceMs = 80;

const soundUrl = 'http://127.0.0.1:1';

/** Addresses of ended endpoints refuse connections until a successor listens there. */
class EndpointCheck extends ListenCheck {
  readonly refusingUntilMs = new Map<string, number>();
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override isListening(baseUrl: string): Promise<boolean> {
    const untilMs = this.refusingUntilMs.get(baseUrl) ?? -Infinity;
    return Promise.resolve(untilMs <= this.#clock.nowMs());
  }
}

/** Options of {@link GuardFleet}. */
export interface GuardFleetOptions {
  readonly daemons: number;
  readonly seed: number;
  /** Part of the datagrams that are lost. */
  readonly datagramLossRatio: number;
  /** Time after the start of all daemons until their datagrams arrive, in milliseconds. */
  readonly unheardForMs: number;
  /** Time after an end from which the address accepts connections again. */
  readonly restartMs: number;
  /** Whether answers end with their connections, so that an ending endpoint seems to complete them. */
  readonly hasNoLengths: boolean;
}

/** The guards of many daemons on a virtual clock, before endpoints that crash under one part. */
export class GuardFleet {
  readonly clock = new VirtualClock(1_000_000);
  readonly log = new MemoryKeyedLog();
  readonly guards: PromptGuard[] = [];
  /** What all daemons logged. */
  readonly events = new RecordingEventLog();
  /** Epoch milliseconds of each endpoint's end. */
  readonly crashesAtMs: number[] = [];
  /** Epoch milliseconds at which requests with the poison part were sent. */
  readonly poisonSendsAtMs: number[] = [];
  /** Messages that daemons sent to all others. */
  readonly sent: QuarantineMessage[] = [];
  holder = 0;
  readonly #options: GuardFleetOptions;
  readonly #random: Random;
  readonly #check = new EndpointCheck(this.clock);
  readonly #replicas: KeyedReplica[] = [];
  readonly #heardFromMs: number;
  #requests = 0;
  #addresses = 0;

  constructor(options: GuardFleetOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#heardFromMs = this.clock.nowMs() + options.unheardForMs;
    for (let at = 0; at < options.daemons; at++) this.#addGuard(at);
  }

  /** Number of daemons at which a request with the part is held back. */
  heldBackAt(partId: string): number {
    return this.guards.filter((guard) => guard.find([partId]) !== undefined).length;
  }

  /**
   * A request at a random daemon, or at `at`, under which its endpoint ends.
   *
   * @param bystander - parts of the prompt of another request in progress there.
   */
  async sendPoison(part: string, at?: number, bystander?: readonly string[]): Promise<void> {
    const guard = this.guards[at ?? this.#random.int(0, this.guards.length - 1)]!;
    const requestId = `r${++this.#requests}`;
    const partIds = [`first${this.#random.int(0, 3)}`, part];
    if (guard.admit(partIds)) return;
    const { clock } = this;
    const sentAtMs = clock.nowMs();
    this.poisonSendsAtMs.push(sentAtMs);
    await clock.sleepUntil(sentAtMs + serviceMs);
    this.crashesAtMs.push(clock.nowMs());
    const baseUrl = this.crashedUrl();
    const hasEvents = this.#options.hasNoLengths;
    const broken: BrokenRequest = {
      endpointId: `i-${requestId}`,
      baseUrl,
      requestId,
      partIds,
      sentAtMs,
      firstEventAtMs: hasEvents ? clock.nowMs() : undefined,
      lastEventAtMs: hasEvents ? clock.nowMs() : undefined,
    };
    if (this.#options.hasNoLengths) {
      guard.answerMayBeCut(broken);
      // The next registration there ends that of the one before.
      await clock.sleepUntil(clock.nowMs() + this.#options.restartMs + registrationMs);
      for (const other of this.guards) other.endpointRetired(broken.endpointId);
      return;
    }
    const other = { ...broken, requestId: `${requestId}-bystander`, partIds: bystander ?? [] };
    await Promise.all([guard.requestBroke(broken), guard.requestBroke(other)]);
  }

  /** An endpoint crashes under requests of several daemons, each given with its parts. */
  async crashUnder(requests: ReadonlyMap<number, readonly string[]>): Promise<void> {
    const endpointId = `i-${++this.#requests}`;
    const baseUrl = this.crashedUrl();
    const nowMs = this.clock.nowMs();
    this.crashesAtMs.push(nowMs);
    const times = { sentAtMs: nowMs - serviceMs, firstEventAtMs: undefined };
    const broken = [...requests].map(([at, partIds]) => {
      const requestId = `${endpointId}-${at}`;
      const request = { endpointId, baseUrl, requestId, partIds, lastEventAtMs: undefined };
      return this.guards[at]!.requestBroke({ ...request, ...times });
    });
    await Promise.all(broken);
  }

  /** Address of an endpoint that has just ended. */
  crashedUrl(): string {
    const baseUrl = `http://127.0.0.1:${1_000 + this.#addresses++}`;
    const refusingUntilMs = this.clock.nowMs() + this.#options.restartMs;
    this.#check.refusingUntilMs.set(baseUrl, refusingUntilMs);
    return baseUrl;
  }

  /** An answer on the parts comes whole at a random daemon. */
  answer(...partIds: string[]): void {
    const guard = this.guards[this.#random.int(0, this.guards.length - 1)]!;
    if (!guard.admit(partIds)) guard.answered({ partIds, sentAtMs: this.clock.nowMs() - 200 });
  }

  /** Like {@link answer}, for one that has no length and ends with its connection. */
  answerWithoutLength(...partIds: string[]): void {
    const guard = this.guards[this.#random.int(0, this.guards.length - 1)]!;
    if (guard.admit(partIds)) return;
    const nowMs = this.clock.nowMs();
    guard.answerMayBeCut({
      endpointId: 'i-sound',
      baseUrl: soundUrl,
      requestId: `r${++this.#requests}`,
      partIds,
      sentAtMs: nowMs - 200,
      firstEventAtMs: nowMs - 100,
      lastEventAtMs: nowMs,
    });
  }

  stop(): void {
    for (const replica of this.#replicas) replica.stop();
    for (const guard of this.guards) guard.stop();
  }

  get #isHeard(): boolean {
    return this.#options.datagramLossRatio < 1 && this.clock.nowMs() >= this.#heardFromMs;
  }

  #addGuard(at: number): void {
    const { clock, log } = this;
    const events = this.events;
    const random = this.#random.fork();
    const replica = new KeyedReplica({
      log,
      topic,
      clock,
      random,
      events,
      waitMs: 0,
      minReadIntervalMs: () => replicaReadIntervalMs,
      minOutageMs: 1_200,
    });
    const guard = new PromptGuard({
      check: this.#check,
      log,
      topic,
      replica,
      publish: (message) => {
        this.#broadcast(at, message);
      },
      reportsCompleteSinceMs: () => (this.#isHeard ? this.#heardFromMs : Infinity),
      isDutyHolder: () => this.holder === at,
      onEndpointCrash: () => undefined,
      clock,
      events,
      metrics: new PrometheusMetrics(),
    });
    this.guards.push(guard);
    this.#replicas.push(replica);
    replica.start();
    clock.every(tickPeriodMs, () => void guard.tick());
    clock.every(samplePeriodMs, () => {
      this.#publishSample(at);
    });
  }

  #broadcast(from: number, message: QuarantineMessage): void {
    this.sent.push(message);
    if (!this.#isHeard) return;
    for (const [at, guard] of this.guards.entries()) {
      if (at === from || this.#random.float() < this.#options.datagramLossRatio) continue;
      this.clock.schedule(this.clock.nowMs() + datagramDelayMs, () => {
        guard.receive(message);
      });
    }
  }

  #publishSample(from: number): void {
    const reports = this.guards[from]!.recentReports();
    if (reports.length === 0 || this.log.fault === KeyedLogFault.Down) return;
    const sampledAtMs = this.clock.nowMs();
    this.clock.schedule(this.clock.nowMs() + sampleDelayMs, () => {
      for (const [at, guard] of this.guards.entries()) {
        if (at !== from) guard.receiveReports(reports, sampledAtMs);
      }
    });
  }
}
