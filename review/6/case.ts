import { Agent, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { CaseRecord } from '../lib/case-record.js';
import { send, type ClientAnswer } from '../lib/client.js';
import {
  attemptId,
  callerKey,
  configOf,
  Deployment,
  promptHeaders,
  streamPath,
  streamRoute,
} from '../lib/deployment.js';
import type { Gateway } from '../lib/gateway.js';
import { hasTrouble, runCase } from '../lib/run-case.js';
import { Slots } from '../lib/slots.js';
import { Worker } from '../lib/worker.js';

const slotsPerWorker = 2;
/** Fill all slots for 8.8 s. */
const longStreams = 2;
/** Wait for a slot. */
const queuedStreams = 3;
const gapMs = 100;
const longEvents = 88;
const queuedEvents = 5;
const graceMs = 8_000;
const timeoutMs = 15_000;
/** Clients of such a route wait for the first event for four times as long. */
const objectiveMs = 2_500;
const service = 'huvo11a';
const record = new CaseRecord();
/** Requests that the worker has begun. */
const begun = new Set<string>();

/** Whether the connection of a response is closed. */
function isClosed(response: ServerResponse): boolean {
  return response.destroyed;
}

/** Answers its health check at once. */
function createWorker(id: string): Worker {
  const slots = new Slots(slotsPerWorker);
  return new Worker({
    id,
    service,
    zone: 'here-a',
    slots: slotsPerWorker,
    run: async ({ id: requestId, request, response }) => {
      const events = Number(request.headers['oriolestack-length-hint']);
      await slots.take();
      try {
        if (isClosed(response)) {
          record.note(`${id} drops ${requestId}, whose connection was closed while it waited`);
          return;
        }
        begun.add(requestId);
        record.note(`${id} begins ${requestId}`);
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        for (let event = 1; event <= events; event++) {
          await sleep(gapMs);
          if (isClosed(response)) return;
          response.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
        }
        response.end();
      } finally {
        slots.release();
      }
    },
  });
}

async function sendStream(
  gateway: Gateway,
  agent: Agent,
  at: number,
  events: number,
): Promise<{ readonly id: string; readonly answer: ClientAnswer; readonly endedAtMs: number }> {
  const id = attemptId(at);
  record.note(`client sends ${id}, ${events} events long`);
  const answer = await send({
    id,
    host: gateway.options.host,
    port: gateway.callerPort,
    path: streamPath,
    key: callerKey,
    deadlineMs: timeoutMs,
    headers: { ...promptHeaders(at), 'oriolestack-length-hint': String(events) },
    agent,
  });
  const { status, isComplete, failure } = answer;
  const end = isComplete ? 'complete' : `not complete (${failure})`;
  const count = answer.body.split('\n\n').length - 1;
  record.note(`client sees ${id} end: status ${status ?? 'none'}, ${count} events, ${end}`);
  return { id, answer, endedAtMs: record.nowMs() };
}

async function play(): Promise<string | undefined> {
  const workers = [createWorker('i-7f3a91c2')];
  const route = streamRoute(service, false, timeoutMs, objectiveMs);
  const deployment = new Deployment({ gateways: 2, config: configOf(service, route), workers });
  const agent = new Agent({ keepAlive: true });
  try {
    await deployment.start();
    await sleep(5_000);
    const [gateway] = deployment.gateways;
    if (!gateway) throw new Error('no gateway');
    const long = Array.from({ length: longStreams }, (_, at) =>
      sendStream(gateway, agent, at, longEvents),
    );
    await sleep(300);
    const queued = Array.from({ length: queuedStreams }, (_, at) =>
      sendStream(gateway, agent, longStreams + at, queuedEvents),
    );
    await sleep(300);
    const terminatedAtMs = record.nowMs();
    if (hasTrouble) {
      gateway.signal('SIGTERM');
      record.note(`SIGTERM to ${gateway.options.name}`);
    }
    const ended = await Promise.all(queued);
    await Promise.all(long);
    // The long ones are excused: the worker is at work on them in the last sixth of the grace.
    const lost = ended.filter(({ id, answer, endedAtMs }) => {
      const counts = hasTrouble && endedAtMs <= terminatedAtMs + graceMs + 1_000;
      return counts && !begun.has(id) && !answer.isComplete && !answer.gaveUp;
    });
    return lost.length === 0
      ? undefined
      : `LOST: ${lost.length} passed on to a worker, connection ended without an answer`;
  } finally {
    agent.destroy();
    await deployment.stop();
  }
}

await runCase('6', record, play);
