import { parse } from 'ini';
import { OrioleError, Step } from '../core/index.js';
import { sectionSchemas } from './schemas.js';
import type { SectionValues } from './deployment.js';
import { SettingsPath } from './settings-path.js';

/** One thing that is wrong with a settings file. */
export interface SettingsProblem {
  readonly path: string;
  readonly setting: string;
  readonly message: string;
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
  const sections = new Map<string, SectionValues>();
  const problems: string[] = [];
  const document: Record<string, unknown> = parse(text);
  for (const [name, raw] of Object.entries(document)) {
    const path = SettingsPath.tryParse(name);
    if (!path || typeof raw !== 'object' || raw === null) {
      problems.push(`"${name}" is not a section path`);
      continue;
    }
    const values = Object.fromEntries(
      Object.entries(raw).map(([setting, value]) => [setting, String(value)]),
    );
    const problem = checkSection(path, values)[0];
    if (problem) problems.push(`[${name}] ${problem.setting}: ${problem.message}`);
    else sections.set(name, values);
  }
  if (problems.length > 0) {
    throw new OrioleError(problems.join('\n'), { step: Step.Settings, peer: file });
  }
  return sections;
}

/** Checks the values of one section against its schema. */
export function checkSection(path: SettingsPath, values: SectionValues): SettingsProblem[] {
  const result = sectionSchemas[path.kind].safeParse(values);
  if (result.success) return [];
  return result.error.issues.map((issue) => ({
    path: path.toString(),
    setting: issue.code === 'unrecognized_keys' ? issue.keys.join(', ') : issue.path.join('.'),
    message: issue.message,
  }));
}
