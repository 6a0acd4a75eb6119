import { formatSettings, SettingsDocument, type SectionValues } from '../settings/index.js';
import type { CommandContext } from './command-context.js';

const sectionLine = /^\[(.*)\]$/u;
const revisionLine = /^[;#]\s*revision\s*=\s*(\d{1,16})$/;

/** A settings file together with the revisions that it was edited from. */
export interface SettingsFile {
  readonly document: SettingsDocument;
  /** Revision named in each section's comment, by path. */
  readonly revisions: ReadonlyMap<string, number>;
}

/**
 * Settings as INI with the revision of each section in a comment, so that `settings apply` can tell
 * which version was edited.
 *
 * @example
 * ```ts
 * formatWithRevisions(sections, (path) => session.revisionOf(path));
 * // [prod/a/limits/w]
 * // ; revision = 1025
 * // rate_per_s = 5
 * ```
 */
export function formatWithRevisions(
  sections: ReadonlyMap<string, SectionValues>,
  revisionOf: (path: string) => number,
): string {
  return [...sections]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([path, values]) => {
      const [header = '', ...lines] = formatSettings(new Map([[path, values]])).split('\n');
      return [header, `; revision = ${revisionOf(path)}`, ...lines].join('\n');
    })
    .join('\n');
}

/** Revisions named in the comments of a settings file, by section path. */
export function parseRevisions(text: string): Map<string, number> {
  const revisions = new Map<string, number>();
  let path: string | undefined;
  for (const raw of text.normalize('NFC').split(/\r\n|\n|\r/u)) {
    const content = raw.trim();
    path = sectionLine.exec(content)?.[1]?.trim() ?? path;
    const revision = revisionLine.exec(content)?.[1];
    if (path !== undefined && revision !== undefined) revisions.set(path, Number(revision));
  }
  return revisions;
}

/** Reads a settings file; problems are in its document. */
export async function readSettingsFile(
  context: CommandContext,
  file: string,
): Promise<SettingsFile> {
  const bytes = await context.readFile(file);
  const name = file === '-' ? 'standard input' : file;
  return {
    document: SettingsDocument.fromBytes(bytes, name),
    revisions: parseRevisions(new TextDecoder().decode(bytes)),
  };
}
