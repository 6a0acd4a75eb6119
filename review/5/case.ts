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

const streams = 60;
const events = 8;
const gapMs = 100;
/** Time from the last event of a stream to its end. */
const endMs = 400;
const timeoutMs = 3_000;
const deadlineMs = 6_000;
/** Time after `timeout_ms` by which the rule wants a final answer. */
const slackMs = 500;
/** Requests without a final answer that the rule allows. */
const allowed = 7;
const service = 'huvo11a';
const record = new CaseRecord();

async function runStream(
  { id, response, firstEvent }: WorkerRequest,
  worker: Worker,
): Promise<void> {
  const name = worker.options.id;
  if (firstEvent > events) {
    record.note(`${name} is asked for ${id} after event ${firstEvent - 1}: nothing is left, 204`);
    response.writeHead(204).end();
    return;
  }
  record.note(`${name} runs ${id} from event ${firstEvent} on`);
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  for (let event = firstEvent; event <= events; event++) {
    await sleep(gapMs);
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
  }
  await sleep(endMs);
  response.end();
}

async function play(): Promise<string | undefined> {
  const workers = ['i-7f3a91c2', 'i-1b22c0de', 'i-9903ab11'].map(
    (id) => new Worker({ id, service, zone: 'here-a', slots: 64, run: runStream }),
  );
  const config = configOf(service, streamRoute(service, true, timeoutMs));
  const deployment = new Deployment({ gateways: 2, config, workers });
  const agent = new Agent({ keepAlive: true });
  try {
    await deployment.start();
    await sleep(5_000);
    const [gateway] = deployment.gateways;
    const [crashing] = workers;
    if (!gateway || !crashing) throw new Error('no gateway or worker');
    const answers = Array.from({ length: streams }, async (_, at) => {
      const id = attemptId(at);
      record.note(`client sends ${id}`);
      const answer = await send({
        id,
        host: gateway.options.host,
        port: gateway.callerPort,
        path: streamPath,
        key: callerKey,
        deadlineMs,
        headers: promptHeaders(at),
        agent,
      });
      const { status = 0, elapsedMs, isComplete, gaveUp } = answer;
      const end = isComplete ? 'complete' : gaveUp ? 'client gave up' : 'cut';
      const count = answer.body.split('\n\n').length - 1;
      record.note(
        `client sees ${id} end after ${elapsedMs} ms: status ${status}, ${count} events, ${end}`,
      );
      return answer;
    });
    await sleep(gapMs * events + endMs / 2);
    if (hasTrouble) {
      deployment.crash(crashing);
      record.note(`${crashing.options.id} crashes`);
    }
    const ended = await Promise.all(answers);
    const late = ended.filter(({ elapsedMs }) => elapsedMs > timeoutMs);
    const open = ended.filter(({ elapsedMs }) => elapsedMs > timeoutMs + slackMs);
    record.note(
      `${late.length} last longer than timeout_ms, ${open.length} without a final answer`,
    );
    const isBroken = open.length > allowed && open.length > late.length / 4;
    return isBroken ? 'CONFIG: no final answer half a second after timeout_ms' : undefined;
  } finally {
    agent.destroy();
    await deployment.stop();
  }
}

await runCase('5', record, play);
