import { Outcome, Random, VirtualClock } from '../../src/core/index.js';
import { EndpointState } from '../../src/fleet/index.js';
import { RequestKind, type TrafficRoute } from '../../src/gateway/traffic-config.js';
import { HistoryKind, HistoryRecorder } from './history.js';
import {
  NoticingEndpoints,
  processKey,
  wholeBody,
  type NoticingProcess,
} from './noticing-endpoints.js';
import { SimulatedProcess } from './process.js';
import { SimulatedGateway, type GatewayAnswer } from './simulated-gateway.js';

export const gatewayCount = 3;
const heartbeatMs = 1_200;
/** Age of the registrations that a daemon knows; below the time for which leaving endpoints serve. */
const maxLagMs = 2_400;
const failureRatio = 0.05;
const datagramLossRatio = 0.1;
const maxDatagramMs = 150;
const connectionLossMs = 20_000;
/** Time after the last fault by which calls, pauses and suspicions have ended. */
const settleMs = 22_000;

/** Kinds of calls, each with its route. */
export const callRoutes: readonly TrafficRoute[] = [
  routeOf('get', RequestKind.Idempotent),
  routeOf('order', RequestKind.AtMostOnce),
  routeOf('stream', RequestKind.Stream),
];

/** Gateways before endpoints that say themselves that they leave or want a pause. */
export class NoticeWorld {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly history = new HistoryRecorder(this.clock);
  readonly endpoints: NoticingEndpoints;
  readonly #gateways: SimulatedGateway[] = [];
  readonly #cutUntilMs: number[] = [];
  /** Age of the registrations at each daemon, in milliseconds. */
  readonly #lagsMs: number[] = [];
  #hasFaults = true;
  #runCount = 0;
  #callCount = 0;
  #actorError: unknown;

  constructor(seed: number) {
    this.random = new Random(seed);
    const { clock, history } = this;
    this.endpoints = new NoticingEndpoints({
      clock,
      history,
      random: this.random.fork(),
      failureRatio,
    });
    for (let place = 0; place < gatewayCount; place++) {
      this.#lagsMs.push(this.random.int(0, maxLagMs));
      this.#startGateway(place);
    }
    clock.every(heartbeatMs, () => {
      this.#announce(this.endpoints.processes);
    });
  }

  /** Lets the daemons read the registrations. */
  async start(): Promise<void> {
    this.#announce(this.endpoints.processes);
    await this.clock.advance(maxLagMs + 1);
  }

  gateway(place: number): SimulatedGateway {
    return this.#gateways[place]!;
  }

  fault(what: string): void {
    this.history.record({ kind: HistoryKind.Fault, what });
  }

  /** Cuts a daemon off from the endpoints. */
  cut(place: number, untilMs: number): void {
    this.#cutUntilMs[place] = Math.max(untilMs, this.#cutUntilMs[place] ?? -Infinity);
  }

