import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

const root = join(import.meta.dirname, '..', '..');

/** Cells of the table rows of a text, without header and separator rows. */
function rows(markdown: string): string[][] {
  return markdown
    .split('\n')
    .filter((line, index, lines) => line.startsWith('|') && !lines[index + 1]?.startsWith('| --'))
    .filter((line) => !line.startsWith('| --'))
    .map((line) => line.split('|').slice(1, -1))
    .map((cells) => cells.map((cell) => cell.trim()));
}

function page(file: string): string {
  return readFileSync(join(root, 'docs', file), 'utf8');
}

/** Text of the sources below some directories of src, comments left out. */
function source(...directories: readonly string[]): string {
  return directories
    .flatMap((directory) => {
      const path = join(root, 'src', directory);
      const files = readdirSync(path, { recursive: true, encoding: 'utf8' });
      return files.filter((file) => file.endsWith('.ts')).map((file) => join(path, file));
    })
    .map((file) => readFileSync(file, 'utf8').replace(/^[ \t]*(\*|\/\/).*$/gm, ''))
    .join('\n');
}

/** Error codes that an answer to a caller can carry. */
function codesInSource(): string[] {
  const text = source('pipeline', 'calls', 'jobs', 'admission', 'daemon');
  const expressions = [
    // The value of a `code` field, which may be a choice between several.
    ...text.matchAll(/\bcode:([^;{}]*?),\n/g),
    ...text.matchAll(
      /(?:\brefus(?:e|al)|\bcreateRequestError|#relayError)\(\s*\w+,\s*('[a-z_]+')/g,
    ),
    ...text.matchAll(/\bbadRequest\(\s*('[a-z_]+')/g),
    ...text.matchAll(/enum RefusalCode \{([^}]*)\}/g),
  ].map(([, expression]) => expression ?? '');
  const codes = expressions.flatMap((expression) =>
    [...expression.matchAll(/'([a-z_]+)'/g)].map(([, code]) => code ?? ''),
  );
  return [...new Set(codes)].sort();
}

describe('docs/callers.md', () => {
  const codes = rows(page('callers.md').split('<!-- codes -->')[1] ?? '');

  it('lists exactly the codes of the source, so that a code in an answer can be looked up', () => {
    const documented = codes.map(([code]) => (code ?? '').replaceAll('`', ''));
    expect(documented.sort()).toEqual(codesInSource());
  });

  it('gives each a status, an outcome, a meaning and what to do', () => {
    for (const row of codes) {
      expect(row).toHaveLength(5);
      expect(row[1]).toMatch(/^\d{3}(, \d{3})*$/);
      expect(row[2]).toMatch(/^(`not_run`|`unknown`|both)$/);
      expect(row[3]).not.toBe('');
      expect(row[4]).not.toBe('');
    }
  });
});

describe('docs/GLOSSARY.md', () => {
  it('names only types and settings that exist (else a reader searches for nothing)', () => {
    const text = source('.');
    const names = rows(page('GLOSSARY.md'))
      .flatMap((row) => [...(row[2] ?? '').matchAll(/`(\w+)`/g)])
      .map(([, name]) => name ?? '');
    expect(names.length).toBeGreaterThan(80);
    expect(names.filter((name) => !new RegExp(`\\b${name}\\b`).test(text))).toEqual([]);
  });
});

describe('docs/operators/index.md', () => {
  it('links every page of the directory', () => {
    const linked = [...page('operators/index.md').matchAll(/\]\(([\w-]+\.md)\)/g)];
    const pages = readdirSync(join(root, 'docs', 'operators')).filter(
      (file) => file !== 'index.md',
    );
    expect(linked.map(([, file]) => file).sort()).toEqual(pages.sort());
  });
});
