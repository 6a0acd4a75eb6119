import fc from 'fast-check';
import { checkers } from './checkers/index.js';
import type { HistoryModel, HistoryPart } from './command.js';
import { chats } from './chat-commands.js';
import { callsAndJobs, faults } from './commands.js';
import { HistoryKind, type HistoryEvent } from './history.js';
import { noticeCommands } from './notice-commands.js';
import { NoticeWorld } from './notice-world.js';
import { settings } from './settings-commands.js';
import { World, type WorldParts } from './world.js';

/** What a history draws its commands from; the seed decides, to keep the run time of most short. */
function partsOf(seed: number): { world: WorldParts; commands: readonly HistoryPart[] } {
  const world = { settings: seed % 2 === 0, chats: seed % 4 < 2 };
  const commands = [
    callsAndJobs,
    faults,
    ...(world.settings ? [settings] : []),
    ...(world.chats ? [chats] : []),
  ];
  return { world, commands };
}

const maxCommands = 30;
const shrinkLimitMs = 10_000;

/** Result of {@link runHistory}. */
export interface HistoryResult {
  readonly seed: number;
  /** Undefined when no checker found a violation. */
  readonly failure: string | undefined;
  /** Number of events observed, by kind. */
  readonly counts: ReadonlyMap<HistoryKind, number>;
}

/** A world that commands act on. */
interface HistoryWorld {
  readonly history: { readonly events: readonly HistoryEvent[] };
  start(): Promise<void>;
  finish(): Promise<void>;
}

/**
 * Runs the histories of a seed, of the system and of what endpoints say themselves, and, when a
 * guarantee is violated, looks for a shorter one that violates it too.
 *
 * @example
 * ```ts
 * const { failure } = await runHistory(42);
 * ```
 */
export async function runHistory(seed: number): Promise<HistoryResult> {
  const parts = partsOf(seed);
  const system = await playWorld(
    seed,
    parts.commands.flat(),
    (worldSeed) => new World(worldSeed, parts.world),
  );
  const notices = await runNoticeHistory(seed);
  const counts = new Map(system.counts);
  for (const [kind, count] of notices.counts) counts.set(kind, (counts.get(kind) ?? 0) + count);
  return { seed, failure: system.failure ?? notices.failure, counts };
}

/** Runs the history of a seed in which endpoints leave and pause by their responses. */
export function runNoticeHistory(seed: number): Promise<HistoryResult> {
  return playWorld(seed, noticeCommands, (worldSeed) => new NoticeWorld(worldSeed));
}

async function playWorld<WorldType extends HistoryWorld>(
  seed: number,
  commandKinds: readonly fc.Arbitrary<fc.AsyncCommand<HistoryModel, WorldType>>[],
  createWorld: (worldSeed: number) => WorldType,
): Promise<HistoryResult> {
  let first: readonly HistoryEvent[] | undefined;
  const commandLists = fc.commands<HistoryModel, WorldType, false>([...commandKinds], {
    maxCommands,
    size: 'max',
  });
  const property = fc.asyncProperty(commandLists, fc.integer(), async (commands, worldSeed) => {
    const world = createWorld(worldSeed);
    await world.start();
    await fc.asyncModelRun(() => ({ model: {}, real: world }), commands);
    await world.finish();
    first ??= world.history.events;
    const violations = checkers.flatMap((check) => check(world.history.events));
    if (violations.length > 0) throw new Error(violations.join('\n'));
  });
  const plugins = [fc.unbiased()];
  let result = await fc.check(property, { seed, numRuns: 1, endOnFailure: true, plugins });
  if (result.failed) {
    const shrinking = [...plugins, fc.interruptAfterTimeLimit(shrinkLimitMs)];
    const shrunk = await fc.check(property, { seed, numRuns: 1, plugins: shrinking });
    // On a slow machine the limit may pass before the first failure is seen again.
    if (shrunk.counterexample !== null) result = shrunk;
  }
  const counts = new Map<HistoryKind, number>();
  for (const { kind } of first ?? []) counts.set(kind, (counts.get(kind) ?? 0) + 1);
  return {
    seed,
    failure: result.failed
      ? describeFailure(seed, result.counterexample, result.errorInstance)
      : undefined,
    counts,
  };
}

/** Command that runs the history of a seed again. */
export function replayCommand(seed: number): string {
  return `npm run histories -- --runs 1 --seed ${seed}`;
}

function describeFailure(seed: number, counterexample: unknown, cause: unknown): string {
  const error = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
  return [
    `history ${seed} failed; replay with: ${replayCommand(seed)}`,
    `shortest failing commands: ${fc.stringify(counterexample)}`,
    error,
  ].join('\n');
}
