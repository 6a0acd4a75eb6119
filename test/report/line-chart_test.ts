import { describe, expect, it } from 'vitest';
import { renderLineChart } from '../../src/report/line-chart.js';

const axes = { title: 'p99 <ms>', xLabel: 'time (s)', yLabel: 'p99 (ms)' };

describe('renderLineChart', () => {
  it('draws one path per series and escapes names', () => {
    const svg = renderLineChart({
      ...axes,
      series: [
        {
          name: 'a & b',
          points: [
            [0, 1],
            [1, 4],
          ],
        },
        {
          name: 'c',
          points: [
            [0, 2],
            [1, 3],
          ],
        },
      ],
      threshold: { label: 'target', value: 5 },
    });
    expect(svg.match(/<path /g)).toHaveLength(2);
    expect(svg).toContain('a &amp; b');
    expect(svg).toContain('p99 &lt;ms&gt;');
    expect(svg).toContain('target');
  });

  it('writes no NaN for empty, constant or non-positive data', () => {
    for (const points of [
      [],
      [[1, 2]],
      [
        [0, 0],
        [10, 5],
      ],
      [[1, NaN]],
    ] as [number, number][][]) {
      for (const isLog of [false, true]) {
        const svg = renderLineChart({
          ...axes,
          series: [{ name: 'a', points }],
          isXLog: isLog,
          isYLog: isLog,
        });
        expect(svg).not.toMatch(/NaN|Infinity/);
      }
    }
  });
});
