import { describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import {
  BurnAlert,
  burnRate,
  BurnRecorder,
  BurnReport,
  burnSnapshotSchema,
  Objective,
  renderHtml,
  renderText,
  type BurnRow,
  type BurnSnapshot,
  type ServiceObjectives,
} from '../../src/report/index.js';

const minuteMs = 60_000;
const startMs = 1_800_000_000_000;
const objectives: ServiceObjectives = {
  firstTokenMs: 1_900,
  betweenTokensMs: 66,
  completionMs: 120_000,
  lateRatio: 0.05,
  refusalRatio: 0.01,
};

/** Records `perMinute` first tokens per minute, of which `badPerMinute` miss the objective. */
async function recordMinutes(
  minutes: number,
  perMinute: number,
  badPerMinute: number,
  limits = objectives,
): Promise<BurnSnapshot> {
  const clock = new VirtualClock(startMs);
  const recorder = new BurnRecorder({ clock, objectives: () => limits });
  for (let minute = 0; minute < minutes; minute++) {
    if (minute > 0) await clock.advance(minuteMs);
    const series = recorder.series('a/<b>', 'a/s');
    for (let count = 0; count < perMinute; count++) {
      series.recordFirstToken(count < badPerMinute ? 5_000 : 500);
    }
  }
  // Serialized as between daemons.
  return burnSnapshotSchema.parse(JSON.parse(JSON.stringify(await recorder.snapshot())));
}

function rowOf(report: BurnReport): BurnRow {
  const [row] = report.rows;
  if (!row) throw new Error('the report has no rows');
  return row;
}

describe('BurnReport', () => {
  it('gives the same rows for one daemon as for its traffic split over two', async () => {
    const allTraffic = await recordMinutes(30, 20, 2);
    const halfTraffic = await recordMinutes(30, 10, 1);
    const nowMs = startMs + 29 * minuteMs;
    const one = BurnReport.merge([{ daemon: 'a', snapshot: allTraffic }], [], nowMs);
    const two = BurnReport.merge(
      [
        { daemon: 'b', snapshot: halfTraffic },
        { daemon: 'a', snapshot: halfTraffic },
      ],
      [],
      nowMs,
    );
    expect(two.rows).toEqual(one.rows);
    expect(two.daemons).toEqual(['a', 'b']);
    expect(rowOf(one).burn.fastShort).toBeCloseTo(2);
    expect(rowOf(one)).toMatchObject({ objective: Objective.FirstToken, p50Ms: 501 });
  });

  it('raises the fast alert only when both windows exceed the threshold', async () => {
    const nowMs = startMs + 59 * minuteMs;
    const steady = await recordMinutes(60, 10, 8);
    const fast = BurnReport.merge([{ daemon: 'a', snapshot: steady }], [], nowMs);
    expect(fast.alert).toBe(BurnAlert.Fast);
    const [series] = steady.series;
    if (!series) throw new Error('the snapshot is empty');
    const recovered: BurnSnapshot = {
      ...steady,
      series: [
        {
          ...series,
          windows: { ...series.windows, fastShort: { total: 50, bad: 0 } },
        },
      ],
    };
    const after = BurnReport.merge([{ daemon: 'a', snapshot: recovered }], [], nowMs);
    expect(after.alert).toBe(BurnAlert.Slow);
    const withoutMisses = await recordMinutes(60, 10, 0);
    expect(BurnReport.merge([{ daemon: 'a', snapshot: withoutMisses }], [], nowMs).alert).toBe(
      BurnAlert.None,
    );
  });

  it('projects when the budget runs out, but not at or below the allowed rate', async () => {
    const nowMs = startMs + 359 * minuteMs;
    const atAllowedRate = await recordMinutes(360, 20, 1);
    const [series] = atAllowedRate.series;
    if (!series) throw new Error('the snapshot is empty');
    const withMisses = (lastHourMisses: number, sixHourMisses: number): BurnRow =>
      rowOf(
        BurnReport.merge(
          [
            {
              daemon: 'a',
              snapshot: {
                ...atAllowedRate,
                series: [
                  {
                    ...series,
                    windows: {
                      ...series.windows,
                      fastLong: { total: 1_200, bad: lastHourMisses },
                      slowLong: { total: 7_200, bad: sixHourMisses },
                    },
                  },
                ],
              },
            },
          ],
          [],
          nowMs,
        ),
      );
    // 360 misses are allowed in six hours; 60 remain, and 120 per hour use them up in half an hour.
    expect(withMisses(120, 300).exhaustsAtMs).toBeCloseTo(nowMs + 30 * minuteMs);
    expect(withMisses(120, 300).budgetLeftRatio).toBeCloseTo(1 / 6);
    expect(withMisses(60, 300).exhaustsAtMs).toBeNull();
    expect(withMisses(60, 400).exhaustsAtMs).toBe(nowMs);
    expect(withMisses(60, 400).budgetLeftRatio).toBeLessThan(0);
  });

  it('marks limits that differ while a settings change propagates', async () => {
    const before = await recordMinutes(1, 1, 0);
    const after = await recordMinutes(1, 1, 0, { ...objectives, firstTokenMs: 900 });
    const report = BurnReport.merge(
      [
        { daemon: 'a', snapshot: before },
        { daemon: 'b', snapshot: after },
      ],
      [],
      startMs,
    );
    expect(rowOf(report).limitsDiffer).toBe(true);
    expect(renderText(report)).toContain('differs');
  });

  it('is null without requests and finite with an allowed share of 0', () => {
    expect(burnRate({ total: 0, bad: 0 }, 0.05)).toBeNull();
    expect(burnRate({ total: 10, bad: 0 }, 0)).toBe(0);
    expect(burnRate({ total: 10, bad: 10 }, 0)).toBe(1_000_000);
  });
});

describe('rendering', () => {
  const missing = [{ daemon: 'entry-3', reason: 'connection refused' }];

  it('names missing daemons in text and HTML', async () => {
    const snapshot = await recordMinutes(20, 10, 1);
    const report = BurnReport.merge([{ daemon: 'entry-1', snapshot }], missing, startMs);
    const sentence = 'Covers 1 of 2 daemons; missing: entry-3 (connection refused).';
    expect(renderText(report)).toContain(sentence);
    expect(renderHtml(report)).toContain(sentence);
  });

  it('escapes names and loads no external resources', async () => {
    const snapshot = await recordMinutes(20, 10, 1);
    const html = renderHtml(
      BurnReport.merge([{ daemon: 'entry-1', snapshot }], [], startMs + 19 * minuteMs),
    );
    expect(html).toContain('a/&lt;b&gt;');
    expect(html).not.toContain('<b>');
    expect(html).not.toMatch(/<script|src=|href=|url\(/);
    expect(html).toMatch(/<path d="M[\d.,L]+"/);
    expect(html).not.toContain('NaN');
  });

  it('does not draw a line across slots without requests', async () => {
    const snapshot = await recordMinutes(30, 10, 1);
    const [series] = snapshot.series;
    if (!series) throw new Error('the snapshot is empty');
    const gap = { ...series, slots: series.slots.filter((_, index) => index !== 1) };
    const report = BurnReport.merge(
      [{ daemon: 'entry-1', snapshot: { ...snapshot, series: [gap] } }],
      [],
      startMs + 29 * minuteMs,
    );
    const html = renderHtml(report);
    expect(html).not.toContain('<path');
    expect(html.match(/<circle/g)).toHaveLength(2);
  });

  it('states that there were no requests', () => {
    const report = BurnReport.merge([], missing, startMs);
    expect(renderText(report)).toContain('No requests');
    expect(renderHtml(report)).toContain('No requests');
  });
});
