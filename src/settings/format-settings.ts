import { parse } from 'ini';
import type { SectionValues } from './deployment.js';

/**
 * Formats sections as canonical INI text: sorted paths and settings, NFC, one space around `=`, and
 * quotes only where the plain text would be parsed differently. Equal settings give equal text.
 *
 * @example
 * ```ts
 * formatSettings(new Map([['prod/a/limits/w', { rate_per_s: '5' }]]));
 * ```
 */
export function formatSettings(sections: ReadonlyMap<string, SectionValues>): string {
  return [...sections.keys()]
    .sort()
    .map((path) => formatSection(path, sections.get(path) ?? {}))
    .join('\n');
}

function formatSection(path: string, values: SectionValues): string {
  const lines = Object.keys(values)
    .sort()
    .map((setting) => `${setting} = ${formatValue((values[setting] ?? '').normalize('NFC'))}\n`);
  return `[${path.normalize('NFC')}]\n${lines.join('')}`;
}

function formatValue(value: string): string {
  const readBack: Record<string, unknown> = parse(`value = ${value}`);
  const isPlain = Object.keys(readBack).length === 1 && String(readBack.value) === value;
  if (isPlain && value !== '') return value;
  // JSON does not escape these two line separators, but the INI library ends a value at them.
  return JSON.stringify(value).replaceAll('\u2028', '\\u2028').replaceAll('\u2029', '\\u2029');
}
