import { describe, expect, it } from 'vitest';
import { runCoarseFleet } from '../../../bench/policy/coarse-fleet.js';
import { haneul, tejidos } from '../../../bench/policy/deployments.js';
import { defaultEngineModel } from '../../../bench/policy/engine.js';
import { PolicyName } from '../../../bench/policy/policies.js';
import { RequestEnd, type RunOptions } from '../../../bench/policy/run-record.js';
import { runSimulation } from '../../../bench/policy/simulation.js';
import { generateWorkload } from '../../../bench/policy/workload.js';

const base: RunOptions = {
  shape: tejidos,
  policy: PolicyName.Router,
  seed: 1,
  load: 0.6,
  warmUpMs: 20_000,
  measureMs: 60_000,
};

describe('generateWorkload', () => {
  it('is a function of its seed and has prompts that continue earlier ones', () => {
    const options = {
      shape: haneul,
      model: defaultEngineModel,
      seed: 3,
      load: 0.7,
      startMs: 0,
      durationMs: 200_000,
    };
    const first = generateWorkload(options);
    expect(generateWorkload(options)).toEqual(first);
    const seen = new Set(first.flatMap(({ finalBlocks }) => finalBlocks.at(-1) ?? []));
    expect(first.some(({ blocks }) => blocks.some((block) => seen.has(block)))).toBe(true);
  });
});

describe('runSimulation', () => {
  it('gives the same records for the same seed', () => {
    expect(runSimulation(base).records).toEqual(runSimulation(base).records);
  });

  it('ends every request under the loss of a failure domain and tells refusals truthfully', () => {
    const { records } = runSimulation({
      ...base,
      knobs: { domainLostAfterMs: 20_000, replacedAfterMs: 30_000 },
    });
    expect(records.filter(({ end }) => end === RequestEnd.Open)).toEqual([]);
    expect(records.some(({ attempts }) => attempts > 1)).toBe(true);
    for (const { end, startedAttempts } of records) {
      if (end === RequestEnd.Refused) expect(startedAttempts).toBe(0);
    }
  });
});

describe('herding', () => {
  const run = (policy: PolicyName) =>
    runCoarseFleet({
      policy,
      seed: 2,
      endpoints: 240,
      daemons: 30,
      load: 0.7,
      measureMs: 4_000,
    });

  it('shows in the spread of daemons that all take the least reported load', () => {
    const router = run(PolicyName.Router);
    const herding = run(PolicyName.LeastReported);
    const random = run(PolicyName.Random);
    expect(herding.variation).toBeGreaterThan(random.variation);
    expect(router.variation).toBeLessThan(random.variation * 0.8);
    expect(router.queuedRatio).toBeLessThan(random.queuedRatio / 2);
  });
});
