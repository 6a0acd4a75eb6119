import { Outcome, RequestError, WorkClass } from '../../src/core/index.js';
import { AnswerAssembler, type JobFrame } from '../../src/jobs/index.js';
import { JobStatus } from '../../src/state/index.js';
import { expectedBody } from './fake-back-end.js';
import { expectedText } from './fake-engine.js';
import { HistoryKind } from './history.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { World } from './world.js';

const callTimeoutMs = 6_000;

/** Sends a non-repeatable call, and again with the same key until it succeeds or gives up. */
export async function repeatCall(
  world: World,
  key: string,
  body: string,
  attempts: number,
): Promise<void> {
  const { clock, history, random } = world;
  for (let attempt = 0; attempt < attempts; attempt++) {
    const callId = world.newCallId();
    const deadlineAtMs = clock.nowMs() + random.int(500, callTimeoutMs);
    history.record({
      kind: HistoryKind.CallStarted,
      callId,
      key,
      expectedBody: expectedBody(body),
    });
    const answered = world.anyDaemon().call({ callId, key, body, deadlineAtMs });
    const ended = await Promise.race([
      answered.then(
        (answer) => ({ outcome: undefined, body: Buffer.from(answer.body).toString() }),
        (error: unknown) => ({ outcome: outcomeOf(error), body: '' }),
      ),
      // The connection to a crashed or paused daemon says nothing about the call.
      world.sleep(callTimeoutMs + 2_000).then(() => ({ outcome: Outcome.Unknown, body: '' })),
    ]);
    history.record({ kind: HistoryKind.CallEnded, callId, ...ended });
    if (ended.outcome === undefined) return;
    await world.sleep(random.int(10, 3_000));
  }
}

/** Submits a job and reads its answer through changing daemons until it is whole. */
export async function submitJob(
  world: World,
  maxTokens: number,
  cancelInMs: number | undefined,
): Promise<void> {
  const { clock, history } = world;
  const workId = world.newCallId();
  history.record({
    kind: HistoryKind.JobSubmitted,
    workId,
    expectedText: expectedText(workId, maxTokens),
  });
  const daemon = world.anyDaemon();
  let jobId: string;
  try {
    jobId = await daemon.enter(() =>
      daemon.manager.accept({
        workspace: 'tejidos',
        service: 'tenders',
        request: {
          model: 'm',
          messages: [{ role: 'user', content: workId }],
          maxTokens,
          passThrough: {},
        },
        workClass: WorkClass.Medium,
        deadlineAtMs: clock.nowMs() + 60_000,
        rememberMs: 86_400_000,
      }),
    );
  } catch (error) {
    history.record({ kind: HistoryKind.JobRefused, workId, outcome: outcomeOf(error) });
    return;
  }
  history.record({ kind: HistoryKind.JobAccepted, workId, jobId });
  if (cancelInMs !== undefined) {
    clock.schedule(clock.nowMs() + cancelInMs, () => {
      history.record({ kind: HistoryKind.JobCancelled, jobId });
      const canceller = world.anyDaemon();
      void canceller.enter(() => canceller.manager.cancel(jobId)).catch(() => undefined);
    });
  }
  await readAnswer(world, jobId);
}

/** Reads over connections that copy and reorder frames and end at any time. */
async function readAnswer(world: World, jobId: string): Promise<void> {
  const { history, random } = world;
  const assembler = new AnswerAssembler(jobId);
  for (;;) {
    const daemon = world.anyDaemon();
    const connection = new AbortController();
    const reading = readOnce(world, daemon, jobId, assembler, connection.signal);
    // Late frames of an earlier connection may still find an error, as in `spawn`.
    world.spawn(() => reading);
    await Promise.race([reading, world.sleep(random.int(200, 5_000))]);
    connection.abort();
    const { text, isComplete } = assembler;
    history.record({ kind: HistoryKind.AnswerRead, jobId, text, isComplete });
    if (isComplete || daemon.jobs.job(jobId)?.status === JobStatus.Cancelled) return;
    await world.sleep(random.int(100, 1_000));
  }
}

async function readOnce(
  world: World,
  daemon: SimulatedDaemon,
  jobId: string,
  assembler: AnswerAssembler,
  signal: AbortSignal,
): Promise<void> {
  const { random } = world;
  const held: JobFrame[] = [];
  const frames = daemon.manager.read(jobId, assembler.nextOffset, signal);
  for await (const frame of frames) {
    await daemon.process.deliver(Promise.resolve());
    const draw = random.float();
    if (draw < 0.15) held.push(frame);
    else if (!signal.aborted) {
      assembler.accept(frame);
      if (draw < 0.3) assembler.accept(frame);
    }
  }
  // Frames that were overtaken arrive late, even on a connection that has ended.
  await world.sleep(random.int(1, 3_000));
  for (const frame of held) assembler.accept(frame);
}

function outcomeOf(error: unknown): Outcome {
  if (error instanceof RequestError) return error.outcome;
  throw error;
}
