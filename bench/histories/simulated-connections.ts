import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { headers } from '../../platform/names.js';
import type { Clock, Random } from '../../src/core/index.js';
import {
  EndpointConnections,
  type EndpointRequest,
  type PendingSend,
  type SendObserver,
} from '../../src/gateway/endpoint-connections.js';
import { HistoryKind, type HistoryRecorder } from './history.js';
import {
  processKey,
  type NoticingEndpoints,
  type NoticingProcess,
  type NoticingRequest,
  type NoticingResponse,
} from './noticing-endpoints.js';
import type { SimulatedProcess } from './process.js';

/** Header by which callers name the key of work that runs once at most. */
export const workKeyHeader = 'x-key';
/** Header by which callers say how many events they want. */
export const eventsHeader = 'x-events';

const eventGapMs = 60;
const lostConnectMs = 600;

/** What goes wrong on one connection. */
enum ConnectionFault {
  None = 'none',
  /** The connection takes longer to open, or is not opened in time. */
  SlowConnect = 'slow_connect',
  /** Breaks after the request arrived, before its response. */
  BrokenEarly = 'broken_early',
  /** The response is held up on its way. */
  HeldUp = 'held_up',
  /** Breaks within the body. */
  BrokenLate = 'broken_late',
}

const connectionFaults: readonly (readonly [number, ConnectionFault])[] = [
  [0.05, ConnectionFault.SlowConnect],
  [0.07, ConnectionFault.BrokenEarly],
  [0.12, ConnectionFault.HeldUp],
  [0.14, ConnectionFault.BrokenLate],
];

/** Options of {@link SimulatedConnections}. */
export interface SimulatedConnectionsOptions {
  /** Clock of the world; the daemon's own is its process. */
  readonly clock: Clock;
  readonly process: SimulatedProcess;
  readonly random: Random;
  readonly history: HistoryRecorder;
  readonly endpoints: NoticingEndpoints;
  /** Name of this run of the daemon. */
  readonly run: string;
  /** Whether connections meet faults of their own. */
  readonly hasFaults: () => boolean;
  /** Whether nothing passes between the daemon and the endpoints. */
  readonly isCut: () => boolean;
}

/** A request on its way to an endpoint and back. */
interface Exchange {
  readonly request: NoticingRequest;
  readonly baseUrl: string;
  readonly writtenAtMs: number;
}

/** Connections of one daemon to the endpoints, on virtual time. */
export class SimulatedConnections extends EndpointConnections {
  readonly #options: SimulatedConnectionsOptions;

  constructor(options: SimulatedConnectionsOptions) {
    super(options.process);
    this.#options = options;
  }

  override send(request: EndpointRequest, observer: SendObserver): PendingSend {
    return new SimulatedSend(this, this.#options, request, observer);
  }

  /** Asks for the health of an endpoint. @throws Error when it gives no answer. */
  async probe(instanceId: string, baseUrl: string): Promise<NoticingResponse> {
    const { process, random, clock } = this.#options;
    const request = {
      requestId: 'probe',
      instanceId,
      key: '',
      events: 0,
      resumeAfter: 0,
      isProbe: true,
    };
    const writtenAtMs = process.nowMs();
    await process.deliver(clock.sleepUntil(clock.nowMs() + random.int(1, 20)));
    const answer = this.arrive({ request, baseUrl, writtenAtMs });
    if (!answer) throw new Error('nothing answers');
    const askedAtMs = clock.nowMs();
    await process.deliver(clock.sleepUntil(askedAtMs + random.int(1, 20)));
    if (answer.response.status === 421) throw new Error('another process answers');
    this.heard(answer.by, answer.response, askedAtMs);
    return answer.response;
  }

  /** Hands a request to the process at its address; undefined if nothing takes it. */
  arrive(
    exchange: Exchange,
  ): { readonly by: NoticingProcess; readonly response: NoticingResponse } | undefined {
    const { endpoints, history, run, isCut } = this.#options;
    const { baseUrl, request, writtenAtMs } = exchange;
    const by = endpoints.at(baseUrl);
    if (!by || isCut()) return undefined;
    if (request.instanceId === by.instanceId) {
      history.record({
        kind: HistoryKind.RequestArrived,
        endpointId: processKey(by),
        daemon: run,
        requestId: request.requestId,
        isProbe: request.isProbe,
        writtenAtMs,
      });
    }
    return { by, response: endpoints.respond(by, request) };
  }

  /** Notes that the daemon has read what a process says of itself. */
  heard(by: NoticingProcess, response: NoticingResponse, askedAtMs: number): void {
    const { history, run } = this.#options;
    const { isLeaving, pauseMs } = response;
    const endpointId = processKey(by);
    if (isLeaving) history.record({ kind: HistoryKind.LeavingTold, endpointId, daemon: run });
    if (pauseMs === undefined) return;
    history.record({
      kind: HistoryKind.PauseAsked,
      endpointId,
      daemon: run,
      askedAtMs,
      untilMs: askedAtMs + pauseMs,
    });
  }
}

/** One request to one endpoint. */
class SimulatedSend implements PendingSend {
  readonly isOnReusedConnection = false;
  readonly #connections: SimulatedConnections;
  readonly #options: SimulatedConnectionsOptions;
  readonly #request: EndpointRequest;
  readonly #observer: SendObserver;
  readonly #fault: ConnectionFault;
  #writtenAtMs: number | undefined;
  #response: SimulatedResponse | undefined;
  #isClosed = false;

