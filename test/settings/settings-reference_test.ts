import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { describeSettings, formatSettingsReference } from '../../src/settings/index.js';

/** Headings and table cells, without the padding that the formatter adds. */
function cells(markdown: string): string[][] {
  return markdown
    .split('\n')
    .filter((line) => line.startsWith('|') || line.startsWith('### '))
    .map((line) => line.split('|').map((cell) => cell.trim().replace(/^-+$/u, '---')));
}

describe('settings reference', () => {
  it('equals the tables of the operators page, so that no setting is undocumented', () => {
    const url = new URL('../../docs/operators/log-and-settings.md', import.meta.url);
    const page = readFileSync(url, 'utf8').split('<!-- settings reference -->')[1] ?? '';
    expect(cells(page)).toEqual(cells(formatSettingsReference()));
  });

  it('describes the meaning and allowed values of every setting', () => {
    const incomplete = describeSettings().filter(
      ({ meaning, allowed }) => meaning === '' || allowed === '',
    );
    expect(incomplete).toEqual([]);
  });
});
