import { describe, expect, it } from 'vitest';
import {
  defaultEngineModel,
  SimulatedEngine,
  type EngineJob,
} from '../../../bench/policy/engine.js';
import { Random, VirtualClock, WorkClass } from '../../../src/core/index.js';
import { CacheEventKind } from '../../../src/fleet/prefix-cache-index.js';

/** Fixed steps without prefill, so that the service time is the number of tokens times 10 ms. */
function plainModel(batchSlots: number) {
  return { ...defaultEngineModel, batchSlots, stepBaseMs: 10, stepPerSequenceMs: 0 };
}

function job(changes: Partial<EngineJob>): EngineJob {
  return {
    id: 0,
    workClass: WorkClass.Short,
    promptTokens: 0,
    outputTokens: 1,
    blocks: [],
    finalBlocks: [],
    importedTokens: 0,
    onToken: () => undefined,
    onEnd: () => undefined,
    onBroken: () => undefined,
    ...changes,
  };
}

/** Mean time in the queue and utilisation of the slots under Poisson arrivals. */
function measure(batchSlots: number, load: number, tokens: (random: Random) => number) {
  const clock = new VirtualClock(0);
  const random = new Random(5);
  const engine = new SimulatedEngine('e', plainModel(batchSlots), clock);
  const meanServiceMs = 1_000;
  const jobs = 30_000;
  let waitMs = 0;
  let id = 0;
  const arrive = (): void => {
    const arrivedAtMs = clock.nowMs();
    const outputTokens = tokens(random);
    engine.submit(
      job({
        id: id++,
        outputTokens,
        onEnd: () => (waitMs += clock.nowMs() - arrivedAtMs - outputTokens * 10),
      }),
    );
    if (id < jobs) {
      clock.schedule(clock.nowMs() + random.exponential(meanServiceMs / batchSlots / load), arrive);
    }
  };
  arrive();
  clock.runUntil(1e9);
  const lastMs = (jobs * meanServiceMs) / batchSlots / load;
  return { waitMs: waitMs / jobs, utilisation: engine.slotBusyMs / lastMs / batchSlots };
}

/** Probability of waiting in an M/M/c queue. */
function erlangC(servers: number, load: number): number {
  const offered = servers * load;
  let term = 1;
  let sum = 1;
  for (let count = 1; count < servers; count++) {
    term *= offered / count;
    sum += term;
  }
  const last = (term * offered) / servers / (1 - load);
  return last / (sum + last);
}

const exponentialTokens = (random: Random): number =>
  Math.max(1, Math.round(random.exponential(100)));

describe('SimulatedEngine', () => {
  for (const [slots, load] of [
    [4, 0.7],
    [8, 0.85],
  ] as const) {
    it(`waits and works like an M/M/${slots} queue at a load of ${load}`, () => {
      const { waitMs, utilisation } = measure(slots, load, exponentialTokens);
      const expectedMs = (erlangC(slots, load) * 1_000) / slots / (1 - load);
      expect(utilisation).toBeGreaterThan(load * 0.97);
      expect(utilisation).toBeLessThan(load * 1.03);
      // Jobs join at the end of a step, which adds up to 10 ms.
      expect(waitMs).toBeGreaterThan(expectedMs * 0.9);
      expect(waitMs).toBeLessThan(expectedMs * 1.1 + 10);
    });
  }

  it('waits like an M/D/1 queue with equal jobs', () => {
    const load = 0.8;
    const { waitMs } = measure(1, load, () => 100);
    const expectedMs = (load * 1_000) / 2 / (1 - load);
    expect(waitMs).toBeGreaterThan(expectedMs * 0.92);
    expect(waitMs).toBeLessThan(expectedMs * 1.08 + 10);
  });

  it('processes only what is not cached and evicts the least recently used blocks', () => {
    const clock = new VirtualClock(0);
    const changes: [CacheEventKind, number[]][] = [];
    const model = { ...defaultEngineModel, cacheBlocks: 4 };
    const engine = new SimulatedEngine('e', model, clock, ({ kind, blocks }) =>
      changes.push([kind, [...blocks]]),
    );
    const run = (blocks: number[]): number => {
      let uncached = -1;
      engine.submit(
        job({
          blocks,
          finalBlocks: blocks,
          promptTokens: blocks.length * 64,
          onEnd: (usage) => (uncached = usage.uncachedTokens),
        }),
      );
      clock.runUntil(clock.nowMs() + 1_000);
      return uncached;
    };
    expect(run([1, 2])).toBe(128);
    expect(run([1, 2, 3])).toBe(64);
    expect(run([7, 8])).toBe(128);
    expect(changes.at(-1)).toEqual([CacheEventKind.Evicted, [1]]);
    expect(run([1, 2, 3])).toBe(192);
  });

  it('serves short work first and breaks all streams when it is killed', () => {
    const clock = new VirtualClock(0);
    const engine = new SimulatedEngine('e', plainModel(1), clock);
    const ended: string[] = [];
    const broken: boolean[] = [];
    const submit = (id: number, workClass: WorkClass): void => {
      engine.submit(
        job({
          id,
          workClass,
          outputTokens: 10,
          onEnd: () => ended.push(workClass),
          onBroken: ({ hasStarted }) => broken.push(hasStarted),
        }),
      );
    };
    submit(1, WorkClass.Long);
    submit(2, WorkClass.Long);
    submit(3, WorkClass.Short);
    clock.runUntil(250);
    expect(ended).toEqual([WorkClass.Long, WorkClass.Short]);
    engine.kill();
    submit(4, WorkClass.Short);
    expect(broken).toEqual([true, false]);
  });
});
