import { Agent } from 'node:http';
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
import { hasTrouble, runCase } from '../lib/run-case.js';
import { Worker, type WorkerRequest } from '../lib/worker.js';

const service = 'huvo11a';
const zones = ['here-a', 'here-b', 'here-c'];
/** One of them leaves. */
const workerCount = 9;
const streams = 12;
const events = 8;
/** The pause of a stream: below the shortest time after which a client abandons one, 2 s. */
const pauseAfterEvent = 3;
const pauseMs = 1_800;
const gapMs = 100;
const graceMs = 8_000;
const record = new CaseRecord();

async function runStream(
  { id, response, firstEvent }: WorkerRequest,
  worker: Worker,
): Promise<void> {
  const name = worker.options.id;
  record.note(`${name} runs ${id} from event ${firstEvent} on`);
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  for (let event = firstEvent; event <= events; event++) {
    await sleep(event === pauseAfterEvent + 1 ? pauseMs : gapMs);
    if (response.destroyed) {
      record.note(`${name} finds the connection of ${id} closed before event ${event}`);
      return;
    }
    response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
  }
  response.end();
  record.note(`${name} has ended ${id}`);
}

async function play(): Promise<string | undefined> {
  const workers = Array.from(
    { length: workerCount },
    (_, at) =>
      new Worker({
        id: `i-7f3a91c${at.toString(16)}`,
        service,
        zone: zones[at % zones.length] ?? 'here-a',
        slots: 64,
        run: runStream,
      }),
  );
  const config = configOf(service, streamRoute(service, false));
  const deployment = new Deployment({ gateways: 2, config, workers });
  try {
    await deployment.start();
    // All machines are in touch from here on.
    await sleep(5_000);
    const gateway = deployment.gateways[0];
    if (!gateway) throw new Error('no gateway');
    const agent = new Agent({ keepAlive: true });
    let terminatedAtMs = Infinity;
    const answers = Array.from({ length: streams }, async (_, at) => {
      const id = attemptId(at);
      record.note(`client sends ${id}`);
      const { host } = gateway.options;
      const answer = await send({
        id,
        host,
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
    });
    await sleep(gapMs * (pauseAfterEvent + 1));
    if (hasTrouble) {
      const [leaving] = workers.filter(({ running }) => running > 0);
      if (!leaving) throw new Error('no worker runs a stream');
      deployment.removeEntry(leaving);
      record.note(`entry of ${leaving.options.id} removed; the worker goes on serving`);
      terminatedAtMs = record.nowMs();
      gateway.signal('SIGTERM');
      record.note(`SIGTERM to ${gateway.options.name}`);
    }
    const isKept = (await Promise.all(answers)).every(Boolean);
    agent.destroy();
    return isKept ? undefined : 'LOST: passed on to a worker, and no complete answer';
  } finally {
    await deployment.stop();
  }
}

await runCase('5', record, play);
