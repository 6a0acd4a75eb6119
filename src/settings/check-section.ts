import { z } from 'zod';
import type { SectionValues } from './deployment.js';
import { sectionSchemas } from './schemas.js';
import { ProblemSeverity, type SettingsProblem } from './settings-problem.js';
import { SectionKind, type SettingsPath } from './settings-path.js';

/** Describes the allowed values of a setting; empty when there is no description. */
export function allowedValues(schema: z.ZodType): string {
  const { allowed } = (schema.meta() ?? {}) as { allowed?: unknown };
  if (typeof allowed === 'string') return allowed;
  if (schema instanceof z.ZodDefault) return allowedValues(schema.def.innerType as z.ZodType);
  if (schema instanceof z.ZodEnum) return schema.options.join(', ');
  return '';
}

/**
 * Checks the values of one section against its schema. The configuration fold uses this check on
 * every daemon, so the result must depend only on the arguments.
 *
 * @returns every problem found; empty when the section is valid.
 */
export function checkSection(path: SettingsPath, values: SectionValues): SettingsProblem[] {
  const schema = sectionSchemas[path.kind];
  const shape: Record<string, z.ZodType> = schema.shape;
  const createProblem = (setting: string, message: string, allowed: string): SettingsProblem => ({
    path: path.toString(),
    setting,
    message,
    allowed,
    severity: ProblemSeverity.Error,
  });
  const normalizationProblems = Object.entries(values)
    .filter(([, value]) => value !== value.normalize('NFC'))
    .map(([setting]) =>
      createProblem(setting, 'must be in Unicode normalization form C (NFC)', ''),
    );
  const result = schema.safeParse(values);
  if (result.success)
    return [...normalizationProblems, ...checkConstraints(path, result.data, createProblem)];
  const schemaProblems = result.error.issues.flatMap((issue) => {
    if (issue.code === 'unrecognized_keys') {
      const knownSettings = Object.keys(shape).join(', ');
      return issue.keys.map((key) => createProblem(key, 'unknown setting', knownSettings));
    }
    const setting = String(issue.path[0] ?? '');
    const field = shape[setting];
    const isMissing = !Object.hasOwn(values, setting);
    return [
      createProblem(
        setting,
        isMissing ? 'required setting is missing' : issue.message,
        field ? allowedValues(field) : '',
      ),
    ];
  });
  return [...normalizationProblems, ...schemaProblems];
}

/** Checks the constraints between settings of one section. */
function checkConstraints(
  path: SettingsPath,
  values: object,
  createProblem: (setting: string, message: string, allowed: string) => SettingsProblem,
): SettingsProblem[] {
  if (path.kind !== SectionKind.Services) return [];
  const service = values as z.output<(typeof sectionSchemas)[SectionKind.Services]>;
  const problems: SettingsProblem[] = [];
  if (service.min_vms > service.max_vms) {
    problems.push(createProblem('min_vms', 'is above max_vms', `0 to ${service.max_vms}`));
  }
  if (service.fingerprint_ms < service.remember_ms) {
    const allowed = `at least ${service.remember_ms}`;
    problems.push(createProblem('fingerprint_ms', 'is below remember_ms', allowed));
  }
  return problems;
}
