import { IncomingMessage, ServerResponse, type OutgoingHttpHeaders } from 'node:http';
import { Socket } from 'node:net';
import { HeaderCodec } from '../../platform/header-codec.js';
import { decodeNotice } from '../../platform/endpoint-notice.js';
import { headers } from '../../platform/names.js';
import { SharedRetryBudget } from '../../src/admission/shared-retry-budget.js';
import { RateMeter } from '../../src/capacity/rate-meter.js';
import { CallerConnection, type Clock, type Random } from '../../src/core/index.js';
import {
  EndpointProbe,
  EndpointState,
  RegisteredEndpoints,
  StallDetector,
  type ProbeResponse,
  type ProbeTarget,
} from '../../src/fleet/index.js';
import { ReadTurns } from '../../src/core/read-turns.js';
import { CallerExchange } from '../../src/gateway/caller-exchange.js';
import { EndpointKnowledge } from '../../src/gateway/endpoint-knowledge.js';
import { Placement } from '../../src/gateway/placement.js';
import { RequestMetrics } from '../../src/gateway/request-metrics.js';
import { RequestRelay, UsageObserver } from '../../src/gateway/request-relay.js';
import type { TrafficRoute } from '../../src/gateway/traffic-config.js';
import { KeyedReplica } from '../../src/log/keyed-replica.js';
import { ListenCheck } from '../../src/quarantine/crash-detector.js';
import { PromptGuard } from '../../src/quarantine/prompt-guard.js';
import { MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { NullEventLog, NullMetrics } from '../../src/telemetry/index.js';
import type { HistoryRecorder } from './history.js';
import type { NoticingEndpoints } from './noticing-endpoints.js';
import type { SimulatedProcess } from './process.js';
import { SimulatedConnections, eventsHeader, workKeyHeader } from './simulated-connections.js';

const duties = 'duties';

/** A call of a caller to a gateway. */
export interface GatewayCall {
  readonly requestId: string;
  readonly route: TrafficRoute;
  /** Key of work that runs once at most; empty for other work. */
  readonly key: string;
  /** Number of events of a stream; 0 for other requests. */
  readonly events: number;
  /** Epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/** What a caller got. */
export interface GatewayAnswer {
  /** 0 if no head came. */
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly text: string;
  readonly isWhole: boolean;
}

/** Options of {@link SimulatedGateway}. */
export interface SimulatedGatewayOptions {
  readonly clock: Clock;
  readonly process: SimulatedProcess;
  readonly random: Random;
  readonly history: HistoryRecorder;
  readonly endpoints: NoticingEndpoints;
  /** Name of this run of the daemon. */
  readonly run: string;
  readonly hasFaults: () => boolean;
  readonly isCut: () => boolean;
  /** Tells the other daemons that an endpoint leaves. */
  readonly tellLeaving: (endpointId: string) => void;
}

/** The parts of a gateway that choose endpoints and relay requests, without a network. */
export class SimulatedGateway {
  readonly process: SimulatedProcess;
  readonly run: string;
  readonly endpoints: RegisteredEndpoints;
  readonly known: EndpointKnowledge;
  readonly #relay: RequestRelay;

  constructor(options: SimulatedGatewayOptions) {
    const { process: clock, random, run } = options;
    const events = new NullEventLog();
    const metrics = new NullMetrics();
    this.process = clock;
    this.run = run;
    this.known = new EndpointKnowledge({
      daemon: run,
      region: 'north',
      random: random.fork(),
      clock,
      events,
      metrics,
      onLeaving: options.tellLeaving,
    });
    const { registry, pauses, notices } = this.known;
    this.endpoints = new RegisteredEndpoints({
      registry,
      clock,
      events,
      knownAsOfMs: () => clock.nowMs(),
      outageEndedAtMs: () => -Infinity,
    });
    const connections = new SimulatedConnections({ ...options, random: random.fork() });
    const probe = new SimulatedProbe(connections, (target) => this.endpoints.instanceIdOf(target));
    this.#relay = new RequestRelay({
      placement: new Placement({
        known: this.known,
        endpoints: this.endpoints,
        demand: new RateMeter(10_000),
        broadcastPrefill: () => undefined,
        clock,
      }),
      endpoints: this.endpoints,
      registry,
      connections,
      codec: new HeaderCodec(),
      stallDetector: new StallDetector({ clock, registry, probe, pauses, notices }),
      notices,
      pauses,
      retries: new SharedRetryBudget({ windowMs: 10_000, ratio: 0.2, slack: 100 }),
      guard: createGuard(clock, random.fork()),
      usage: new NullUsage(),
      readTurns: new ReadTurns(),
      clock,
      events,
      metrics: new RequestMetrics(metrics, clock),
    });
  }

  /** Relays a call. @param left - aborted when the caller leaves. */
  async call(call: GatewayCall, left: AbortSignal): Promise<GatewayAnswer> {
    const { requestId, route, key, events, deadlineAtMs } = call;
    const socket = new Socket();
    const request = new IncomingMessage(socket);
    request.method = route.name === 'get' ? 'GET' : 'POST';
    request.url = '/x';
    request.headers = {
      [headers.requestId]: requestId,
      ...(key === '' ? {} : { [workKeyHeader]: key }),
      ...(events === 0 ? {} : { [eventsHeader]: String(events) }),
    };
    const receivedAtMs = this.process.nowMs();
    const exchange = new CollectingExchange({
      request,
      response: new ServerResponse(request),
      connection: new CallerConnection(socket),
      receivedAtMs,
    });
    left.addEventListener('abort', () => socket.emit('close'));
    const serviceName = route.shares[0]?.serviceName ?? '';
    await this.#relay.relay(exchange, {
      description: new HeaderCodec().describe(request.headers),
      route,
      service: { name: serviceName, healthPath: '/health', scaling: undefined },
      workspace: undefined,
      body: Buffer.alloc(0),
      receivedAtMs,
      deadlineAtMs,
    });
    return exchange.answer;
  }

  /** Whether requests may go to the process of a registration, now or after a pause. */
  mayUse(instanceId: string, startedAtMs: number): boolean {
    return this.known.registry
      .all()
      .some(
        (view) =>
          this.endpoints.instanceIdOf(view) === instanceId &&
          view.id.endsWith(`#${startedAtMs}`) &&
          view.state === EndpointState.Live,
      );
  }
}

