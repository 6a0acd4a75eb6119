import { setTimeout as sleep } from 'node:timers/promises';
import { Caller, Ending, type Answer, type Call } from './caller.js';
import type { Gateway } from './gateway.js';
import type { CaseRecord } from './record.js';

/** One request of an ordinary client, by the client's clock. */
export interface Asked {
  readonly answer: Answer;
  /** Time of sending since the start of the process, in milliseconds. */
  readonly sentAtMs: number;
  readonly tookMs: number;
}

/** What an ordinary client sends, without the id of the request. */
export type OrdinaryCall = Omit<Call, 'requestId'>;

/** Options of {@link callInTurn}. */
export interface OrdinaryOptions {
  readonly gateway: Gateway;
  /** Beginning of the ids of its requests. */
  readonly name: string;
  readonly call: OrdinaryCall;
  /** Time between the starts of two requests, in milliseconds. */
  readonly periodMs: number;
  /** Epoch milliseconds. */
  readonly untilMs: number;
  readonly record: CaseRecord;
}

/** An ordinary client: one request after the other, on a connection that it keeps. */
export async function callInTurn(options: OrdinaryOptions): Promise<Asked[]> {
  const { gateway, name, call, periodMs, untilMs, record } = options;
  const caller = new Caller(gateway.options.host, gateway.options.callerPort);
  const asked: Asked[] = [];
  for (let number = 1; Date.now() < untilMs; number += 1) {
    const requestId = `${name}-${number}`;
    const sentAtMs = performance.now();
    record.line(`${requestId} is sent`);
    const answer = await caller.call({ ...call, requestId });
    const tookMs = performance.now() - sentAtMs;
    asked.push({ answer, sentAtMs, tookMs });
    record.line(`${requestId}: ${answer.status ?? 'no answer'} after ${tookMs.toFixed(0)} ms`);
    await sleep(Math.max(0, periodMs - tookMs));
  }
  caller.close();
  return asked;
}

/**
 * Asks a machine for readiness once a second, as the platform does.
 *
 * @returns for each question, whether a 200 came.
 */
export async function watchReadiness(
  gateway: Gateway,
  untilMs: number,
  record: CaseRecord,
): Promise<boolean[]> {
  const answers: boolean[] = [];
  while (Date.now() < untilMs) {
    const [, isReady] = await Promise.all([sleep(1_000), gateway.isReady()]);
    answers.push(isReady);
    record.line(`readiness of ${gateway.options.name}: ${isReady ? '200' : 'no 200'}`);
  }
  return answers;
}

const beatMs = 50;

/** Longest time for which this process may stand still; its clients and workers would be late by it. */
export const maxOwnStallMs = 400;

/**
 * Watches how long this process itself stands still.
 *
 * @returns a function that ends the watch, and returns the longest time in milliseconds.
 */
export function watchOwnStalls(): () => number {
  let lastAtMs = performance.now();
  let longestMs = 0;
  const beat = (): void => {
    const nowMs = performance.now();
    longestMs = Math.max(longestMs, nowMs - lastAtMs - beatMs);
    lastAtMs = nowMs;
  };
  const timer = setInterval(beat, beatMs);
  return () => {
    clearInterval(timer);
    return longestMs;
  };
}

/** The rule on answers at the timeout of their route, as it is written. */
export interface TimeoutJudgement {
  /** Requests that were sent. */
  readonly sent: number;
  /** Of these, the ones that were unanswered at the timeout of their route. */
  readonly open: number;
  /** Of these, the ones that had no answer half a second later either. */
  readonly late: number;
  /** Whether the rule was broken, by eight requests or more. */
  readonly isBroken: boolean;
}

const graceMs = 500;
const minLate = 8;

/**
 * Judges the requests of a route by its timeout, and writes the result down. One whose connection the
 * gateway closed counts as answered then, and one that found no connection was not sent.
 */
export function judgeTimeouts(
  asked: readonly Asked[],
  timeoutMs: number,
  record: CaseRecord,
): TimeoutJudgement {
  const sent = asked.filter(({ answer }) => answer.ending !== Ending.Unsent);
  const isOpenAt = ({ answer, tookMs }: Asked, ms: number): boolean =>
    answer.ending === Ending.Left || tookMs > ms;
  const open = sent.filter((one) => isOpenAt(one, timeoutMs));
  const late = open.filter((one) => isOpenAt(one, timeoutMs + graceMs)).length;
  record.line(`${asked.length} requests of ordinary clients, ${sent.length} sent, of which`);
  record.line(
    `${open.length} were unanswered after ${timeoutMs} ms, ${late} after ${graceMs} more`,
  );
  const isBroken = late >= minLate && late * 2 > open.length;
  return { sent: sent.length, open: open.length, late, isBroken };
}
