import { describe, expect, it } from 'vitest';
import {
  Backoff,
  FairQueue,
  HedgePolicy,
  LengthPredictor,
  RetryBudget,
  RetryPolicy,
} from '../../src/admission/index.js';
import { Outcome, Random, WorkClass } from '../../src/core/index.js';

describe('FairQueue', () => {
  it('serves flows in proportion to their weights', () => {
    const queue = new FairQueue<string>();
    for (let index = 0; index < 60; index++) {
      queue.push({ value: 'a', flow: 'a', cost: 10, startByMs: 1 }, 3);
      queue.push({ value: 'b', flow: 'b', cost: 10, startByMs: 1 }, 1);
    }
    const served = Array.from({ length: 40 }, () => queue.shift(0)?.value);
    expect(served.filter((value) => value === 'a')).toHaveLength(30);
  });

  it('drops items whose deadline has passed and updates its totals', () => {
    const queue = new FairQueue<string>();
    queue.push({ value: 'late', flow: 'a', cost: 10, startByMs: 5 }, 1);
    queue.push({ value: 'good', flow: 'a', cost: 7, startByMs: 50 }, 1);
    expect(queue.shift(10)?.value).toBe('good');
    expect([queue.length, queue.queuedCost]).toEqual([0, 0]);
    expect(queue.shift(10)).toBeUndefined();
  });
});

describe('LengthPredictor', () => {
  const key = { workspaceId: 'team/a', serviceId: 'team/s', workloadKey: 'tender' };

  it('learns the class of a workload and falls back to the workspace', () => {
    const lengths = new LengthPredictor();
    const declared = { maxTokens: 10_000, defaultClass: WorkClass.Short };
    expect(lengths.predict(key, declared)).toMatchObject({
      workClass: WorkClass.Short,
      isLearned: false,
    });
    for (let index = 0; index < 20; index++) lengths.observe(key, 2_000);
    expect(lengths.predict(key, declared)).toMatchObject({
      workClass: WorkClass.Long,
      isLearned: true,
    });
    expect(lengths.predict({ ...key, workloadKey: 'new' }, declared).workClass).toBe(
      WorkClass.Long,
    );
    expect(lengths.predict(key, { ...declared, maxTokens: 50 }).workClass).toBe(WorkClass.Short);
  });

  it('relearns a workload that has changed', () => {
    const lengths = new LengthPredictor();
    for (let index = 0; index < 512; index++) lengths.observe(key, 2_000);
    for (let index = 0; index < 100; index++) lengths.observe(key, 50);
    const declared = { maxTokens: 10_000, defaultClass: WorkClass.Long };
    expect(lengths.predict(key, declared).workClass).toBe(WorkClass.Short);
  });
});

describe('RetryPolicy', () => {
  const failed = {
    budgetKey: 'team/a engine',
    attempts: 1,
    outcome: Outcome.Unknown,
    repeatable: true,
    deadlineAtMs: 100_000,
  };
  const settings = { max_attempts: 3 };
  const newPolicy = (budget = new RetryBudget()) =>
    new RetryPolicy(budget, new Backoff({ random: new Random(1) }));

  it('never retries work that may have run and must not run twice', () => {
    const policy = newPolicy();
    expect(policy.retryAtMs({ ...failed, repeatable: false }, settings, 0)).toBeUndefined();
    const notRun = { ...failed, repeatable: false, outcome: Outcome.NotRun };
    expect(policy.retryAtMs(notRun, settings, 0)).toBeDefined();
  });

  it('stops at the attempt limit, at the deadline and at the end of the budget', () => {
    expect(newPolicy().retryAtMs({ ...failed, attempts: 3 }, settings, 0)).toBeUndefined();
    expect(newPolicy().retryAtMs({ ...failed, deadlineAtMs: 0 }, settings, 0)).toBeUndefined();
    const policy = newPolicy(new RetryBudget(20, 2));
    const times = [1, 2, 3].map(() => policy.retryAtMs(failed, settings, 0));
    expect(times.map((atMs) => atMs !== undefined)).toEqual([true, true, false]);
  });

  it('keeps attempts within the ratio when everything fails', () => {
    const budget = new RetryBudget(20, 3);
    let attempts = 0;
    for (let index = 0; index < 1_000; index++) {
      budget.recordRequest('k', 0.1);
      attempts += 1;
      while (budget.trySpend('k')) attempts += 1;
    }
    expect(attempts / 1_000).toBeLessThanOrEqual(1.104);
  });
});

describe('HedgePolicy', () => {
  it('learns its delay and never hedges work that must not run twice', () => {
    const hedges = new HedgePolicy({ minDelayMs: 10 });
    for (let index = 1; index <= 100; index++) {
      hedges.observeFirstToken('s', WorkClass.Short, index * 10);
    }
    expect(hedges.delayMs('s', WorkClass.Short)).toBeLessThan(400);
    expect(hedges.tryHedge('w', false)).toBe(false);
    expect(hedges.tryHedge('w', true)).toBe(true);
    expect(hedges.tryHedge('w', true)).toBe(false);
    for (let index = 0; index < 50; index++) hedges.recordRequest('w', 0.02);
    expect(hedges.tryHedge('w', true)).toBe(true);
  });
});