  constructor(
    connections: SimulatedConnections,
    options: SimulatedConnectionsOptions,
    request: EndpointRequest,
    observer: SendObserver,
  ) {
    this.#connections = connections;
    this.#options = options;
    this.#request = request;
    this.#observer = observer;
    this.#fault = this.#drawFault();
    this.#connect();
  }

  get mayHaveRun(): boolean {
    return this.#writtenAtMs !== undefined;
  }

  get writtenAtMs(): number | undefined {
    return this.#writtenAtMs;
  }

  abort(): void {
    this.#isClosed = true;
    this.#response?.destroy();
  }

  #connect(): void {
    const { random, endpoints, isCut } = this.#options;
    const { baseUrl } = this.#request;
    const isSlow = this.#fault === ConnectionFault.SlowConnect;
    const takesMs = isSlow ? random.int(50, 800) : random.pick([0, 0, 1, 2]);
    this.#inDaemon(Math.min(takesMs, lostConnectMs), () => {
      if (isCut() || takesMs >= lostConnectMs) this.#fail('no connection', false);
      else if (!endpoints.at(baseUrl)) this.#fail('connection refused', true);
      else if (this.#observer.mayWrite()) this.#write();
      else this.#isClosed = true;
    });
  }

  #write(): void {
    const { clock, random } = this.#options;
    const writtenAtMs = clock.nowMs();
    this.#writtenAtMs = writtenAtMs;
    const request = requestOf(this.#request);
    // What was written arrives, also when the daemon ends or closes the connection meanwhile.
    clock.schedule(writtenAtMs + random.int(1, 15), () => {
      const exchange = { request, baseUrl: this.#request.baseUrl, writtenAtMs };
      const answer = this.#connections.arrive(exchange);
      if (!answer || this.#fault === ConnectionFault.BrokenEarly) {
        this.#inDaemon(random.int(1, 15), () => {
          this.#fail('connection reset', false);
        });
        return;
      }
      this.#answer(answer.by, answer.response);
    });
  }

  #answer(by: NoticingProcess, response: NoticingResponse): void {
    const { clock, random } = this.#options;
    const askedAtMs = clock.nowMs();
    const isHeldUp = this.#fault === ConnectionFault.HeldUp;
    // A refusal comes at once; what is served takes its time.
    const workMs = response.status < 500 ? random.int(5, 200) : 1;
    const wayMs = isHeldUp ? random.int(100, 2_500) : random.int(1, 15);
    this.#inDaemon(workMs + wayMs, () => {
      this.#connections.heard(by, response, askedAtMs);
      const message = new SimulatedResponse(response);
      this.#response = message;
      this.#observer.responded(message);
      this.#sendBody(message, response);
    });
  }

  #sendBody(message: SimulatedResponse, { body, isStream }: NoticingResponse): void {
    const parts = isStream ? body.split(/(?<=\n\n)/) : [body];
    const breaksAt =
      this.#fault === ConnectionFault.BrokenLate
        ? this.#options.random.int(0, parts.length - 1)
        : Infinity;
    const sendPart = (index: number): void => {
      if (index === breaksAt) {
        this.#observer.broken('connection reset');
        message.destroy();
        return;
      }
      if (index === parts.length) {
        message.complete = true;
        message.push(null);
        return;
      }
      message.push(parts[index] ?? '');
      this.#inDaemon(isStream ? eventGapMs : 0, () => {
        sendPart(index + 1);
      });
    };
    sendPart(0);
  }

  #inDaemon(inMs: number, action: () => void): void {
    const { process } = this.#options;
    process.schedule(process.nowMs() + inMs, () => {
      if (!this.#isClosed) action();
    });
  }

  #fail(reason: string, isRefused: boolean): void {
    this.#isClosed = true;
    this.#observer.failed(reason, this.mayHaveRun, isRefused);
  }

  #drawFault(): ConnectionFault {
    const { hasFaults, random } = this.#options;
    if (!hasFaults()) return ConnectionFault.None;
    const draw = random.float();
    return connectionFaults.find(([limit]) => draw < limit)?.[1] ?? ConnectionFault.None;
  }
}

/** A response whose body is pushed by the simulation. */
class SimulatedResponse extends IncomingMessage {
  constructor({ status, headers: sent, body, isStream }: NoticingResponse) {
    super(new Socket());
    this.statusCode = status;
    this.headers = isStream
      ? { ...sent, 'transfer-encoding': 'chunked' }
      : { ...sent, 'content-length': String(Buffer.byteLength(body)) };
  }

  override _read(): void {
    // Parts are pushed as they come.
  }
}

function requestOf({ headers: sent }: EndpointRequest): NoticingRequest {
  return {
    requestId: String(sent[headers.requestId]),
    instanceId: String(sent[headers.expectInstance]),
    key: String(sent[workKeyHeader] ?? ''),
    events: Number(sent[eventsHeader] ?? 0),
    resumeAfter: Number(sent[headers.lastEventId] ?? 0),
    isProbe: false,
  };
}
