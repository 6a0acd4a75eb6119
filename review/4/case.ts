import { Agent } from 'node:http';
import { connect, type Socket } from 'node:net';
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
import { Worker, type WorkerRequest } from '../lib/worker.js';

/** Streams that are open when SIGTERM comes; they end in time. */
const earlierStreams = 4;
/** Clients that connect while the machine is still in rotation. */
const lateClients = 3;
const gapMs = 100;
const earlierEvents = 60;
const lateEvents = 42;
/** Times after the SIGTERM; the second missed check comes 1 s after it at the earliest. */
const connectAfterMs = 900;
/** Less than `header_timeout_ms` after the connection. */
const sendAfterMs = 3_500;
const graceMs = 8_000;
const service = 'huvo11a';
const record = new CaseRecord();

async function runStream(
  { id, request, response, firstEvent }: WorkerRequest,
  worker: Worker,
): Promise<void> {
  const name = worker.options.id;
  record.note(`${name} runs ${id}`);
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  const events = Number(request.headers['oriolestack-length-hint']);
  for (let event = firstEvent; event <= events; event++) {
    await sleep(gapMs);
    if (response.destroyed) {
      record.note(`${name} finds the connection of ${id} closed before event ${event}`);
      return;
    }
    response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
  }
  response.end();
  record.note(`${name} has ended ${id}`);
}

async function sendStream(
  gateway: Gateway,
  at: number,
  events: number,
  connection: { readonly agent: Agent } | { readonly socket: Socket },
): Promise<ClientAnswer> {
  const id = attemptId(at);
  record.note(`client sends ${id}, ${events} events long`);
  const answer = await send({
    id,
    host: gateway.options.host,
    port: gateway.callerPort,
    path: streamPath,
    key: callerKey,
    deadlineMs: 10_000,
    headers: { ...promptHeaders(at), 'oriolestack-length-hint': String(events) },
    ...connection,
  });
  const end = answer.isComplete ? 'complete' : `cut (${answer.failure})`;
  const count = answer.body.split('\n\n').length - 1;
  record.note(`client sees ${id} end: status ${answer.status ?? 0}, ${count} events, ${end}`);
  return answer;
}

async function openConnection(gateway: Gateway): Promise<Socket> {
  const socket = connect(gateway.callerPort, gateway.options.host);
  await new Promise((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  return socket;
}

async function play(): Promise<string | undefined> {
  const workers = ['i-7f3a91c2', 'i-1b22c0de'].map(
    (id) => new Worker({ id, service, zone: 'here-a', slots: 64, run: runStream }),
  );
  const config = configOf(service, streamRoute(service, false));
  const deployment = new Deployment({ gateways: 2, config, workers });
  const agent = new Agent({ keepAlive: true });
  try {
    await deployment.start();
    await sleep(5_000);
    const [gateway] = deployment.gateways;
    if (!gateway) throw new Error('no gateway');
    const earlier = Array.from({ length: earlierStreams }, (_, at) =>
      sendStream(gateway, at, earlierEvents, { agent }),
    );
    await sleep(200);
    const terminatedAtMs = record.nowMs();
    if (hasTrouble) {
      gateway.signal('SIGTERM');
      record.note(`SIGTERM to ${gateway.options.name}`);
    }
    await sleep(connectAfterMs);
    const sockets = await Promise.all(
      Array.from({ length: lateClients }, () => openConnection(gateway)),
    );
    record.note(`${lateClients} clients connect`);
    await sleep(terminatedAtMs + sendAfterMs - record.nowMs());
    const late = await Promise.all(
      sockets.map(async (socket, at) => {
        const answer = await sendStream(gateway, earlierStreams + at, lateEvents, { socket });
        return { answer, endedAtMs: record.nowMs() };
      }),
    );
    await Promise.all(earlier);
    // Sent later than 3 s after the SIGTERM: no excuse for the work of a worker.
    const lost = late.filter(({ answer, endedAtMs }) => {
      const wasPassedOn = answer.body !== '';
      const counts = hasTrouble && endedAtMs <= terminatedAtMs + graceMs + 1_000;
      return counts && wasPassedOn && !answer.isComplete && !answer.gaveUp;
    });
    return lost.length === 0
      ? undefined
      : `LOST: ${lost.length} passed on to a worker, and no complete answer`;
  } finally {
    agent.destroy();
    await deployment.stop();
  }
}

await runCase('4', record, play);
