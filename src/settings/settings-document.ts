import { parse } from 'ini';
import { OrioleError, Step } from '../core/index.js';
import type { SectionValues } from './deployment.js';
import { checkSection } from './check-section.js';
import { ProblemSeverity, formatProblem, type SettingsProblem } from './settings-problem.js';
import { SectionKind, SettingsPath } from './settings-path.js';

const sectionHeaderPattern = /^\[(.*)\]$/u;
const pathFormat = `deployment/team/{${Object.values(SectionKind).join(',')}}/name`;

/**
 * An INI settings file: sections by path, the line of each section and setting, and every problem
 * found. Names and values are normalized to NFC, so that a file has the same meaning whichever
 * system wrote it.
 *
 * @example
 * ```ts
 * const document = SettingsDocument.parse('[prod/a/limits/w]\nrate_per_s = 5\n', 'a.ini');
 * document.problems; // []
 * ```
 */
export class SettingsDocument {
  readonly file: string;
  readonly #sections = new Map<string, Record<string, string>>();
  readonly #lines = new Map<string, number>();
  readonly #problems: SettingsProblem[] = [];

  private constructor(file: string) {
    this.file = file;
  }

  static parse(text: string, file: string): SettingsDocument {
    const document = new SettingsDocument(file);
    document.#readLines(text.replace(/^\uFEFF/u, '').normalize('NFC'));
    document.#checkSections();
    return document;
  }

  /** Parses the bytes of a file. Invalid UTF-8 is reported as a problem instead of being replaced. */
  static fromBytes(bytes: Uint8Array, file: string): SettingsDocument {
    try {
      return SettingsDocument.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes), file);
    } catch {
      const document = new SettingsDocument(file);
      document.#addProblem(undefined, '', '', 'file is not UTF-8; save it as UTF-8', 'UTF-8 text');
      return document;
    }
  }

  /** Raw values by section path, valid or not. */
  get sections(): ReadonlyMap<string, SectionValues> {
    return this.#sections;
  }

  /** Every problem, sorted by line. */
  get problems(): readonly SettingsProblem[] {
    return [...this.#problems].sort((a, b) => (a.line ?? 0) - (b.line ?? 0));
  }

  /** Line of a setting, else of its section; undefined when the file has neither. */
  lineOf(path: string, setting = ''): number | undefined {
    return this.#lines.get(lineKey(path, setting)) ?? this.#lines.get(lineKey(path, ''));
  }

  #readLines(text: string): void {
    let path: string | undefined;
    // Settings below an invalid section header are skipped without reporting each of them.
    let isSkipping = false;
    text.split(/\r\n|\n|\r/u).forEach((rawLine, index) => {
      const content = rawLine.trim();
      const line = index + 1;
      if (content === '' || content.startsWith(';') || content.startsWith('#')) return;
      const name = sectionHeaderPattern.exec(content)?.[1];
      if (name !== undefined) {
        path = this.#openSection(name.trim(), line);
        isSkipping = path === undefined;
      } else if (path !== undefined) {
        this.#readSetting(path, content, line);
      } else if (!isSkipping) {
        this.#addProblem(
          line,
          '',
          '',
          'setting before the first section header',
          `[${pathFormat}]`,
        );
      }
    });
  }

  #openSection(name: string, line: number): string | undefined {
    if (!SettingsPath.tryParse(name)) {
      this.#addProblem(line, '', '', `"${name}" is not a section path`, pathFormat);
      return undefined;
    }
    const firstLine = this.#lines.get(lineKey(name, ''));
    if (firstLine !== undefined) {
      this.#addProblem(
        line,
        name,
        '',
        `section is already defined in line ${firstLine}`,
        'one section',
      );
      return undefined;
    }
    this.#sections.set(name, {});
    this.#lines.set(lineKey(name, ''), line);
    return name;
  }

  #readSetting(path: string, content: string, line: number): void {
    // Parses each line separately, since the INI library reports neither lines nor duplicates.
    const [entry, ...others] = Object.entries(parse(content));
    const [setting, value] = entry ?? [];
    const isScalar = typeof value === 'string' || typeof value === 'boolean' || value === null;
    if (setting === undefined || !isScalar || others.length > 0 || !content.includes('=')) {
      this.#addProblem(line, path, '', `"${content}" is not a setting`, 'name = value');
      return;
    }
    const firstLine = this.#lines.get(lineKey(path, setting));
    if (firstLine !== undefined) {
      this.#addProblem(line, path, setting, `already set in line ${firstLine}`, 'one value');
      return;
    }
    const values = this.#sections.get(path) ?? {};
    values[setting] = String(value).normalize('NFC');
    this.#sections.set(path, values);
    this.#lines.set(lineKey(path, setting), line);
  }

  #checkSections(): void {
    for (const [path, values] of this.#sections) {
      for (const problem of checkSection(SettingsPath.parse(path), values)) {
        const line = this.lineOf(path, problem.setting);
        this.#problems.push({ ...problem, file: this.file, ...(line ? { line } : {}) });
      }
    }
  }

  #addProblem(
    line: number | undefined,
    path: string,
    setting: string,
    message: string,
    allowed: string,
  ): void {
    const severity = ProblemSeverity.Error;
    const location = line === undefined ? { file: this.file } : { file: this.file, line };
    this.#problems.push({ ...location, path, setting, message, allowed, severity });
  }
}

function lineKey(path: string, setting: string): string {
  return `${path}\n${setting}`;
}

/**
 * Parses an INI settings file into sections by path and checks each against its schema.
 *
 * @throws OrioleError (step `settings`) that lists every problem.
 * @example
 * ```ts
 * const sections = parseSettings('[prod/a/limits/w]\nrate_per_s = 5\n', 'a.ini');
 * ```
 */
export function parseSettings(text: string, file: string): Map<string, SectionValues> {
  const { problems, sections } = SettingsDocument.parse(text, file);
  if (problems.length === 0) return new Map(sections);
  throw new OrioleError(problems.map(formatProblem).join('\n'), {
    step: Step.Settings,
    peer: file,
  });
}
