import type { SectionValues } from './deployment.js';
import { SettingsPath, isPathWithin } from './settings-path.js';

/**
 * Sections as a hierarchy of paths: deployment, team, kind, name.
 *
 * @example
 * ```ts
 * const tree = new SettingsTree(fold.sections());
 * tree.children('prod'); // ['haneul', 'tejidos']
 * ```
 */
export class SettingsTree {
  readonly #sections: ReadonlyMap<string, SectionValues>;

  /** @throws RangeError when a key is not a section path. */
  constructor(sections: ReadonlyMap<string, SectionValues>) {
    for (const path of sections.keys()) SettingsPath.parse(path);
    this.#sections = new Map([...sections].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Raw values of one section; undefined when it does not exist. */
  get(path: string): SectionValues | undefined {
    return this.#sections.get(path);
  }

  /** Names directly below `prefix`, sorted; an empty prefix lists the deployments. */
  children(prefix = ''): string[] {
    const depth = prefix === '' ? 0 : prefix.split('/').length;
    const names = [...this.subtree(prefix).keys()].map((path) => path.split('/')[depth] ?? '');
    return [...new Set(names)].filter((name) => name !== '').sort();
  }

  /** Sections at or below `prefix`, sorted by path; an empty prefix selects all. */
  subtree(prefix: string): Map<string, SectionValues> {
    return new Map(
      [...this.#sections].filter(([path]) => prefix === '' || isPathWithin(prefix, path)),
    );
  }
}
