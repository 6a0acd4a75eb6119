import fc from 'fast-check';
import { checkers } from './checkers/index.js';
import type { HistoryModel, HistoryPart } from './command.js';
import { chats } from './chat-commands.js';
import { callsAndJobs, faults } from './commands.js';
import { HistoryKind, type HistoryEvent } from './history.js';
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

/**
 * Runs the history of a seed and, when a guarantee is violated, looks for a shorter one that
 * violates it too.
 *
 * @example
 * ```ts
 * const { failure } = await runHistory(42);
 * ```
 */
export async function runHistory(seed: number): Promise<HistoryResult> {
  let first: readonly HistoryEvent[] | undefined;
  const parts = partsOf(seed);
  const commandLists = fc.commands<HistoryModel, World, false>(parts.commands.flat(), {
    maxCommands,
    size: 'max',
  });
  const property = fc.asyncProperty(commandLists, fc.integer(), async (commands, worldSeed) => {
    const world = new World(worldSeed, parts.world);
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
