import Table from 'cli-table3';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';
import type { CloudVm } from '../capacity/index.js';
import { sha256Hex } from '../core/index.js';
import type { Daemon } from '../daemon/index.js';
import { EndpointState, type EndpointView } from '../fleet/index.js';
import { AnswerAssembler, JobFrameKind } from '../jobs/index.js';
import { wholeAnswer } from '../standins/index.js';
import { askEndpoint, shortQuestion } from './ask-endpoint.js';
import type { DemoCluster } from './demo-cluster.js';
import { demoDeployment } from './demo-platform.js';

/** Result of one part of the walk-through. */
interface StepResult {
  readonly isRight: boolean;
  readonly detail: string;
}

interface WalkStep {
  readonly name: string;
  readonly run: (cluster: DemoCluster) => Promise<StepResult>;
}

/** Notice of the cloud before it kills a VM. */
const noticeMs = 2_000;
const replacementTimeoutMs = 30_000;

const steps: readonly WalkStep[] = [
  { name: 'chat stream', run: chatStream },
  { name: 'tender quote across a reclaim', run: quoteAcrossReclaim },
  { name: 'replacement of the reclaimed VM', run: replacementServes },
  { name: 'confirmation sent twice', run: confirmationTwice },
  { name: 'settings change in force', run: settingsChange },
  { name: 'graceful stop', run: gracefulStop },
];

/** Runs the main job of both teams and prints what happened; true when every part came out right. */
export async function walkThrough(cluster: DemoCluster): Promise<boolean> {
  const table = new Table({
    head: ['step', 'result', 'what happened'],
    style: { head: [], border: [] },
  });
  let isAllRight = true;
  for (const { name, run } of steps) {
    const { isRight, detail } = await run(cluster).catch((error: unknown) => ({
      isRight: false,
      detail: String(error),
    }));
    isAllRight &&= isRight;
    table.push([name, isRight ? 'ok' : 'WRONG', detail]);
  }
  process.stdout.write(`${table.toString()}\n`);
  return isAllRight;
}

async function chatStream(cluster: DemoCluster): Promise<StepResult> {
  const messages = [{ role: 'user', content: 'How many rolls cover 120 m of fence?' }];
  const response = await post(cluster, 0, 'tejidos/counter', '/v1/chat/completions', {
    model: 'fence-1',
    messages,
    stream: true,
  });
  const text = await collectChat(response);
  const endpoint = cluster.daemons[0]?.components.explanations.latest(1)[0];
  const chosen = endpoint?.candidates().find(({ isChosen }) => isChosen)?.name ?? '';
  return {
    isRight: text === wholeAnswer(messages),
    detail: `${text.length} characters, whole, from ${chosen}`,
  };
}

/** The cloud reclaims the VM that works on the quote: seconds of notice, then it is killed. */
async function quoteAcrossReclaim(cluster: DemoCluster): Promise<StepResult> {
  const messages = [{ role: 'user', content: 'Tender for 3 km of fence. tokens=300' }];
  const accepted = await post(cluster, 0, 'tejidos/tenders', '/v1/jobs', {
    model: 'fence-1',
    messages,
  });
  const { id } = z.object({ id: z.string() }).parse(await accepted.json());
  let reclaim: Promise<string> | undefined;
  const assembler = new AnswerAssembler(id);
  const generations = new Set<number>();
  await readJob(cluster, id, async (frame) => {
    assembler.accept(frame);
    generations.add(frame.generation);
    // Frames arrive while the reclaim is under way; only the first starts one.
    if (assembler.nextOffset > 200) await (reclaim ??= reclaimEngineOf(cluster, id));
  });
  const expected = wholeAnswer(messages);
  const reclaimed = (await reclaim) ?? 'no engine';
  return {
    isRight: assembler.text === expected && assembler.isComplete && generations.size > 1,
    detail:
      `accepted as job, ${reclaimed} reclaimed in the middle, ${generations.size} generations, ` +
      `${assembler.text.length} of ${expected.length} characters, digest ` +
      (sha256Hex(assembler.text) === sha256Hex(expected) ? 'matches' : 'differs'),
  };
}

