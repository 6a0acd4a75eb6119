import { hash32, Random, WorkClass } from '../../src/core/index.js';
import type { EngineModel } from './engine.js';
import type { DeploymentShape, WorkKind } from './deployments.js';

/** Options of {@link generateWorkload}. */
export interface WorkloadOptions {
  readonly shape: DeploymentShape;
  readonly model: EngineModel;
  readonly seed: number;
  /** Offered load as a share of what all batch slots can serve; see {@link requestsPerSAtFullLoad}. */
  readonly load: number;
  readonly startMs: number;
  readonly durationMs: number;
  /** Share of requests that are `longFactor` times as long. */
  readonly longRatio?: number;
  readonly longFactor?: number;
  /** Factor on the rate of all but the two smallest workspaces. */
  readonly bigWorkspacesFactor?: number;
}

/** One request of the workload, known in full only to the engine and the oracle. */
export interface SimulatedRequest {
  readonly index: number;
  readonly arrivalMs: number;
  readonly workspace: number;
  readonly kind: WorkKind;
  readonly promptTokens: number;
  /** Prompt tokens that no earlier request had; no policy can find them in a cache. */
  readonly newTokens: number;
  readonly outputTokens: number;
  readonly blocks: readonly number[];
  readonly finalBlocks: readonly number[];
  /** Whether it is one of the few much longer jobs. */
  readonly isOutlier: boolean;
  readonly startByMs: number;
  readonly deadlineAtMs: number;
}

interface Conversation {
  readonly kind: WorkKind;
  readonly workspace: number;
  blocks: number[];
  readyAtMs: number;
  turns: number;
}

/** Output time per token assumed for deadlines and for the think time between turns. */
const typicalGapMs = 30;

/** Share of the continued and shared prompt that is assumed cached at a load of 1. */
const assumedCachedRatio = 0.8;

const maxConversationBlocks = 90;

/**
 * Request rate at which the batch slots of all endpoints are busy, with full batches and most of
 * the repeated prompt cached. It is the same for every policy, so a policy that caches less runs
 * at a higher true utilisation.
 */
export function requestsPerSAtFullLoad(shape: DeploymentShape, model: EngineModel): number {
  const sample = generate({
    shape,
    model,
    seed: 1,
    load: 1,
    startMs: 0,
    durationMs: 4_000_000,
    requestsPerS: 1,
  });
  let msPerRequest = 0;
  for (const { request, repeatedBlocks } of sample) {
    const uncached = request.promptTokens - repeatedBlocks * 64 * assumedCachedRatio;
    const stepMs = model.stepBaseMs + model.stepPerSequenceMs * model.batchSlots;
    msPerRequest +=
      (uncached * 1_000) / model.prefillTokensPerS +
      (request.outputTokens * stepMs) / model.batchSlots;
  }
  const endpoints = shape.endpoints.reduce((sum, { count }) => sum + count, 0);
  return (endpoints * 1_000) / (msPerRequest / sample.length);
}

const fullLoadRates = new Map<string, number>();

/** Generates the requests of one run: a function of its options only. */
export function generateWorkload(options: WorkloadOptions): SimulatedRequest[] {
  const { shape, model } = options;
  const key = `${shape.name} ${JSON.stringify(model)}`;
  let rate = fullLoadRates.get(key);
  if (rate === undefined) {
    rate = requestsPerSAtFullLoad(shape, model);
    fullLoadRates.set(key, rate);
  }
  const outlierWork = 1 + (options.longRatio ?? 0) * ((options.longFactor ?? 1) - 1);
  return generate({ ...options, requestsPerS: (rate * options.load) / outlierWork }).map(
    ({ request }) => request,
  );
}