/** Keeps what the caller receives. */
class CollectingExchange extends CallerExchange {
  #status = 0;
  #headers: OutgoingHttpHeaders = {};
  #text = '';
  #isWhole = false;

  get answer(): GatewayAnswer {
    const isWhole = this.#isWhole && !this.isAborted;
    return { status: this.#status, headers: this.#headers, text: this.#text, isWhole };
  }

  override respond(status: number, sent: OutgoingHttpHeaders, body: Buffer): void {
    if (!this.isDisconnected && !this.hasSentHead) {
      this.#status = status;
      this.#headers = sent;
      this.#text = body.toString();
      this.#isWhole = true;
    }
    super.respond(status, sent, body);
  }

  override writeHead(status: number, sent: OutgoingHttpHeaders): void {
    if (!this.isDisconnected && !this.hasSentHead) {
      this.#status = status;
      this.#headers = sent;
    }
    super.writeHead(status, sent);
  }

  override write(bytes: Buffer): boolean {
    if (!this.isDisconnected) this.#text += bytes.toString();
    super.write(bytes);
    return true;
  }

  override end(): void {
    if (!this.isDisconnected) this.#isWhole = true;
    super.end();
  }
}

/** Probes over the simulated connections. */
class SimulatedProbe extends EndpointProbe {
  readonly #connections: SimulatedConnections;
  readonly #instanceIdOf: (target: ProbeTarget) => string;

  constructor(connections: SimulatedConnections, instanceIdOf: (target: ProbeTarget) => string) {
    super();
    this.#connections = connections;
    this.#instanceIdOf = instanceIdOf;
  }

  override async probe(target: ProbeTarget): Promise<ProbeResponse> {
    const answer = await this.#connections.probe(this.#instanceIdOf(target), target.baseUrl);
    const notice = decodeNotice(answer.status, answer.headers);
    return { startedAtMs: undefined, isDraining: false, notice };
  }
}

/** No request of these histories crashes an endpoint. */
class NeverRefused extends ListenCheck {
  override isListening(): Promise<boolean> {
    return Promise.resolve(true);
  }
}

class NullUsage extends UsageObserver {
  override began(): void {
    // Usage is none of these histories' matters.
  }
}

function createGuard(clock: Clock, random: Random): PromptGuard {
  const log = new MemoryKeyedLog();
  const events = new NullEventLog();
  return new PromptGuard({
    check: new NeverRefused(),
    log,
    topic: duties,
    replica: new KeyedReplica({
      log,
      topic: duties,
      clock,
      random,
      events,
      waitMs: 0,
      minReadIntervalMs: () => 2_000,
      minOutageMs: 1_200,
    }),
    publish: () => undefined,
    reportsCompleteSinceMs: () => -Infinity,
    isDutyHolder: () => false,
    onEndpointCrash: () => undefined,
    clock,
    events,
    metrics: new NullMetrics(),
  });
}
