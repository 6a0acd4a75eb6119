/** Whether a problem prevents a change from being accepted. */
export enum ProblemSeverity {
  /** The configuration fold would reject the section. */
  Error = 'error',
  /** The section is valid, but probably not what its author intended. */
  Warning = 'warning',
}

/** A problem found in settings. */
export interface SettingsProblem {
  /** File in which the problem was found; absent for settings that did not come from a file. */
  readonly file?: string;
  /** Line in the file, counted from 1. */
  readonly line?: number;
  /** Section path; empty when the line belongs to no section. */
  readonly path: string;
  /** Name of the setting; empty when the problem concerns the entire section. */
  readonly setting: string;
  readonly message: string;
  /** Description of the allowed values or names; empty when there is none. */
  readonly allowed: string;
  readonly severity: ProblemSeverity;
}

/**
 * Formats a problem as one line of text.
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
