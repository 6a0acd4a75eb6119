import { Agent, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { headers } from '../../platform/names.js';
import type { Random } from '../../src/core/index.js';
import { callerPort, type GatewayProcess } from './gateway-process.js';
import { CallKind, isStream, usualKinds, type CallEnd, type Ledger } from './ledger.js';
import { callerKey, host, promptPrefix } from './traffic.js';

const pauseMs = 25;

/** Part of the calls that their caller gives up, and within which time. */
const leaveRatio = 0.2;
const maxStayMs = 400;

/** Options of {@link Caller}. */
export interface CallerOptions {
  readonly name: string;
  readonly random: Random;
  readonly ledger: Ledger;
  /** Gateways to which the balancer sends new connections. */
  readonly ready: () => readonly GatewayProcess[];
  /** Part that the prompts of this caller share with few others; by default one of many. */
  readonly promptPart?: string;
  /** Time that requests give gateways, and the longest that the caller waits for a sign of life. */
  readonly deadlineMs: number;
  readonly patienceMs: number;
  /** Shortest timeout of any route, in milliseconds. */
  readonly minTimeoutMs: number;
}

/** Parts that sound prompts share. */
const soundParts = 12;

/** Sends one request after another, on a connection that it keeps as long as the process is there. */
export class Caller {
  readonly #options: CallerOptions;
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #gateway: GatewayProcess | undefined;
  #count = 0;
  #isStopped = false;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  /** Calls until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.call(this.#options.random.pick(usualKinds));
      await sleep(pauseMs);
    }
    this.#agent.destroy();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Sends one request. @returns its end; undefined when there was nobody to send it to. */
  async call(kind: CallKind): Promise<CallEnd | undefined> {
    const gateway = this.#choose();
    if (!gateway) return undefined;
    const end = await this.#send(gateway, kind);
    this.#options.ledger.ends.push(end);
    // The balancer sends the next connection elsewhere once this one is closed.
    if (end.status === undefined) this.#leave();
    return end;
  }

  /** Stays with a gateway while its process runs, as an open connection does. */
  #choose(): GatewayProcess | undefined {
    const { ready, random } = this.#options;
    if (this.#gateway?.isRunning) return this.#gateway;
    this.#leave();
    const gateways = ready();
    this.#gateway = gateways.length > 0 ? random.pick(gateways) : undefined;
    return this.#gateway;
  }

  #leave(): void {
    this.#gateway = undefined;
    this.#agent.destroy();
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }

  #promptHeaders(): Record<string, string> {
    const { promptPart, random, name } = this.#options;
    const second = promptPart ?? `part${random.int(1, soundParts)}`;
    return {
      [headers.promptPrefix]: promptPrefix(second, `${name}-${this.#count}`, random),
      [headers.tokenUsage]: '350,60',
    };
  }

  #send(gateway: GatewayProcess, kind: CallKind): Promise<CallEnd> {
    const { deadlineMs, patienceMs, minTimeoutMs } = this.#options;
    const requestId = `${this.#options.name}-${++this.#count}`;
    const promptHeaders = kind === CallKind.Prompt ? this.#promptHeaders() : {};
    const sent = {
      requestId,
      kind,
      firstPart: promptHeaders[headers.promptPrefix]?.split(':', 1)[0],
      gateway: gateway.options.name,
      gatewayRun: gateway.run,
      sentAtMs: Date.now(),
      wholeAtMs: undefined,
      timeLimitMs: Math.min(deadlineMs, minTimeoutMs),
      isHung: false,
    };
    return new Promise((resolve) => {
      let leftAtMs: number | undefined;
      const end = (): Pick<CallEnd, 'hasLeft' | 'endedAtMs'> => ({
        hasLeft: leftAtMs !== undefined,
        endedAtMs: leftAtMs ?? Date.now(),
      });
      const fail = (): void => {
        const nothing = { status: undefined, answeredId: undefined, isSigned: false, body: '' };
        resolve({ ...sent, ...nothing, isWhole: false, ...end() });
      };
      const outgoing = request(
        {
          agent: this.#agent,
          host: gateway.options.host,
          port: callerPort,
          method: kind === CallKind.Once || isStream(kind) ? 'POST' : 'GET',
          path: `/${kind}/x`,
          timeout: patienceMs,
          headers: {
            host,
            authorization: `Bearer ${callerKey}`,
            [headers.requestId]: requestId,
            [headers.deadlineMs]: String(deadlineMs),
            ...promptHeaders,
          },
        },
        (answer) => {
          const chunks: Buffer[] = [];
          answer.on('data', (chunk: Buffer) => chunks.push(chunk));
          answer.on('error', () => undefined); // The end tells that it is not whole.
          answer.on('close', () => {
            resolve({
              ...sent,
              status: answer.statusCode,
              answeredId: answer.headers[headers.requestId]?.toString(),
              isSigned: answer.headers[headers.seal] !== undefined,
              body: Buffer.concat(chunks).toString(),
              isWhole: answer.complete,
              ...end(),
            });
          });
        },
      );
      const leave = (): void => {
        if (outgoing.destroyed) return;
        leftAtMs = Date.now();
        outgoing.destroy();
      };
      const { random } = this.#options;
      if (random.float() < leaveRatio) setTimeout(leave, random.int(0, maxStayMs));
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', fail);
      outgoing.end(kind === CallKind.Once || isStream(kind) ? 'body' : undefined);
    });
  }
}
