import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { EventId } from '../../src/telemetry/index.js';

const root = join(import.meta.dirname, '..', '..');

/** Cells of the table rows of a page in docs, without header and separator rows. */
function tableRows(file: string): string[][] {
  return readFileSync(join(root, 'docs', file), 'utf8')
    .split('\n')
    .filter((line) => /^\|\s*[`\d]/.test(line))
    .map((line) =>
      line
        .split('|')
        .slice(1, -1)
        .map((cell) => cell.trim()),
    );
}

/**
 * Metric names passed to `count`, `gauge` and `timing` in src, each with the name of the method.
 */
function metricsInSource(): Set<string> {
  const found = new Set<string>();
  const call = /\.(count|gauge|timing)\(\s*'([^']+)'/g;
  for (const file of readdirSync(join(root, 'src'), { recursive: true, encoding: 'utf8' })) {
    if (!file.endsWith('.ts')) continue;
    const code = readFileSync(join(root, 'src', file), 'utf8').replace(/^[ \t]*(\*|\/\/).*$/gm, '');
    for (const [, kind, name] of code.matchAll(call)) found.add(`${name ?? ''} ${kind ?? ''}`);
  }
  return found;
}

describe('docs/EVENTS.md', () => {
  const rows = tableRows('EVENTS.md');

  it('lists exactly the events of the code, so that each number in a log can be looked up', () => {
    const documented = rows.map(([number, name]) => `${number ?? ''} ${name ?? ''}`);
    const inCode = Object.entries(EventId)
      .filter(([, number]) => typeof number === 'number')
      .map(([name, number]) => `${number} ${name}`);
    expect(documented.sort()).toEqual(inCode.sort());
  });

  it('gives the meaning of each event and the action to take', () => {
    for (const row of rows) {
      expect(row).toHaveLength(5);
      expect(row[2]).not.toBe('');
      expect(row[4]).not.toBe('');
    }
  });
});

describe('docs/METRICS.md', () => {
  const rows = tableRows('METRICS.md');

  it('lists exactly the metrics that the code emits, with their kind', () => {
    const documented = rows.map(
      ([name, kind]) => `${(name ?? '').replaceAll('`', '')} ${kind ?? ''}`,
    );
    expect(documented.sort()).toEqual([...metricsInSource()].sort());
  });

  it('gives the unit and the meaning of each metric', () => {
    for (const row of rows) {
      expect(row).toHaveLength(5);
      expect(row[2]).not.toBe('');
      expect(row[4]).not.toBe('');
    }
  });
});
