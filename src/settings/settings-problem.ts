/** Whether a problem prevents a change from being accepted. */
export enum ProblemSeverity {
  /** The configuration fold would reject the section. */
  Error = 'error',
  /** The section is valid, but probably not what its author meant. */
  Warning = 'warning',
}

/** One thing that is wrong with settings. */
export interface SettingsProblem {
  /** Where the problem was found; absent for settings that did not come from a file. */
  readonly file?: string;
  /** Line in the file, from 1. */
  readonly line?: number;
  /** Section path; empty when the line belongs to no section. */
  readonly path: string;
  /** Name of the setting; empty when the section as a whole is meant. */
  readonly setting: string;
  readonly message: string;
  /** Allowed values or names in words; empty when there is no such list. */
  readonly allowed: string;
  readonly severity: ProblemSeverity;
}

/**
 * One line of text for a problem.
 *
 * @example
 * ```ts
 * formatProblem(problem);
 * // a.ini:3: error: [prod/a/limits/w] rate_per_s: must be a decimal number (allowed: 0.01 to 10)
 * ```
 */
export function formatProblem(problem: SettingsProblem): string {
  const { file, line, path, setting, message, allowed, severity } = problem;
  const location = file === undefined ? '' : line === undefined ? `${file}: ` : `${file}:${line}: `;
  const section = path === '' ? '' : `[${path}] `;
  const name = setting === '' ? '' : `${setting}: `;
  const hint = allowed === '' ? '' : ` (allowed: ${allowed})`;
  return `${location}${severity}: ${section}${name}${message}${hint}`;
}
