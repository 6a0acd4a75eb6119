import fc from 'fast-check';
import type { ProposedEdit } from '../../src/settings-publisher/index.js';
import { Command, place, waitMs, type HistoryPart } from './command.js';
import { HistoryKind } from './history.js';
import { editedSetting, settingsPaths } from './simulated-settings.js';
import { operatorCount, type World } from './world.js';

const operator = fc.integer({ min: 0, max: operatorCount - 1 });
const value = fc.oneof(
  { weight: 8, arbitrary: fc.integer({ min: 1, max: 99 }).map(String) },
  { weight: 2, arbitrary: fc.constant(null) },
  // Not a valid rate; the change must be rejected everywhere.
  { weight: 1, arbitrary: fc.constant('none') },
);
const paths = fc.subarray([...settingsPaths], { minLength: 1, maxLength: 2 });

const publish = fc
  .record({
    waitMs,
    operator,
    paths,
    value,
    timeoutMs: fc.integer({ min: 500, max: 20_000 }),
    isStale: fc.boolean(),
  })
  .map(
    ({ waitMs: wait, operator: at, paths: edited, value: text, timeoutMs, isStale }) =>
      new Command(`publish(${at}, ${edited.join('+')}, ${text}, ${timeoutMs})`, wait, (world) => {
        const values = text === null ? null : { [editedSetting]: text };
        world.spawn(() => publishOnce(world, at, { edited, values, timeoutMs, isStale }));
      }),
  );

const restartOperator = fc.record({ waitMs, operator }).map(
  ({ waitMs: wait, operator: at }) =>
    new Command(`restartOperator(${at})`, wait, (world) => {
      world.restartOperator(at);
    }),
);

const trim = fc.record({ waitMs, share: fc.double({ min: 0.3, max: 1, noNaN: true }) }).map(
  ({ waitMs: wait, share }) =>
    new Command(`trim(${share.toFixed(2)})`, wait, (world) => {
      world.fault('configuration stream trimmed');
      world.judge?.trim(share);
    }),
);

const silentRead = fc.record({ waitMs, place }).map(
  ({ waitMs: wait, place: at }) =>
    new Command(`silentRead(${at})`, wait, (world) => {
      world.silenceRead(at);
    }),
);

/** Operators who edit the settings, and faults of the configuration stream. */
export const settings: HistoryPart = [
  publish,
  publish,
  publish,
  publish,
  restartOperator,
  trim,
  silentRead,
];

async function publishOnce(
  world: World,
  at: number,
  edit: {
    readonly edited: readonly string[];
    readonly values: Record<string, string> | null;
    readonly timeoutMs: number;
    readonly isStale: boolean;
  },
): Promise<void> {
  const { clock, history } = world;
  const { edited, values, timeoutMs, isStale } = edit;
  const tool = world.operator(at);
  const edits = edited.map((path): ProposedEdit => ({
    path,
    values,
    // What the operator read earlier, which another one may have changed meanwhile.
    ...(isStale ? { expectedRevision: tool.revisionOf(path) } : {}),
  }));
  try {
    const verdict = await tool.publisher.publish(edits, clock.nowMs() + timeoutMs);
    const { isAccepted, revision } = verdict;
    for (const path of edited) {
      history.record({ kind: HistoryKind.SettingAnswered, path, revision, isAccepted });
    }
  } catch {
    // The operator does not know whether the change is stored, and starts the tool again.
    world.restartOperator(at);
  }
}