  /** Ends a process and starts another one in its place, whose registration follows. */
  restart(place: number, keepsId: boolean, keepsAddress: boolean): void {
    const old = this.endpoints.processes[place]!;
    this.endpoints.restart(place, keepsId, keepsAddress);
    this.#announce([this.endpoints.processes[place]!]);
    if (keepsId) return;
    this.#gateways.forEach((_, at) => {
      this.#later(at, (gateway) => {
        gateway.endpoints.remove(old.instanceId);
      });
    });
  }

  /** Runs an actor beside the commands. */
  spawn(actor: () => Promise<void>): void {
    actor().catch((error: unknown) => {
      this.#actorError ??= error;
    });
  }

  /** Makes a call at a daemon. @param leaveInMs - time after which the caller leaves, if it does. */
  async call(
    place: number,
    service: string,
    route: TrafficRoute,
    timeoutMs: number,
    leaveInMs: number | undefined,
  ): Promise<GatewayAnswer | undefined> {
    const { clock, history, random } = this;
    const gateway = this.gateway(place);
    if (gateway.process.isCrashed || gateway.process.isPaused) return undefined;
    const requestId = `call-${++this.#callCount}`;
    const events = route.kind === RequestKind.Stream ? random.int(1, 20) : 0;
    const key = route.kind === RequestKind.AtMostOnce ? requestId : '';
    history.record({
      kind: HistoryKind.CallStarted,
      callId: requestId,
      key,
      expectedBody: wholeBody(requestId, events),
    });
    const left = new AbortController();
    if (leaveInMs !== undefined) {
      clock.schedule(clock.nowMs() + leaveInMs, () => {
        left.abort();
      });
    }
    const answer = await Promise.race([
      gateway.call(
        {
          requestId,
          route: { ...route, shares: [{ serviceName: service, weight: 1 }] },
          key,
          events,
          deadlineAtMs: clock.nowMs() + timeoutMs,
        },
        left.signal,
      ),
      // The connection to a daemon that crashed breaks.
      clock.sleepUntil(clock.nowMs() + connectionLossMs).then(() => undefined),
    ]);
    this.#recordEnd(requestId, answer);
    if (answer?.status === 503) this.#recordRefusal(requestId, service, gateway, answer);
    return answer;
  }

  /** Ends all faults, and checks that the daemons use each sound endpoint again. */
  async finish(): Promise<void> {
    const { clock, history } = this;
    this.#hasFaults = false;
    this.#cutUntilMs.length = 0;
    for (const { process } of this.#gateways) process.resume();
    await clock.advance(settleMs);
    for (let place = 0; place < gatewayCount; place++) {
      const gateway = this.gateway(place);
      for (const process of this.endpoints.processes) {
        if (process.isLeaving) continue;
        history.record({
          kind: HistoryKind.EndpointUsable,
          endpointId: processKey(process),
          daemon: gateway.run,
          isUsable: gateway.mayUse(process.instanceId, process.startedAtMs),
        });
      }
    }
    if (this.#actorError !== undefined) throw this.#actorError as Error;
    history.record({ kind: HistoryKind.HistoryEnded });
  }

  #recordEnd(callId: string, answer: GatewayAnswer | undefined): void {
    const isServed = answer?.isWhole === true && answer.status === 200;
    const isRefused = answer?.status === 503;
    const failure = isRefused ? Outcome.NotRun : Outcome.Unknown;
    this.history.record({
      kind: HistoryKind.CallEnded,
      callId,
      outcome: isServed ? undefined : failure,
      body: answer?.status === 200 ? answer.text : '',
    });
  }

  #recordRefusal(
    callId: string,
    service: string,
    gateway: SimulatedGateway,
    answer: GatewayAnswer,
  ): void {
    const nowMs = this.clock.nowMs();
    const { registry, pauses } = gateway.known;
    const usable = registry
      .views(gateway.endpoints.serviceId(service))
      .filter(({ state }) => state === EndpointState.Live);
    const ends = usable
      .filter(({ id }) => pauses.isPaused(id, nowMs))
      .flatMap(({ id }) => pauses.nextTryAtMs(id, nowMs) ?? []);
    const isAll = ends.length > 0 && ends.length === usable.length;
    this.history.record({
      kind: HistoryKind.CallRefused,
      callId,
      retryAtMs: nowMs + Number(answer.headers['retry-after']) * 1_000,
      pausedUntilMs: isAll ? Math.min(...ends) : undefined,
    });
  }

  /** Tells the daemons that processes say by their registrations that they are ready. */
  #announce(processes: readonly NoticingProcess[]): void {
    const registrations = processes.map((process) => this.endpoints.registration(process));
    this.#gateways.forEach((_, place) => {
      this.#later(place, (gateway) => {
        for (const registration of registrations) gateway.endpoints.register(registration);
      });
    });
  }

  /** Lets a daemon read something of the store, in order, at the age of its copies. */
  #later(place: number, action: (gateway: SimulatedGateway) => void): void {
    const { process } = this.gateway(place);
    process.schedule(this.clock.nowMs() + this.#lagsMs[place]!, () => {
      action(this.gateway(place));
    });
  }

  /** Sends what a daemon was told to the others by datagrams, of which some are lost. */
  #tellPeers(from: number, endpointId: string): void {
    const { run } = this.gateway(from);
    this.#gateways.forEach(({ process }, place) => {
      if (place === from || this.random.float() < datagramLossRatio) return;
      process.schedule(this.clock.nowMs() + this.random.int(1, maxDatagramMs), () => {
        const { peerLeavings } = this.gateway(place).known;
        peerLeavings.report(endpointId, run, 0, this.clock.nowMs());
      });
    });
  }

  #startGateway(place: number): void {
    const { clock, history, endpoints } = this;
    const process = new SimulatedProcess(clock);
    const gateway = new SimulatedGateway({
      clock,
      process,
      random: this.random.fork(),
      history,
      endpoints,
      run: `entry-${place}.${++this.#runCount}`,
      hasFaults: () => this.#hasFaults,
      tellLeaving: (endpointId) => {
        this.#tellPeers(place, endpointId);
      },
      isCut: () => clock.nowMs() < (this.#cutUntilMs[place] ?? -Infinity),
    });
    process.onCrash = () => {
      this.fault(`entry-${place} crashed`);
      clock.schedule(clock.nowMs() + this.random.int(300, 3_000), () => {
        this.#startGateway(place);
      });
    };
    this.#gateways[place] = gateway;
  }
}

/** A route whose calls go to one service; see {@link NoticeWorld.call}. */
export function routeOf(name: string, kind: RequestKind): TrafficRoute {
  return {
    name,
    host: 'shop.example',
    pathPrefix: '/',
    kind,
    timeoutMs: 3_000,
    objectiveMs: 200,
    objectiveBetweenEventsMs: 500,
    priority: 1,
    shares: [],
    maxAttempts: 2,
    isPublic: true,
    hasPrompt: false,
    isResumable: kind === RequestKind.Stream,
  };
}
