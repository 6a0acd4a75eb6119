import { Agent, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { CaseRecord } from '../lib/case-record.js';
import { send } from '../lib/client.js';
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

const slotsPerWorker = 16;
/** One worker in each; the worker of one zone is reclaimed. */
const zones = ['here-a', 'here-b', 'here-c'];
/** Two thirds of the slots of three workers, and all slots of two. */
const streams = 32;
const leavesMs = 2_500;
const events = 8;
const pauseAfterEvent = 3;
/** Clients abandon a stream of this route after a pause of 4 s. */
const pauseMs = 2_900;
const gapMs = 100;
const graceMs = 8_000;
const service = 'huvo11a';
const record = new CaseRecord();

/** Whether the connection of a response is closed. */
function isClosed(response: ServerResponse): boolean {
  return response.destroyed;
}

/** A worker whose health check waits for a slot, as any other request does. */
function createWorker(zone: string): Worker {
  const id = `i-7f3a91c2-${zone}`;
  const slots = new Slots(slotsPerWorker);
  return new Worker({
    id,
    service,
    zone,
    isSpot: zone === 'here-c',
    slots: slotsPerWorker,
    health: async () => {
      record.note(`${id} is asked for its health, ${slots.waiting} wait`);
      await slots.take();
      slots.release();
      record.note(`${id} answers its health check`);
    },
    run: async ({ id: requestId, response, firstEvent }) => {
      await slots.take();
      if (isClosed(response)) {
        slots.release();
        return;
      }
      record.note(`${id} runs ${requestId}`);
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      for (let event = firstEvent; event <= events; event++) {
        await sleep(event === pauseAfterEvent + 1 ? pauseMs : gapMs);
        if (isClosed(response)) {
          record.note(`${id} finds the connection of ${requestId} closed before event ${event}`);
          break;
        }
        response.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
      }
      slots.release();
      response.end();
    },
  });
}

async function play(): Promise<string | undefined> {
  const workers = zones.map((zone) => createWorker(zone));
  const config = configOf(service, streamRoute(service, false));
  const deployment = new Deployment({ gateways: 2, config, workers });
  const agent = new Agent({ keepAlive: true });
  let terminatedAtMs = Infinity;
  const isKept = async (gateway: Gateway, at: number): Promise<boolean> => {
    const id = attemptId(at);
    record.note(`client sends ${id} to ${gateway.options.name}`);
    const answer = await send({
      id,
      host: gateway.options.host,
      port: gateway.callerPort,
      path: streamPath,
      key: callerKey,
      deadlineMs: 10_000,
      headers: promptHeaders(at),
      agent,
    });
    const end = answer.isComplete ? 'complete' : `cut (${answer.failure})`;
    const count = answer.body.split('\n\n').length - 1;
    record.note(`client sees ${id} end: status ${answer.status ?? 0}, ${count} events, ${end}`);
    // The rule counts what ends from the SIGTERM until 1 s after the grace; the workers break off
    // nothing, and all streams end long before the last sixth of the grace.
    const nowMs = record.nowMs();
    const counts = nowMs >= terminatedAtMs && nowMs <= terminatedAtMs + graceMs + 1_000;
    return answer.isComplete || answer.gaveUp || !counts;
  };
  try {
    await deployment.start();
    await sleep(5_000);
    const [gateway] = deployment.gateways;
    const leaving = workers.at(-1);
    if (!gateway || !leaving) throw new Error('no gateway or worker');
    if (hasTrouble) {
      deployment.reclaim(leaving, leavesMs);
      record.note(`${leaving.options.id} is reclaimed, it leaves in ${leavesMs} ms`);
    }
    await sleep(1_000);
    const answers = Array.from({ length: streams }, (_, at) => isKept(gateway, at));
    await sleep(gapMs * (pauseAfterEvent + 2));
    if (hasTrouble) {
      terminatedAtMs = record.nowMs();
      gateway.signal('SIGTERM');
      record.note(`SIGTERM to ${gateway.options.name}`);
    }
    const kept = (await Promise.all(answers)).every(Boolean);
    return kept ? undefined : 'LOST: passed on to a worker, and no complete answer';
  } finally {
    agent.destroy();
    await deployment.stop();
  }
}

await runCase('5', record, play);
