import type { SectionValues } from './deployment.js';
import { isPathWithin } from './settings-path.js';

/** How a section differs between two sets of sections. */
export enum DifferenceKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** Change of one setting; undefined means that it is not set and its default applies. */
export interface SettingDifference {
  readonly setting: string;
  readonly from: string | undefined;
  readonly to: string | undefined;
}

/** Change of one section. */
export interface SectionDifference {
  readonly path: string;
  readonly kind: DifferenceKind;
  readonly settings: readonly SettingDifference[];
}

/**
 * Differences between two sets of sections, in the order of their paths.
 *
 * @param scope - path prefix such as `prod/tejidos`; other sections are ignored. Default: all.
 * @example
 * ```ts
 * diffSettings(inForce, parseSettings(text, file), 'prod/tejidos');
 * ```
 */
export function diffSettings(
  from: ReadonlyMap<string, SectionValues>,
  to: ReadonlyMap<string, SectionValues>,
  scope = '',
): SectionDifference[] {
  const paths = [...new Set([...from.keys(), ...to.keys()])].sort();
  return paths
    .filter((path) => scope === '' || isPathWithin(scope, path))
    .flatMap((path): SectionDifference[] => {
      const before = from.get(path);
      const after = to.get(path);
      const settings = diffValues(before ?? {}, after ?? {});
      if (!before) return [{ path, kind: DifferenceKind.Added, settings }];
      if (!after) return [{ path, kind: DifferenceKind.Removed, settings }];
      return settings.length > 0 ? [{ path, kind: DifferenceKind.Changed, settings }] : [];
    });
}

function diffValues(from: SectionValues, to: SectionValues): SettingDifference[] {
  return [...new Set([...Object.keys(from), ...Object.keys(to)])]
    .sort()
    .map((setting) => ({
      setting,
      from: settingValue(from, setting),
      to: settingValue(to, setting),
    }))
    .filter((difference) => difference.from !== difference.to);
}

function settingValue(values: SectionValues, setting: string): string | undefined {
  return Object.hasOwn(values, setting) ? values[setting] : undefined;
}

/**
 * Formats differences as text: one line per section, marked `+` (added), `-` (removed) or `~`
 * (changed), followed by one line per setting.
 *
 * @example
 * ```ts
 * process.stdout.write(formatDifferences(diffSettings(from, to)));
 * ```
 */
export function formatDifferences(differences: readonly SectionDifference[]): string {
  const signs = {
    [DifferenceKind.Added]: '+',
    [DifferenceKind.Removed]: '-',
    [DifferenceKind.Changed]: '~',
  };
  return differences
    .map(({ path, kind, settings }) => {
      const lines = settings.map(({ setting, from, to }) => {
        const before = from ?? '(default)';
        const after = to ?? '(default)';
        return `    ${setting}: ${before} -> ${after}\n`;
      });
      return `${signs[kind]} [${path}]\n${lines.join('')}`;
    })
    .join('');
}
