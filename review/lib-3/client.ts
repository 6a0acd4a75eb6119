import { request as httpRequest } from 'node:http';
import { headers } from '../../platform/names.js';
import type { Record } from './record.js';
import type { Machine, Tenant } from './world.js';

/** A client attempt with a prompt. */
export interface Ask {
  readonly requestId: string;
  readonly path: string;
  readonly tenant: Tenant;
  /** Parts of the prompt, with their tokens. */
  readonly parts: readonly string[];
  readonly deadlineMs: number;
}

/** How a client attempt ended: a status, `whole` for a complete stream, or `cut`. */
export type Outcome = string;

export const host = 'ficu95.example';

/** PROTOCOL: clients leave a stream after four times its objective of one second without an event. */
const longestGapMs = 4_000;

/** Sends one attempt on a new connection to a machine, and waits for its end. */
export function ask(
  machine: Machine,
  sent: Ask,
  lastEvent: number,
  record: Record,
): Promise<Outcome> {
  const { requestId, path, tenant, parts, deadlineMs } = sent;
  const promptTokens = parts.reduce((sum, part) => sum + Number(part.split(':')[1]), 0);
  record.note(`client sends ${requestId} to ${machine.name}`);
  return new Promise((resolve) => {
    const end = (outcome: Outcome): void => {
      clearTimeout(timer);
      clearTimeout(gapTimer);
      record.note(`client has ${outcome} for ${requestId}`);
      resolve(outcome);
    };
    const leave = (): void => {
      outgoing.destroy(new Error('the client leaves'));
    };
    let gapTimer = setTimeout(leave, longestGapMs);
    const outgoing = httpRequest(
      {
        host: machine.host,
        port: machine.port,
        path,
        method: 'POST',
        agent: false,
        headers: {
          host,
          [headers.requestId]: requestId,
          [headers.deadlineMs]: String(deadlineMs),
          [headers.authorization]: `Bearer ${tenant.key}`,
          [headers.tokenUsage]: `${promptTokens},80`,
          [headers.promptPrefix]: parts.join(','),
          'oriolestack-model': 'm',
        },
      },
      (response) => {
        let text = '';
        response.on('data', (bytes: Buffer) => {
          text += bytes.toString();
          clearTimeout(gapTimer);
          gapTimer = setTimeout(leave, longestGapMs);
        });
        response.on('error', () => {
          end('cut');
        });
        response.on('end', () => {
          const status = response.statusCode ?? 0;
          if (!response.complete) end('cut');
          else if (status !== 200) end(String(status));
          else if (!text.includes(`data: ${requestId} ${lastEvent}\n`)) end('incomplete');
          else end('whole');
        });
      },
    );
    const timer = setTimeout(leave, deadlineMs);
    outgoing.on('error', () => {
      end('no answer');
    });
    outgoing.end('{"prompt":"..."}');
  });
}

/** A plain request that may not be repeated. */
export interface Order {
  readonly requestId: string;
  readonly path: string;
  readonly tenant: Tenant;
  readonly deadlineMs: number;
}

/** Outcome of an order whose client has waited in vain until its deadline. */
export const noAnswer = 'no answer';

/** Outcome of an order without a connection, or whose connection was closed. */
export const closed = 'closed';

/** Sends one on a new connection. @returns its status, or why there is none. */
export function sendOrder(machine: Machine, sent: Order, record: Record): Promise<Outcome> {
  const { requestId, path, tenant, deadlineMs } = sent;
  record.note(`client sends ${requestId} to ${machine.name}`);
  return new Promise((resolve) => {
    const end = (outcome: Outcome): void => {
      clearTimeout(timer);
      record.note(`client has ${outcome} for ${requestId}`);
      resolve(outcome);
    };
    const outgoing = httpRequest(
      {
        host: machine.host,
        port: machine.port,
        path,
        method: 'POST',
        agent: false,
        headers: {
          host,
          [headers.requestId]: requestId,
          [headers.deadlineMs]: String(deadlineMs),
          [headers.authorization]: `Bearer ${tenant.key}`,
        },
      },
      (response) => {
        response.resume();
        response.on('error', () => {
          end(closed);
        });
        response.on('end', () => {
          end(response.complete ? String(response.statusCode) : closed);
        });
      },
    );
    const timer = setTimeout(() => {
      end(noAnswer);
      outgoing.destroy();
    }, deadlineMs);
    outgoing.on('error', () => {
      end(closed);
    });
    outgoing.end('{"rolls":3}');
  });
}
