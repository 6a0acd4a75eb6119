import { describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import {
  BurnRecorder,
  decodeHistogram,
  Objective,
  type BurnSeries,
  type ServiceObjectives,
} from '../../src/report/index.js';

const objectives: ServiceObjectives = {
  firstTokenMs: 1_900,
  betweenTokensMs: 66,
  completionMs: 120_000,
  lateRatio: 0.05,
  refusalRatio: 0.01,
};
const minuteMs = 60_000;
/** Start of a slot, so that minutes and slots are easy to count. */
const startMs = 1_800_000_000_000;

async function findSeries(
  recorder: BurnRecorder,
  objective: Objective,
): Promise<BurnSeries | undefined> {
  const { series } = await recorder.snapshot();
  return series.find((one) => one.objective === objective);
}

describe('BurnRecorder', () => {
  it('counts each window by the minute and drops counts after six hours', async () => {
    const clock = new VirtualClock(startMs);
    const recorder = new BurnRecorder({ clock, objectives: () => objectives });
    const series = recorder.series('a/w', 'a/s');
    series.recordFirstToken(1_900);
    series.recordFirstToken(1_901);
    await clock.advance(6 * minuteMs);
    series.recordFirstToken(10);
    expect(await findSeries(recorder, Objective.FirstToken)).toMatchObject({
      limitMs: 1_900,
      windows: {
        fastShort: { total: 1, bad: 0 },
        fastLong: { total: 3, bad: 1 },
        slowShort: { total: 3, bad: 1 },
        slowLong: { total: 3, bad: 1 },
      },
    });
    await clock.advance(354 * minuteMs);
    expect((await findSeries(recorder, Objective.FirstToken))?.windows.slowLong).toEqual({
      total: 1,
      bad: 0,
    });
    await clock.advance(6 * minuteMs);
    expect((await recorder.snapshot()).series).toEqual([]);
    series.recordFirstToken(1);
    expect((await findSeries(recorder, Objective.FirstToken))?.windows.slowLong).toEqual({
      total: 1,
      bad: 0,
    });
  });

  it('retains the counts when the clock steps back', async () => {
    const times = [startMs + 10 * minuteMs, startMs];
    let nowMs = 0;
    class SteppingClock extends VirtualClock {
      override nowMs(): number {
        return nowMs;
      }
    }
    const recorder = new BurnRecorder({
      clock: new SteppingClock(),
      objectives: () => objectives,
    });
    for (const time of times) {
      nowMs = time;
      recorder.series('a/w', 'a/s').recordRefusal();
    }
    expect((await findSeries(recorder, Objective.Refusals))?.windows.fastShort).toEqual({
      total: 2,
      bad: 2,
    });
  });

  it('merges histograms of closed and open slots and aligns slots with the epoch', async () => {
    const clock = new VirtualClock(startMs + 9 * minuteMs);
    const recorder = new BurnRecorder({ clock, objectives: () => objectives });
    const series = recorder.series('a/w', 'a/s');
    for (let count = 0; count < 90; count++) series.recordTokenGap(40);
    await clock.advance(2 * minuteMs);
    for (let count = 0; count < 10; count++) series.recordTokenGap(90);
    const found = await findSeries(recorder, Objective.BetweenTokens);
    expect(found?.slots).toEqual([
      { startAtMs: startMs, total: 90, bad: 0 },
      { startAtMs: startMs + 10 * minuteMs, total: 10, bad: 10 },
    ]);
    const histogram = decodeHistogram(found?.histogram ?? '');
    expect(histogram.totalCount).toBe(100);
    expect(histogram.getValueAtPercentile(50)).toBe(40);
    expect(histogram.getValueAtPercentile(99)).toBe(90);
  });

  it('counts refusals and complete responses in one objective and applies a filter', async () => {
    const clock = new VirtualClock(startMs);
    const recorder = new BurnRecorder({ clock, objectives: () => objectives });
    recorder.series('a/w', 'a/s').recordCompletion(1_000);
    recorder.series('a/w', 'a/s').recordRefusal();
    recorder.series('b/w', 'b/s').recordRefusal();
    expect(await findSeries(recorder, Objective.Refusals)).toMatchObject({
      limitMs: null,
      allowedRatio: 0.01,
      windows: { fastShort: { total: 2, bad: 1 } },
    });
    const onlyB = (await recorder.snapshot({ workspaceId: 'b/w' })).series;
    expect(onlyB.map(({ serviceId }) => serviceId)).toEqual(['b/s']);
  });

  it('yields to the event loop between series of a large snapshot', async () => {
    const clock = new VirtualClock(startMs);
    const recorder = new BurnRecorder({ clock, objectives: () => objectives });
    for (let workspace = 0; workspace < 20; workspace++) {
      recorder.series(`a/${workspace}`, 'a/s').recordRefusal();
    }
    let eventLoopTurns = 0;
    let done = false;
    const count = (): void => {
      eventLoopTurns++;
      if (!done) setImmediate(count);
    };
    setImmediate(count);
    await recorder.snapshot();
    done = true;
    expect(eventLoopTurns).toBeGreaterThanOrEqual(19);
  });

  it('limits the number of series and evicts the least recently used one', async () => {
    const clock = new VirtualClock(startMs);
    const recorder = new BurnRecorder({ clock, objectives: () => objectives, maxSeries: 2 });
    for (const workspace of ['a/1', 'a/2', 'a/1', 'a/3']) {
      recorder.series(workspace, 'a/s').recordRefusal();
    }
    expect((await recorder.snapshot()).series.map(({ workspaceId }) => workspaceId)).toEqual([
      'a/1',
      'a/3',
    ]);
  });
});