/** The controller replaces the reclaimed VM; every daemon knows the new endpoint and it serves. */
async function replacementServes(cluster: DemoCluster): Promise<StepResult> {
  const { clock, platform, daemons } = cluster;
  const startedAtMs = clock.nowMs();
  while (clock.nowMs() < startedAtMs + replacementTimeoutMs) {
    for (const vm of platform.cloud.vms.running().filter(isReplacement(cluster))) {
      const views = daemons.flatMap((daemon) => loadedView(daemon, vm.vmId) ?? []);
      if (views.length < daemons.length) continue;
      const answers = await Promise.all(
        daemons.map(async (daemon, index) => {
          const view = views[index];
          return view ? askEndpoint(daemon, view, `replacement-${index}`) : undefined;
        }),
      );
      return {
        isRight: answers.every((answer) => answer === wholeAnswer(shortQuestion)),
        detail:
          `${vm.vmId} in ${vm.failureDomain} has loaded the model and answers all daemons ` +
          `${Math.round(clock.nowMs() - startedAtMs)} ms after the kill`,
      };
    }
    await clock.sleepUntil(clock.nowMs() + 100);
  }
  return { isRight: false, detail: 'no replacement served in time' };
}

/** A VM of the quote's service in the region of the reclaimed one, started after its notice. */
function isReplacement(cluster: DemoCluster): (vm: CloudVm) => boolean {
  const { reclaimed } = cluster.platform.cloud;
  return ({ serviceId, region, startedAtMs }) =>
    serviceId === reclaimed?.serviceId &&
    region === reclaimed.region &&
    startedAtMs > reclaimed.noticeAtMs;
}

function loadedView(daemon: Daemon, vmId: string): EndpointView | undefined {
  return daemon.components.registry
    .all()
    .find(
      ({ name, state, loadedModels }) =>
        name === `tejidos/${vmId}-1` &&
        state === EndpointState.Live &&
        loadedModels.includes('fence-1'),
    );
}

async function confirmationTwice(cluster: DemoCluster): Promise<StepResult> {
  const key = `order-${Date.now()}`;
  const send = (daemon: number): Promise<Response> =>
    post(
      cluster,
      daemon,
      'tejidos/counter',
      '/services/orders/confirmations',
      { rolls: 12 },
      {
        'idempotency-key': key,
      },
    );
  const [first, second] = await Promise.all([send(0), send(1)]);
  const again = await send(2);
  const executions = cluster.platform.plainServers.reduce(
    (sum, server) => sum + (server.executions.get(key) ?? 0),
    0,
  );
  const statuses = [first.status, second.status, again.status].join(', ');
  return {
    isRight: executions === 1 && again.headers.get('oriolestack-replayed') === 'true',
    detail: `3 sends to 3 daemons, statuses ${statuses}, executed ${executions} time(s)`,
  };
}

async function settingsChange(cluster: DemoCluster): Promise<StepResult> {
  const path = `${demoDeployment}/planning/limits/curricula`;
  const startedAtMs = cluster.clock.nowMs();
  const verdict = await cluster.publish([{ path, values: { rate_per_s: '40' } }]);
  const deadlineAtMs = startedAtMs + 20_000;
  const inForce = (): number =>
    cluster.daemons.filter((daemon) => cluster.inForce(daemon, path)?.rate_per_s === '40').length;
  while (inForce() < cluster.daemons.length && cluster.clock.nowMs() < deadlineAtMs) {
    await cluster.clock.sleepUntil(cluster.clock.nowMs() + 20);
  }
  return {
    isRight: inForce() === cluster.daemons.length,
    detail:
      `${verdict.isAccepted ? 'accepted' : 'rejected'}, in force on ${inForce()} of ` +
      `${cluster.daemons.length} daemons after ${Math.round(cluster.clock.nowMs() - startedAtMs)} ms`,
  };
}

