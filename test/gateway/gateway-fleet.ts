import { setTimeout as sleep } from 'node:timers/promises';
import type { TrafficConfig } from '../../src/gateway/traffic-config.js';
import { MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { GatewayHarness, TestEndpoint, signedHeaders } from './gateway-harness.js';
import { RecordingEventLog } from './recording-event-log.js';

const peerPort = 17_600;

/** Time from the head of a response to its first event, and between two events. */
const eventGapMs = 15;

const streamEvents = 3;

/** Patience for gateways to know of each other. */
const startTimeoutMs = 10_000;

/** A request as it reached an endpoint. */
export interface Arrival {
  readonly requestId: string;
  readonly endpointId: string;
  /** Epoch milliseconds. */
  readonly atMs: number;
  readonly isPoison: boolean;
}

/** Options of {@link GatewayFleet}. */
export interface GatewayFleetOptions {
  readonly config: TrafficConfig;
  readonly gateways: number;
  readonly endpoints: number;
  /** Id of the part of a prompt under which endpoints crash. */
  readonly poisonPart: string;
  /** Events that an endpoint still sends before it ends. */
  readonly poisonEvents: number;
}

/**
 * Several gateways with one store before endpoints that stream events. An endpoint ends as soon as it
 * begins to write an answer on the poison part, with all its connections; another one replaces it.
 */
export class GatewayFleet {
  readonly options: GatewayFleetOptions;
  readonly store = new MemoryKeyedLog();
  readonly gateways: GatewayHarness[] = [];
  readonly logs: RecordingEventLog[] = [];
  readonly arrivals: Arrival[] = [];
  /** Epoch milliseconds of each endpoint's end. */
  readonly crashesAtMs: number[] = [];
  readonly #subnet = `127.${1 + (process.pid % 250)}.${Math.floor(process.pid / 250) % 250}`;
  readonly #endpoints = new Map<string, TestEndpoint>();
  #endpointCount = 0;

  constructor(options: GatewayFleetOptions) {
    this.options = options;
  }

  async start(): Promise<void> {
    for (let at = 1; at <= this.options.gateways; at++) this.#createGateway(`front-${at}`, at);
    await Promise.all(this.gateways.map((harness) => harness.start(this.options.config)));
    for (let at = 0; at < this.options.endpoints; at++) await this.addEndpoint();
    await this.#untilConnected();
  }

  /** Starts a gateway that knows nothing but the store, after the others. */
  async addGateway(): Promise<GatewayHarness> {
    const at = this.gateways.length + 1;
    const harness = this.#createGateway(`front-${at}`, at);
    await harness.start(this.options.config);
    for (const [id, { baseUrl }] of this.#endpoints) harness.registerEndpoint(id, baseUrl);
    return harness;
  }

  async addEndpoint(): Promise<void> {
    const id = `i-${++this.#endpointCount}`;
    const endpoint = new TestEndpoint((request, response) => {
      request.resume();
      if (request.url === '/health') {
        response.end();
        return;
      }
      const prompt = String(request.headers['oriolestack-prompt-prefix']);
      const isPoison = prompt.includes(`${this.options.poisonPart}:`);
      const requestId = String(request.headers['oriolestack-request-id']);
      this.arrivals.push({ requestId, endpointId: id, atMs: Date.now(), isPoison });
      response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' });
      response.flushHeaders();
      const lastEvent = isPoison ? this.options.poisonEvents : streamEvents;
      let event = 0;
      const next = (): void => {
        if (event < lastEvent) {
          response.write(`id: ${++event}\ndata: ${event}\n\n`);
          setTimeout(next, eventGapMs);
        } else if (isPoison) this.#end(id);
        else response.end();
      };
      setTimeout(next, eventGapMs);
    });
    const baseUrl = await endpoint.start();
    this.#endpoints.set(id, endpoint);
    for (const harness of this.gateways) harness.registerEndpoint(id, baseUrl);
  }

  /** Poison requests that reached an endpoint later than `afterMs` after the given end of one. */
  poisonArrivalsAfterCrash(end: number, afterMs: number): Arrival[] {
    const sinceMs = (this.crashesAtMs[end - 1] ?? Infinity) + afterMs;
    return this.arrivals.filter(({ isPoison, atMs }) => isPoison && atMs > sinceMs);
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((harness) => harness.stop()));
    for (const endpoint of this.#endpoints.values()) endpoint.stop();
  }

  #createGateway(daemon: string, at: number): GatewayHarness {
    const log = new RecordingEventLog();
    const peerAddress = { host: `${this.#subnet}.${at}`, port: peerPort };
    const harness = new GatewayHarness(log, {
      daemon,
      peerAddress,
      store: this.store,
      asksEndpoints: true,
    });
    this.logs.push(log);
    this.gateways.push(harness);
    return harness;
  }

  #end(id: string): void {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint) return;
    this.#endpoints.delete(id);
    this.crashesAtMs.push(Date.now());
    endpoint.stop();
    void this.addEndpoint();
  }

  async #untilConnected(): Promise<void> {
    const giveUpAtMs = Date.now() + startTimeoutMs;
    const isConnected = ({ gateway }: GatewayHarness): boolean =>
      gateway.liveDaemons === this.gateways.length;
    while (!this.gateways.every(isConnected)) {
      if (Date.now() > giveUpAtMs) throw new Error('the gateways do not know of each other');
      await sleep(50);
    }
  }
}
