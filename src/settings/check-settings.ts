import type { SectionValues } from './deployment.js';
import { KeyKind, sectionSchemas } from './schemas.js';
import type { SettingsDocument } from './settings-document.js';
import { ProblemSeverity, type SettingsProblem } from './settings-problem.js';
import { SectionKind, SettingsPath } from './settings-path.js';

/**
 * Checks settings files offline: syntax, schemas, sections that are defined in more than one file,
 * and references between sections. A reference to a missing section is only a warning, since a later
 * change may add it.
 *
 * @param inForce - sections in force, to which the files are applied.
 * @example
 * ```ts
 * const problems = checkSettings([SettingsDocument.fromBytes(bytes, 'a.ini')]);
 * const isValid = problems.every(({ severity }) => severity !== ProblemSeverity.Error);
 * ```
 */
export function checkSettings(
  documents: readonly SettingsDocument[],
  inForce: ReadonlyMap<string, SectionValues> = new Map(),
): SettingsProblem[] {
  const allSections = new Map(inForce);
  const documentsByPath = new Map<string, SettingsDocument>();
  const problems: SettingsProblem[] = [];
  for (const document of documents) {
    problems.push(...document.problems);
    for (const [path, values] of document.sections) {
      const otherDocument = documentsByPath.get(path);
      if (otherDocument)
        problems.push(
          problemAt(document, path, '', `is also defined in ${otherDocument.file}`, 'one file'),
        );
      documentsByPath.set(path, document);
      allSections.set(path, values);
    }
  }
  for (const [path, document] of documentsByPath)
    problems.push(...checkReferences(path, document, allSections));
  return problems;
}

/** Warns of the references of one section to sections that do not exist. */
function checkReferences(
  text: string,
  document: SettingsDocument,
  allSections: ReadonlyMap<string, SectionValues>,
): SettingsProblem[] {
  const path = SettingsPath.parse(text);
  const missing = (setting: string, kind: SectionKind, names: readonly string[]) =>
    names
      .filter((name) => !allSections.has(`${path.deployment}/${path.team}/${kind}/${name}`))
      .map((name) => {
        const message = `"${name}" does not exist in ${path.team}/${kind}`;
        const existingNames = sectionNames(
          allSections,
          `${path.deployment}/${path.team}/${kind}/`,
        ).join(', ');
        return problemAt(document, text, setting, message, existingNames, ProblemSeverity.Warning);
      });
  const values = document.sections.get(text) ?? {};
  switch (path.kind) {
    case SectionKind.Workspaces: {
      const workspace = sectionSchemas[path.kind].safeParse(values).data;
      return missing('services', SectionKind.Services, workspace?.services ?? []);
    }
    case SectionKind.Endpoints: {
      const endpoint = sectionSchemas[path.kind].safeParse(values).data;
      return missing('service', SectionKind.Services, endpoint ? [endpoint.service] : []);
    }
    case SectionKind.Keys: {
      const key = sectionSchemas[path.kind].safeParse(values).data;
      const isCaller = key?.kind === KeyKind.Caller;
      return missing('workspace', SectionKind.Workspaces, isCaller ? [key.workspace] : []);
    }
    default:
      return [];
  }
}

function sectionNames(allSections: ReadonlyMap<string, SectionValues>, prefix: string): string[] {
  return [...allSections.keys()]
    .filter((path) => path.startsWith(prefix))
    .map((path) => path.slice(prefix.length));
}

function problemAt(
  document: SettingsDocument,
  path: string,
  setting: string,
  message: string,
  allowed: string,
  severity = ProblemSeverity.Error,
): SettingsProblem {
  const line = document.lineOf(path, setting);
  const location = line === undefined ? { file: document.file } : { file: document.file, line };
  return { ...location, path, setting, message, allowed, severity };
}
