import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { z } from 'zod';
import { EngineServer, wholeAnswer } from '../../src/standins/index.js';
import { messagesOf, ProcessCluster, until } from './process-cluster.js';

const endpointsSchema = z.object({
  answers: z.array(
    z.object({
      answer: z.array(z.object({ path: z.string(), id: z.string(), state: z.string() })),
    }),
  ),
});

describe('endpoints that fail under open streams', { timeout: 60_000 }, () => {
  let cluster: ProcessCluster;

  beforeAll(async () => {
    cluster = new ProcessCluster();
    await cluster.start();
  });

  afterAll(async () => {
    await cluster.close();
  });

  /** Streams a chat and calls `interfere` with its engine once the first text is shown. */
  async function chatUnder(
    prompt: string,
    interfere: (engine: EngineServer) => void,
  ): Promise<string> {
    const started = cluster.engines.map(({ startedRequests }) => startedRequests.length);
    let isDone = false;
    const { text, isComplete } = await cluster.chat(0, prompt, () => {
      if (isDone) return;
      isDone = true;
      const engine = cluster.engines.find(
        ({ startedRequests }, index) => startedRequests.length > (started[index] ?? 0),
      );
      if (engine) interfere(engine);
    });
    expect(isComplete).toBe(true);
    return text;
  }

  async function idsOf(name: string): Promise<{ id: string; state: string }[]> {
    const { out } = await cluster.ctl('endpoints', `prod/tejidos/endpoints/${name}`, '--json');
    const { answers } = endpointsSchema.parse(JSON.parse(out));
    return answers.flatMap(({ answer }) => answer);
  }

  it('moves a chat stream away from a silent engine without a gap', async () => {
    const prompt = 'Question to an engine that goes silent. tokens=120';
    let silent: EngineServer | undefined;
    const text = await chatUnder(prompt, (engine) => {
      silent = engine;
      engine.areStreamsSilent = true;
    });
    if (silent) silent.areStreamsSilent = false;
    expect(silent).toBeDefined();
    expect(text).toBe(wholeAnswer(messagesOf(prompt)));
  });

  it('takes a process that returns at an address as a new endpoint', async () => {
    const [old] = cluster.engines;
    if (!old) throw new Error('there is no engine');
    const before = new Set((await idsOf(old.name)).map(({ id }) => id));
    const port = Number(new URL(old.baseUrl).port);
    await old.kill();
    const returned = new EngineServer({ name: old.name, vmId: old.vmId, models: ['fence-1'] });
    await returned.listen(port);
    cluster.engines[0] = returned;
    await until(async () => {
      const now = await idsOf(old.name);
      return now.length >= 3 && now.every(({ id, state }) => !before.has(id) && state === 'live');
    });
  });

  it('shows one unbroken answer when the engine is reclaimed in its middle', async () => {
    const prompt = 'Question across a reclaim. tokens=200';
    const text = await chatUnder(prompt, (engine) => {
      engine.isDraining = true;
      void engine.kill();
    });
    expect(text).toBe(wholeAnswer(messagesOf(prompt)));
  });
});
