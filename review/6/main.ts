import { setTimeout as sleep } from 'node:timers/promises';
import { Caller, Ending, type Answer } from '../lib-2/caller.js';
import { Deployment } from '../lib-2/deployment.js';
import type { Gateway } from '../lib-2/gateway.js';
import { CaseRecord } from '../lib-2/record.js';
import type { WorkerOptions, WorkerRun } from '../lib-2/worker.js';

/** Without it, the client's prompt has the size that its other prompts have. */
const hasTrouble = process.env.TROUBLE !== '0';

/** Tokens of the prompt's first part as the client states them, in trouble and without. */
const statedTokens = hasTrouble ? 2_000_000_000 : 800;

/** The rule: more than three requests of a machine. */
const maxLost = 3;

const callersOfEach = 12;
const troubleAtMs = 6_000;
const lengthMs = 14_000;

const record = new CaseRecord('review/6/record.txt');
const runs = new Map<string, WorkerRun>();
const ownEnds: string[] = [];
const answers: Answer[] = [];

const worker = (id: string): WorkerOptions => ({
  id,
  workMs: 300,
  events: 20,
  gapMs: 50,
  slots: 64,
  kvTokens: 444_000,
  onRun: (run) => {
    runs.set(run.requestId, run);
    record.line(`${run.worker} runs ${run.requestId}`);
  },
  onDone: (run) => record.line(`${run.worker} has run ${run.requestId}`),
});

const route = { host: 'haneul.example', target_latency_ms: 800 };
const deployment = new Deployment({
  gateways: 2,
  services: [
    { name: 'planner', workers: ['i-p1', 'i-p2', 'i-p3'].map(worker) },
    { name: 'school', workers: ['i-s1', 'i-s2'].map(worker) },
  ],
  config: {
    version: 3,
    routes: [
      {
        ...route,
        name: 'draft',
        timeout_ms: 10_000,
        path_prefix: '/stream/',
        kind: 'stream',
        service: 'planner',
        max_attempts: 2,
        sticky: true,
        resumable: true,
      },
      {
        ...route,
        name: 'publish',
        timeout_ms: 1_000,
        path_prefix: '/publish/',
        kind: 'unsafe',
        service: 'school',
      },
    ],
    services: [
      { name: 'planner', health_path: '/health' },
      { name: 'school', health_path: '/health' },
    ],
    tenants: [
      {
        name: 'ours',
        api_keys: ['key-ours'],
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 500_000,
        burst: 500_000,
      },
      {
        name: 'theirs',
        api_keys: ['key-theirs'],
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 36_000,
        burst: 36_000,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  },
  record,
  restartMs: 1_000,
  onOwnEnd: (gateway) => ownEnds.push(gateway.options.name),
});

/** An ordinary client: one request after the other, on a connection that it keeps. */
async function callInTurn(gateway: Gateway, name: string, untilMs: number): Promise<void> {
  const { host, callerPort } = gateway.options;
  const caller = new Caller(host, callerPort);
  for (let number = 1; Date.now() < untilMs; number += 1) {
    const requestId = `${name}-${number}`;
    record.line(`${requestId} is sent to ${gateway.options.name}`);
    const answer = await caller.call({
      requestId,
      method: 'POST',
      path: '/publish/1',
      host: 'haneul.example',
      key: 'key-ours',
      body: 'timetable',
      deadlineMs: 2_000,
    });
    answers.push(answer);
    record.line(`${gateway.options.name} ${requestId}: ${describe(answer)}`);
    await sleep(answer.isWhole ? 20 : 300);
  }
  caller.close();
}

/** The client that nobody controls: one request, repeated once elsewhere if its connection ends. */
async function sendStated(): Promise<void> {
  for (const [index, { options }] of deployment.gateways.entries()) {
    const caller = new Caller(options.host, options.callerPort);
    record.line(
      `${options.name} gets a prompt whose first part is stated as ${statedTokens} tokens`,
    );
    const answer = await caller.call({
      requestId: `stated-${index + 1}`,
      method: 'POST',
      path: '/stream/1',
      host: 'haneul.example',
      key: 'key-theirs',
      headers: {
        'Oriolestack-Model': 'm',
        'Oriolestack-Token-Usage': '1460,80',
        'Oriolestack-Prompt-Prefix': `5c1e07a2:${statedTokens},e4402b7d:250`,
      },
      body: 'prompt',
      deadlineMs: 10_000,
    });
    caller.close();
    record.line(`${options.name} ${answer.requestId}: ${describe(answer)}`);
    if (answer.status !== undefined) return;
  }
}

function describe({ status, isWhole, isOnKeptConnection }: Answer): string {
  const connection = isOnKeptConnection ? 'kept connection' : 'new connection';
  if (status === undefined) return `no answer, ${connection}`;
  return `${status}${isWhole ? '' : ', not whole'}, ${connection}`;
}

await deployment.startOrExit();
const untilMs = Date.now() + lengthMs;
const callers = deployment.gateways.flatMap((gateway) =>
  Array.from({ length: callersOfEach }, (_, index) =>
    callInTurn(gateway, `${gateway.options.name}-c${index + 1}`, untilMs),
  ),
);
await sleep(troubleAtMs);
await sendStated();
await Promise.all(callers);
await deployment.stop();

const served = answers.filter(({ status, isWhole }) => status === 200 && isWhole);
/** Requests of each machine from kept connections that were passed on, and closed without an answer. */
const lost = deployment.gateways.map(({ options: { name } }) => ({
  name,
  count: answers.filter(
    ({ requestId, status, ending, isOnKeptConnection }) =>
      requestId.startsWith(`${name}-`) &&
      status === undefined &&
      ending === Ending.Closed &&
      isOnKeptConnection &&
      runs.has(requestId),
  ).length,
}));
record.line(`${answers.length} requests of ordinary clients, ${served.length} served`);
record.line(`processes that ended by themselves: ${ownEnds.join(', ') || 'none'}`);
for (const { name, count } of lost)
  record.line(
    `LOST: ${name} passed ${count} requests from kept connections on and closed them; ${maxLost} allowed`,
  );
if (served.length === 0) process.exit(2);
process.exit(lost.some(({ count }) => count > maxLost) ? 10 : 0);
