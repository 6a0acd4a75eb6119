import { headers } from '../../platform/names.js';
import type { Clock, Random } from '../../src/core/index.js';
import type { EndpointRegistration } from '../../src/fleet/index.js';
import { HistoryKind, type HistoryRecorder } from './history.js';

/** Services and their number of endpoints. */
const servicePlaces = [
  ['orders', 3],
  ['stock', 2],
] as const;

/** Names of the services. */
export const noticingServices = servicePlaces.map(([service]) => service);

/** Part of the refusals that do not state that the request did not run; it has run then. */
const unstatedRefusalRatio = 0.1;

/** One run of a process that tells by its responses alone that it leaves or wants a pause. */
export interface NoticingProcess {
  readonly service: string;
  readonly instanceId: string;
  readonly baseUrl: string;
  /** Epoch milliseconds. */
  readonly startedAtMs: number;
  isRunning: boolean;
  isLeaving: boolean;
  /** Time until which it refuses requests and asks for pauses, in epoch milliseconds. */
  refusesUntilMs: number;
}

/** What an endpoint sends back. */
export interface NoticingResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
  /** Whether the body comes in parts, as the events of a stream. */
  readonly isStream: boolean;
  readonly isLeaving: boolean;
  /** Pause that it asks for, in milliseconds; undefined for none. */
  readonly pauseMs: number | undefined;
}

/** A request as an endpoint receives it. */
export interface NoticingRequest {
  readonly requestId: string;
  /** Instance that is to serve it. */
  readonly instanceId: string;
  /** Key of work that runs once at most; empty for other work. */
  readonly key: string;
  /** Number of events of a stream; 0 for other requests. */
  readonly events: number;
  /** Number of the event after which the stream resumes. */
  readonly resumeAfter: number;
  readonly isProbe: boolean;
}

/** Options of {@link NoticingEndpoints}. */
export interface NoticingEndpointsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly history: HistoryRecorder;
  /** Part of the requests that fail with status 500 after they ran. */
  readonly failureRatio: number;
}

/** Identity of a process in the history; independent of the product's own. */
export function processKey({ instanceId, startedAtMs }: NoticingProcess): string {
  return `${instanceId}@${startedAtMs}`;
}

/** Body of the whole response to a request. */
export function wholeBody(requestId: string, events: number): string {
  return events === 0 ? `done: ${requestId}` : eventTexts(requestId, 0, events).join('');
}

/** Endpoints that leave or pause by their responses alone, while their registrations say ready. */
export class NoticingEndpoints {
  /** The process that runs last in each place. */
  readonly processes: NoticingProcess[] = [];
  readonly #options: NoticingEndpointsOptions;
  #addressCount = 0;
  #instanceCount = 0;

  constructor(options: NoticingEndpointsOptions) {
    this.#options = options;
    for (const [service, count] of servicePlaces) {
      for (let index = 0; index < count; index++) this.processes.push(this.#newProcess(service));
    }
  }

  /** The process that listens at an address; undefined if none does. */
  at(baseUrl: string): NoticingProcess | undefined {
    return this.processes.find((process) => process.isRunning && process.baseUrl === baseUrl);
  }

  /** Ends the process in a place and starts another one, under the same id or address or not. */
  restart(place: number, keepsId: boolean, keepsAddress: boolean): void {
    const old = this.processes[place]!;
    old.isRunning = false;
    const { service, instanceId, baseUrl } = old;
    this.processes[place] = this.#newProcess(
      service,
      keepsId ? instanceId : undefined,
      keepsAddress ? baseUrl : undefined,
    );
  }

  /** Registration of a process, which says ready whatever its responses say. */
  registration(process: NoticingProcess): EndpointRegistration {
    const { service, instanceId, baseUrl, startedAtMs } = process;
    return {
      instanceId,
      serviceName: service,
      baseUrl,
      region: 'north',
      failureDomain: 'north-a',
      batchSlots: 8,
      startedAtMs,
      isDraining: false,
      leavingAtMs: undefined,
      reclaimable: false,
    };
  }

  /** Handles a request that reaches a process. */
  respond(process: NoticingProcess, request: NoticingRequest): NoticingResponse {
    const { clock, random, failureRatio } = this.#options;
    const about = {
      [headers.requestId]: request.requestId,
      [headers.instanceId]: process.instanceId,
    };
    if (request.instanceId !== process.instanceId) return plain(421, about);
    const { isLeaving } = process;
    const common = { ...about, ...(isLeaving ? { [headers.serverLeaving]: '1' } : {}) };
    if (request.isProbe) return { ...plain(200, common), isLeaving };
    if (clock.nowMs() < process.refusesUntilMs) {
      const pauseMs = this.#drawPauseMs(process);
      const isStated = random.float() >= unstatedRefusalRatio;
      if (!isStated) this.#ran(request);
      const refusal = {
        ...common,
        [headers.retryAfter]: String(pauseMs / 1_000),
        ...(isStated ? { [headers.notExecuted]: '1' } : {}),
      };
      return { ...plain(503, refusal), isLeaving, pauseMs };
    }
    this.#ran(request);
    const { requestId, events, resumeAfter } = request;
    const body =
      events === 0 ? wholeBody(requestId, 0) : eventTexts(requestId, resumeAfter, events).join('');
    const status = random.float() < failureRatio ? 500 : 200;
    const sealed = { ...common, [headers.seal]: 'seal' };
    const isStream = events > 0 && status === 200;
    return { status, headers: sealed, body, isStream, isLeaving, pauseMs: undefined };
  }

  /** The rest of the refusal, or a shorter or longer pause: what binds is the longest one. */
  #drawPauseMs({ refusesUntilMs }: NoticingProcess): number {
    const { clock, random } = this.#options;
    const restMs = refusesUntilMs - clock.nowMs();
    return random.pick([restMs, restMs, random.int(100, 1_000), random.int(1_000, 6_000)]);
  }

  #ran({ requestId, key }: NoticingRequest): void {
    this.#options.history.record({ kind: HistoryKind.WorkRan, workId: requestId, key });
  }

  #newProcess(service: string, instanceId?: string, baseUrl?: string): NoticingProcess {
    return {
      service,
      instanceId: instanceId ?? `i-${++this.#instanceCount}`,
      baseUrl: baseUrl ?? `http://10.0.0.${++this.#addressCount}:80`,
      startedAtMs: this.#options.clock.nowMs(),
      isRunning: true,
      isLeaving: false,
      refusesUntilMs: -Infinity,
    };
  }
}

/** Texts of the events of a stream, from the one after `resumeAfter` on. */
function eventTexts(requestId: string, resumeAfter: number, count: number): string[] {
  return Array.from({ length: count }, (_, index) => index + 1)
    .filter((number) => number > resumeAfter)
    .map((number) => `id: ${number}\ndata: ${requestId}:${number}\n\n`);
}

function plain(status: number, about: Record<string, string>): NoticingResponse {
  return {
    status,
    headers: about,
    body: '',
    isStream: false,
    isLeaving: false,
    pauseMs: undefined,
  };
}