function generate(
  options: WorkloadOptions & { readonly requestsPerS: number },
): { request: SimulatedRequest; repeatedBlocks: number }[] {
  const { shape, startMs, durationMs } = options;
  const random = new Random(options.seed);
  const bigFactor = options.bigWorkspacesFactor ?? 1;
  const smallFrom = shape.workspaceShares.length - 2;
  const shares = shape.workspaceShares.map((share, index) =>
    index < smallFrom ? share * bigFactor : share,
  );
  const shareSum = shares.reduce((sum, share) => sum + share, 0);
  const conversations: Conversation[] = [];
  const found: { request: SimulatedRequest; repeatedBlocks: number }[] = [];
  const meanGapMs = 1_000 / (options.requestsPerS * shareSum);
  let serial = 0;
  let nowMs = startMs;
  for (;;) {
    // The rate follows one period of a cosine, which stands for the rise and fall of an evening.
    const phase = ((nowMs - startMs) / durationMs) * 2 * Math.PI;
    nowMs += random.exponential(meanGapMs / (1 - shape.peakRatio * Math.cos(phase)));
    if (nowMs >= startMs + durationMs) return found;
    const kind = pickWeighted(random, shape.kinds, (each) => each.share);
    const workspace = pickWeighted(
      random,
      shares.map((share, index) => ({ share, index })),
      (each) => each.share,
    ).index;
    const wantsOld = random.float() < kind.continueRatio;
    const ready = wantsOld
      ? conversations.filter(
          (each) => each.kind === kind && each.workspace === workspace && each.readyAtMs <= nowMs,
        )
      : [];
    let conversation: Conversation;
    if (ready.length > 0) {
      conversation = random.pick(ready);
    } else {
      conversation = {
        kind,
        workspace,
        blocks: sharedBlocks(shape.name, workspace, kind),
        readyAtMs: 0,
        turns: 0,
      };
      conversations.push(conversation);
    }
    const repeatedBlocks = conversation.blocks.length;
    const added = 1 + Math.floor(random.exponential(kind.turnBlocks));
    const blocks = [...conversation.blocks];
    for (let count = 0; count < Math.min(added, kind.turnBlocks * 4); count++) {
      blocks.push(blockHash(options.seed, serial++));
    }
    const isOutlier = random.float() < (options.longRatio ?? 0);
    const outputTokens = outputLength(random, kind) * (isOutlier ? (options.longFactor ?? 1) : 1);
    const finalBlocks = [...blocks];
    for (let count = 0; count < Math.floor(outputTokens / 64); count++) {
      finalBlocks.push(blockHash(options.seed, serial++));
    }
    conversation.blocks = finalBlocks;
    conversation.turns += 1;
    conversation.readyAtMs = nowMs + outputTokens * typicalGapMs * 1.5 + random.exponential(20_000);
    // Callers leave after a while, and engines have a longest context.
    if (conversation.turns >= 6 || finalBlocks.length > maxConversationBlocks) {
      conversations.splice(conversations.indexOf(conversation), 1);
    }
    if (conversations.length > 400) conversations.shift();
    found.push({
      repeatedBlocks,
      request: {
        index: found.length,
        arrivalMs: nowMs,
        workspace,
        kind,
        promptTokens: blocks.length * 64,
        newTokens: (blocks.length - repeatedBlocks) * 64,
        outputTokens,
        blocks,
        finalBlocks,
        isOutlier,
        startByMs: nowMs + kind.startWithinMs,
        deadlineAtMs: nowMs + kind.startWithinMs + outputTokens * typicalGapMs * 3,
      },
    });
  }
}

/** Gamma with shape 2, so that lengths vary without a heavy tail of their own. */
function outputLength(random: Random, kind: WorkKind): number {
  const mean = kind.outputTokens;
  const tokens = random.exponential(mean / 2) + random.exponential(mean / 2);
  return Math.max(4, Math.round(Math.min(tokens, mean * 4)));
}

function sharedBlocks(deployment: string, workspace: number, kind: WorkKind): number[] {
  const blocks: number[] = [];
  for (let index = 0; index < kind.sharedBlocks; index++) {
    blocks.push(hash32(`${deployment} ${workspace} ${kind.name} ${index}`) >>> 1);
  }
  return blocks;
}

function blockHash(seed: number, serial: number): number {
  return hash32(`${seed}:${serial}`, 1) >>> 1;
}

function pickWeighted<T>(random: Random, items: readonly T[], weight: (item: T) => number): T {
  let sum = 0;
  for (const item of items) sum += weight(item);
  let remaining = random.float() * sum;
  for (const item of items) {
    remaining -= weight(item);
    if (remaining < 0) return item;
  }
  return items[items.length - 1]!;
}

/** Classes in the order of their names, for tables. */
export const workClasses = [WorkClass.Short, WorkClass.Medium, WorkClass.Long] as const;
