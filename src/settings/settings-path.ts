import { z } from 'zod';

/** Kinds of sections below a team's subtree. */
export enum SectionKind {
  Services = 'services',
  Workspaces = 'workspaces',
  Routing = 'routing',
  Limits = 'limits',
  Endpoints = 'endpoints',
  Keys = 'keys',
}

const sectionKindSchema = z.enum(SectionKind);

/** A name in a path: letters of any script, digits and inner hyphens, at most 64 characters. */
const namePattern = /^[\p{L}\p{N}](?:[\p{L}\p{N}-]{0,62}[\p{L}\p{N}])?$/u;

/** True when `name` is in NFC and valid as a deployment, team or section name. */
export function isSettingsName(name: string): boolean {
  return namePattern.test(name) && name === name.normalize('NFC');
}

/** True when `path` equals `prefix` or is below it. */
export function isPathWithin(prefix: string, path: string): boolean {
  return path === prefix || path.startsWith(`${prefix}/`);
}

/**
 * Path of a section: `deployment/team/kind/name`.
 *
 * @example
 * ```ts
 * const path = SettingsPath.parse('prod/tejidos/services/sales-assistant');
 * path.kind; // SectionKind.Services
 * ```
 */
export class SettingsPath {
  readonly #deployment: string;
  readonly #team: string;
  readonly #kind: SectionKind;
  readonly #name: string;

  private constructor(deployment: string, team: string, kind: SectionKind, name: string) {
    this.#deployment = deployment;
    this.#team = team;
    this.#kind = kind;
    this.#name = name;
  }

  /** Parses a path. Returns undefined when it is malformed. */
  static tryParse(text: string): SettingsPath | undefined {
    const parts = text.split('/');
    const [deployment, team, kind, name] = parts;
    if (parts.length !== 4 || !deployment || !team || !kind || !name) return undefined;
    if (![deployment, team, name].every(isSettingsName)) return undefined;
    const sectionKind = sectionKindSchema.safeParse(kind).data;
    return sectionKind && new SettingsPath(deployment, team, sectionKind, name);
  }

  /**
   * Parses a path.
   *
   * @throws RangeError when it is malformed.
   */
  static parse(text: string): SettingsPath {
    const path = SettingsPath.tryParse(text);
    if (path) return path;
    throw new RangeError(
      `"${text}" is not a settings path; write deployment/team/kind/name with kind one of ` +
        Object.values(SectionKind).join(', '),
    );
  }

  get deployment(): string {
    return this.#deployment;
  }

  get team(): string {
    return this.#team;
  }

  get kind(): SectionKind {
    return this.#kind;
  }

  get name(): string {
    return this.#name;
  }

  /** Name qualified by its team, unique within the deployment: `team/name`. */
  get qualifiedName(): string {
    return `${this.#team}/${this.#name}`;
  }

  toString(): string {
    return `${this.#deployment}/${this.#team}/${this.#kind}/${this.#name}`;
  }
}
