import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  DifferenceKind,
  ProblemSeverity,
  SettingsDocument,
  SettingsTree,
  checkSettings,
  diffSettings,
  formatDifferences,
  formatProblem,
  formatSettings,
  parseSettings,
} from '../../src/settings/index.js';

const limits = 'prod/tejidos/limits/licitaciones';

function problemsOf(text: string): string[] {
  return SettingsDocument.parse(text, 'a.ini').problems.map(formatProblem);
}

describe('SettingsDocument', () => {
  it.each([
    ['bad value', 'rate_per_s = 5,5', 2, 'rate_per_s', '0.01 to 1000000'],
    ['unknown name', 'rate = 5', 2, 'unknown setting', 'rate_per_s'],
    ['duplicate', 'rate_per_s = 5\nrate_per_s = 6', 3, 'already set in line 2', ''],
    ['no value', 'rate_per_s', 2, 'is not a setting', 'name = value'],
    ['list syntax', 'rate_per_s[] = 5', 2, 'is not a setting', 'name = value'],
    ['section twice', `[${limits}]`, 2, 'is already defined in line 1', ''],
    ['bad path', '[prod/tejidos/limit/x]', 2, 'is not a section path', 'limits'],
  ])('reports file, line and allowed values: %s', (_, body, line, message, allowed) => {
    const problems = problemsOf(`[${limits}]\n${body}\n`);
    expect(problems).toHaveLength(1);
    expect(problems[0]).toContain(`a.ini:${line}: error: `);
    expect(problems[0]).toContain(message);
    expect(problems[0]).toContain(allowed);
  });

  it('normalizes decomposed Hangul and accents, so that one path does not become two', () => {
    const text = '[prod/하늘/limits/año]\nrate_per_s = 5\n';
    expect(parseSettings(text.normalize('NFD'), 'a.ini')).toEqual(parseSettings(text, 'a.ini'));
  });

  it('refuses bytes that are not UTF-8 instead of replacing them', () => {
    const document = SettingsDocument.fromBytes(Uint8Array.of(0x5b, 0xff, 0x5d), 'a.ini');
    expect(document.problems.map(formatProblem)[0]).toContain('is not UTF-8');
  });

  it('never throws for arbitrary bytes and text', () => {
    fc.assert(
      fc.property(
        fc.uint8Array({ maxLength: 200 }),
        fc.string({ unit: 'binary' }),
        (bytes, text) => {
          SettingsDocument.fromBytes(bytes, 'a.ini');
          SettingsDocument.parse(`[${limits}]\n${text}`, 'a.ini');
        },
      ),
      { seed: 1 },
    );
  });

  it('parseSettings throws one error that lists every problem', () => {
    expect(() => parseSettings(`[${limits}]\na = 1\nb = 2\n`, 'a.ini')).toThrow(
      /a\.ini:2.*\n.*:3/u,
    );
  });
});

describe('formatSettings', () => {
  it('round-trips and gives the same text for the same settings', () => {
    const name = fc.constantFrom('alpha', 'beta_ms', 'gamma');
    const values = fc.dictionary(name, fc.string({ unit: 'grapheme' }));
    const path = fc.constantFrom(limits, 'prod/하늘/keys/k1', 'prod/tejidos/services/s');
    fc.assert(
      fc.property(fc.dictionary(path, values), (object) => {
        const normalize = (from: Record<string, string>): Record<string, string> =>
          Object.fromEntries(Object.entries(from).map(([k, v]) => [k, v.normalize('NFC')]));
        const sections = new Map(Object.entries(object).map(([p, v]) => [p, normalize(v)]));
        const text = formatSettings(sections);
        const readBack = SettingsDocument.parse(text, 'a.ini').sections;
        expect(new Map(readBack)).toEqual(sections);
        expect(formatSettings(new Map([...sections].reverse()))).toBe(text);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});

describe('formatSettings with line separators', () => {
  it('quotes U+2028, at which the INI library would cut the value off', () => {
    const sections = new Map([[limits, { rate_per_s: 'a\u2028b\u2029\r\n;#"' }]]);
    const readBack = SettingsDocument.parse(formatSettings(sections), 'a.ini').sections;
    expect(new Map(readBack)).toEqual(sections);
  });
});

describe('checkSettings', () => {
  it('warns of a reference to a section that is neither in the files nor in force', () => {
    const text = '[prod/a/workspaces/w]\nservices = planner\n';
    const document = SettingsDocument.parse(text, 'a.ini');
    expect(checkSettings([document])).toMatchObject([
      { line: 2, setting: 'services', severity: ProblemSeverity.Warning },
    ]);
    const inForce = new Map([['prod/a/services/planner', { kind: 'plain' }]]);
    expect(checkSettings([document], inForce)).toEqual([]);
  });

  it('reports a section defined in two files, where the order of files would decide', () => {
    const documents = ['a.ini', 'b.ini'].map((file) =>
      SettingsDocument.parse(`[${limits}]\n`, file),
    );
    expect(checkSettings(documents).map(formatProblem)).toEqual([
      expect.stringContaining(
        'b.ini:1: error: [prod/tejidos/limits/licitaciones] is also defined in a.ini',
      ),
    ]);
  });
});

describe('diffSettings', () => {
  it('lists added, removed and changed sections within a scope', () => {
    const from = new Map<string, Record<string, string>>([
      ['p/a/limits/x', { rate_per_s: '1' }],
      ['p/a/limits/y', {}],
      ['p/b/limits/z', {}],
    ]);
    const to = new Map<string, Record<string, string>>([
      ['p/a/limits/x', { rate_per_s: '2' }],
      ['p/a/limits/w', {}],
    ]);
    const differences = diffSettings(from, to, 'p/a');
    expect(differences.map(({ kind }) => kind)).toEqual([
      DifferenceKind.Added,
      DifferenceKind.Changed,
      DifferenceKind.Removed,
    ]);
    expect(formatDifferences(differences)).toContain('rate_per_s: 1 -> 2');
    expect(diffSettings(from, from)).toEqual([]);
  });
});

describe('SettingsTree', () => {
  it('lists the names below a prefix', () => {
    const tree = new SettingsTree(
      new Map([
        [limits, {}],
        ['prod/haneul/keys/k', {}],
      ]),
    );
    expect(tree.children('prod')).toEqual(['haneul', 'tejidos']);
    expect([...tree.subtree('prod/tejidos').keys()]).toEqual([limits]);
  });
});
