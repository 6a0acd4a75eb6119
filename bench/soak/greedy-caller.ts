import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../../src/core/index.js';
import { callerPort, type GatewayProcess } from './gateway-process.js';
import { CallKind } from './ledger.js';
import { callerKey, host } from './traffic.js';

/** Longest time for which it keeps a connection, in milliseconds. */
const staysMs = 1_500;
const pauseMs = 200;

const pieces = 30_000;
const spaces = 15_800;

/** Numbers at the end of their range, and beyond it. */
const statedTokens = ['16777216', '1e15', '1e308', '1e999', '-1', 'NaN'];

/** What a {@link GreedyCaller} asks for. */
enum Greed {
  /** A body in chunks of one byte that does not end. */
  Pieces = 'pieces',
  /** A prompt that states its size at will. */
  Numbers = 'numbers',
  /** A header of spaces. */
  Spaces = 'spaces',
}

/** Options of {@link GreedyCaller}. */
export interface GreedyCallerOptions {
  readonly random: Random;
  /** Gateways to which the balancer sends new connections. */
  readonly ready: () => readonly GatewayProcess[];
}

/**
 * A caller inside the limits that costs a gateway much: its requests come in pieces of a byte, state
 * numbers at will, or hold many spaces. Nothing is promised to it but that others are served beside it.
 */
export class GreedyCaller {
  readonly #options: GreedyCallerOptions;
  #count = 0;
  #isStopped = false;

  constructor(options: GreedyCallerOptions) {
    this.#options = options;
  }

  /** Sends requests until {@link stop}. */
  async run(): Promise<void> {
    const { random, ready } = this.#options;
    while (!this.#isStopped) {
      const gateways = ready();
      if (gateways.length > 0) await this.#send(random.pick(gateways));
      await sleep(pauseMs);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #send(gateway: GatewayProcess): Promise<void> {
    const socket = connect({ host: gateway.options.host, port: callerPort });
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(this.#request());
    await sleep(staysMs);
    socket.destroy();
  }

  #request(): string {
    const { random } = this.#options;
    const greed = random.pick(Object.values(Greed));
    const tokens = random.pick(statedTokens);
    switch (greed) {
      case Greed.Pieces:
        return `${this.#head(CallKind.Once, 'transfer-encoding: chunked')}${'1\r\nx\r\n'.repeat(pieces)}`;
      case Greed.Numbers:
        return this.#head(
          CallKind.Prompt,
          `oriolestack-token-usage: ${tokens},1e308`,
          `oriolestack-prompt-prefix: greedy:${tokens},own:1e308`,
        );
      case Greed.Spaces:
        return this.#head(CallKind.Safe, `connection: a${' '.repeat(spaces)}b`);
    }
  }

  #head(kind: CallKind, ...lines: string[]): string {
    return [
      `POST /${kind}/x HTTP/1.1`,
      `host: ${host}`,
      `authorization: Bearer ${callerKey}`,
      `oriolestack-request-id: greedy-${this.#count++}`,
      ...lines,
      '\r\n',
    ].join('\r\n');
  }
}