/** Stops a daemon in the middle of a stream; the stream must still end whole. */
async function gracefulStop(cluster: DemoCluster): Promise<StepResult> {
  const daemon = cluster.daemons[2];
  const messages = [{ role: 'user', content: 'Plan the lessons of a week. tokens=150' }];
  const response = await post(cluster, 2, 'planning/lessons', '/v1/chat/completions', {
    model: 'term-1',
    messages,
    stream: true,
  });
  const stopped = daemon?.stop();
  const text = await collectChat(response);
  await stopped;
  return {
    isRight: text === wholeAnswer(messages),
    detail: `stream open at the stop ended with ${text.length} characters, whole`,
  };
}

async function post(
  cluster: DemoCluster,
  daemon: number,
  workspace: string,
  path: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<Response> {
  return fetch(`${cluster.daemons[daemon]?.urls.caller ?? ''}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${cluster.platform.callerKeys.get(workspace) ?? ''}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
  });
}

const chatChunk = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }) })).default([]),
});

async function collectChat(response: Response): Promise<string> {
  let text = '';
  await readEvents(response, (_event, data) => {
    if (data === '[DONE]') return;
    text += chatChunk.parse(JSON.parse(data)).choices[0]?.delta.content ?? '';
  });
  return text;
}

const textFrame = z.object({ generation: z.number(), offset: z.number(), text: z.string() });
const endFrame = z.object({
  generation: z.number(),
  length_chars: z.number(),
  sha256: z.string(),
  finish_reason: z.string(),
});

/** Attaches to a job at another daemon than the one that accepted it. */
async function readJob(
  cluster: DemoCluster,
  jobId: string,
  onFrame: (frame: Parameters<AnswerAssembler['accept']>[0]) => Promise<void>,
): Promise<void> {
  const url = `${cluster.daemons[1]?.urls.caller ?? ''}/v1/jobs/${jobId}/stream?offset=0`;
  const key = cluster.platform.callerKeys.get('tejidos/tenders') ?? '';
  const response = await fetch(url, { headers: { authorization: `Bearer ${key}` } });
  const pending: Promise<void>[] = [];
  await readEvents(response, (event, data) => {
    if (event === 'text') {
      const { generation, offset, text } = textFrame.parse(JSON.parse(data));
      pending.push(onFrame({ kind: JobFrameKind.Text, jobId, generation, offset, text }));
    } else if (event === 'end') {
      const { generation, length_chars, sha256, finish_reason } = endFrame.parse(JSON.parse(data));
      pending.push(
        onFrame({
          kind: JobFrameKind.End,
          jobId,
          generation,
          lengthChars: length_chars,
          digest: sha256,
          finishReason: finish_reason,
        }),
      );
    }
  });
  await Promise.all(pending);
}

async function readEvents(
  response: Response,
  onEvent: (event: string | undefined, data: string) => void,
): Promise<void> {
  const parser = createParser({ onEvent: ({ event, data }) => onEvent(event, data) });
  const decoder = new TextDecoder();
  for await (const chunk of response.body ?? []) {
    parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
  }
}

/** Lets the cloud reclaim the VM of the engine that works on a job, and waits until it is killed. */
async function reclaimEngineOf(cluster: DemoCluster, jobId: string): Promise<string> {
  const engine = cluster.platform.engines.find(({ startedRequests }) =>
    startedRequests.some((requestId) => requestId.startsWith(jobId)),
  );
  if (!engine) return 'no engine';
  cluster.platform.cloud.reclaim(engine.vmId, noticeMs);
  await cluster.clock.sleepUntil(cluster.clock.nowMs() + noticeMs);
  return engine.name;
}
