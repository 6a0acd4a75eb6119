import { z } from 'zod';
import { OrioleError, Step } from '../core/index.js';
import {
  Deployment,
  KeyKind,
  SectionKind,
  SettingsPath,
  checkSection,
  isPathWithin,
  keySchema,
  type SectionValues,
} from '../settings/index.js';
import { DrainFold } from './drain-fold.js';
import { Fold, fenceOf, type Position } from './fold.js';
import {
  decodeSettingsChange,
  verifyChange,
  type SettingsChange,
  type SettingsEdit,
} from './settings-change.js';

/** Id of the deployment's root key, whose public part is in every daemon's own settings file. */
export const rootKeyId = 'root';

/** Why a change was rejected. */
export enum RejectionReason {
  UnknownKey = 'unknown_key',
  BadSignature = 'bad_signature',
  OutOfScope = 'out_of_scope',
  InvalidSettings = 'invalid_settings',
  Conflict = 'conflict',
}

const sectionValuesSchema = z.record(z.string(), z.string());

const conflictSchema = z.object({
  path: z.string(),
  expectedRevision: z.number(),
  actualRevision: z.number(),
  /** Values that the rejected change proposed. */
  proposed: sectionValuesSchema.nullable(),
  /** Values in force when it was rejected. */
  inForce: sectionValuesSchema.nullable(),
});

const verdictSchema = z.object({
  changeId: z.string(),
  keyId: z.string(),
  /** Position of the change as one number; the new revision of its paths when accepted. */
  revision: z.number(),
  isAccepted: z.boolean(),
  paths: z.array(z.string()),
  reason: z.enum(RejectionReason).optional(),
  message: z.string(),
  conflicts: z.array(conflictSchema),
});

/** Mismatch between the revision that an edit expects and the one that its path has. */
export type SettingsConflict = z.output<typeof conflictSchema>;

/** Decision on one change; the same on every daemon. */
export type ConfigVerdict = z.output<typeof verdictSchema>;

const sectionVersionSchema = z.object({
  revision: z.number(),
  changeId: z.string(),
  keyId: z.string(),
  at: z.number(),
  /** Null when the change removed the section. */
  values: sectionValuesSchema.nullable(),
});

/** One past or present version of a section. */
export type SectionVersion = z.output<typeof sectionVersionSchema>;

const snapshotSchema = z.object({
  v: z.literal(1),
  deployment: z.string(),
  lastFence: z.number(),
  /** Versions of each path, oldest first; the last one is in force. */
  paths: z.array(z.tuple([z.string(), z.array(sectionVersionSchema).min(1)])),
  verdicts: z.array(verdictSchema),
  unverified: z.array(verdictSchema),
  /** Absent in snapshots of earlier versions, which kept drains in memory only. */
  drains: z.unknown().optional(),
});

/** Options of {@link ConfigFold}. */
export interface ConfigFoldOptions {
  /** Name of the deployment; changes of other paths are out of scope. */
  readonly deployment: string;
  /** Ed25519 public key (SPKI, base64) of the root key. */
  readonly rootPublicKey: string;
  /** Versions kept for each path. Affects the state, so it must be the same on every daemon. */
  readonly maxVersionsPerPath?: number;
  /** Verdicts kept. Affects the state, so it must be the same on every daemon. */
  readonly maxVerdicts?: number;
}

/**
 * Settings in force, computed from the configuration stream.
 *
 * A change is accepted if its signature verifies with the key in force at its position, the key's
 * scope covers every path, each section passes its schema, and each path still has the expected
 * revision. Revisions never repeat: a removed path keeps the revision of its removal, so that a
 * duplicate of an old change can never be accepted a second time.
 *
 * @example
 * ```ts
 * const fold = new ConfigFold({ deployment: 'prod', rootPublicKey });
 * fold.apply(position, entry);
 * fold.deployment.limits('tejidos/tenders').rate_per_s;
 * ```
 */
export class ConfigFold extends Fold {
  /**
   * Operators' drains. They are in this stream because a daemon reads it before it accepts work.
   */
  readonly drains = new DrainFold();
  readonly #options: ConfigFoldOptions;
  readonly #maxVersionsPerPath: number;
  readonly #maxVerdicts: number;
  #versions = new Map<string, SectionVersion[]>();
  /** Verdicts on changes with a valid signature, in the order of the log. */
  #verdicts = new Map<string, ConfigVerdict>();
  /**
   * Verdicts on other changes, kept separately so that they cannot occupy a genuine change's id.
   */
  #unverified = new Map<string, ConfigVerdict>();
  #lastFence = 0;
  #deployment: Deployment | undefined;
  /** View before the last accepted change; the next view reuses its parsed sections. */
  #previousDeployment: Deployment | undefined;

  constructor(options: ConfigFoldOptions) {
    super();
    this.#options = options;
    this.#maxVersionsPerPath = options.maxVersionsPerPath ?? 10;
    this.#maxVerdicts = options.maxVerdicts ?? 2_000;
  }

  /** Typed view of the settings in force; the same object until a change is accepted. */
  get deployment(): Deployment {
    this.#deployment ??= Deployment.from(this.sections(), this.#previousDeployment);
    return this.#deployment;
  }

  /** Position of the last entry applied, as one number; 0 before the first. */
  get revision(): number {
    return this.#lastFence;
  }

  /** Raw values of every section in force, in the order of their paths. */
  sections(): Map<string, SectionValues> {
    const sections = new Map<string, SectionValues>();
    for (const path of [...this.#versions.keys()].sort()) {
      const values = this.#currentVersion(path)?.values;
      if (values) sections.set(path, values);
    }
    return sections;
  }

  /** Revision of a path: the value to send as `expectedRevision`; 0 when it never existed. */
  revisionOf(path: string): number {
    return this.#currentVersion(path)?.revision ?? 0;
  }

  /** Versions of a path that are still kept, newest first. */
  history(path: string): readonly SectionVersion[] {
    return [...(this.#versions.get(path) ?? [])].reverse();
  }

  /** The decision on a change; undefined when it has not been seen or is no longer kept. */
  verdict(changeId: string): ConfigVerdict | undefined {
    return this.#verdicts.get(changeId) ?? this.#unverified.get(changeId);
  }

  /** Decisions that are still kept, newest first. */
  verdicts(): readonly ConfigVerdict[] {
    return [...this.#verdicts.values(), ...this.#unverified.values()].sort(
      (a, b) => b.revision - a.revision,
    );
  }

  override apply(position: Position, entry: unknown): void {
    const fence = fenceOf(position);
    if (fence <= this.#lastFence) return;
    this.#lastFence = fence;
    this.drains.apply(position, entry);
    const change = decodeSettingsChange(entry);
    if (!change || this.#verdicts.has(change.changeId)) return;
    // Parsed to fix the order of its fields: equal states must give equal bytes in a snapshot.
    const verdict = verdictSchema.parse(this.#decide(change, fence));
    const isVerified =
      verdict.reason !== RejectionReason.UnknownKey &&
      verdict.reason !== RejectionReason.BadSignature;
    const verdicts = isVerified ? this.#verdicts : this.#unverified;
    verdicts.set(change.changeId, verdict);
    const [oldest] = verdicts.keys();
    if (verdicts.size > this.#maxVerdicts && oldest !== undefined) verdicts.delete(oldest);
    if (verdict.isAccepted) this.#applyChange(change, fence);
  }

  override snapshot(): unknown {
    return {
      v: 1,
      deployment: this.#options.deployment,
      lastFence: this.#lastFence,
      paths: [...this.#versions],
      verdicts: [...this.#verdicts.values()],
      unverified: [...this.#unverified.values()],
      drains: this.drains.snapshot(),
    };
  }

  override restore(snapshot: unknown): void {
    const result = snapshotSchema.safeParse(snapshot);
    const state = result.data;
    if (state?.deployment !== this.#options.deployment) {
      throw new OrioleError(
        'the configuration snapshot has another format or deployment; upgrade the daemon or ' +
          'correct its deployment setting',
        { step: Step.State, peer: 'config', cause: result.error },
      );
    }
    if (state.lastFence < this.#lastFence) return;
    if (state.drains !== undefined) this.drains.restore(state.drains);
    const versions = new Map(state.paths);
    const deployment = deploymentOf(versions);
    this.#versions = versions;
    this.#deployment = deployment;
    this.#verdicts = new Map(state.verdicts.map((verdict) => [verdict.changeId, verdict]));
    this.#unverified = new Map(state.unverified.map((verdict) => [verdict.changeId, verdict]));
    this.#lastFence = state.lastFence;
  }

  #decide(change: SettingsChange, revision: number): ConfigVerdict {
    const { changeId, keyId, edits } = change;
    const verdict = {
      changeId,
      keyId,
      revision,
      isAccepted: false,
      paths: edits.map(({ path }) => path),
      conflicts: [],
    };
    const key = this.#signingKey(keyId);
    if (!key) {
      const message = `key "${keyId}" is not an operator key in force; check the key's section`;
      return { ...verdict, reason: RejectionReason.UnknownKey, message };
    }
    if (!verifyChange(this.#options.deployment, change, key.publicKey)) {
      const message = `the signature does not match key "${keyId}"; sign with that key's secret`;
      return { ...verdict, reason: RejectionReason.BadSignature, message };
    }
    const outside = edits.find((edit) => !isEditInScope(key.scope, edit));
    if (outside) {
      const message = `key "${keyId}" with scope "${key.scope}" may not set ${outside.path}`;
      return { ...verdict, reason: RejectionReason.OutOfScope, message };
    }
    const invalid = validateEdits(edits);
    if (invalid.length > 0) {
      const message = invalid.join('; ');
      return { ...verdict, reason: RejectionReason.InvalidSettings, message };
    }
    const conflicts = edits.flatMap((edit) => this.#conflictsOf(edit));
    if (conflicts.length > 0) {
      const message = conflicts
        .map(
          ({ path, expectedRevision, actualRevision }) =>
            `${path} is at revision ${actualRevision}, not ${expectedRevision}`,
        )
        .join('; ');
      return { ...verdict, reason: RejectionReason.Conflict, message, conflicts };
    }
    return { ...verdict, isAccepted: true, message: 'in force' };
  }

  #signingKey(keyId: string): { publicKey: string; scope: string } | undefined {
    const { deployment, rootPublicKey } = this.#options;
    if (keyId === rootKeyId) return { publicKey: rootPublicKey, scope: deployment };
    // Reads only this section: building the whole view for each change would make the catch-up time
    // grow with the product of changes and sections.
    const [team, name] = keyId.split('/');
    const values = this.#currentVersion(`${deployment}/${team ?? ''}/keys/${name ?? ''}`)?.values;
    const key = values ? keySchema.safeParse(values).data : undefined;
    if (key?.kind !== KeyKind.Operator || key.signing_public_key === '') return undefined;
    return { publicKey: key.signing_public_key, scope: key.scope };
  }

  #conflictsOf(edit: SettingsEdit): SettingsConflict[] {
    const current = this.#currentVersion(edit.path);
    const actualRevision = current?.revision ?? 0;
    if (actualRevision === edit.expectedRevision) return [];
    const { path, expectedRevision, values: proposed } = edit;
    const inForce = current?.values ?? null;
    return [{ path, expectedRevision, actualRevision, proposed, inForce }];
  }

  #applyChange(change: SettingsChange, revision: number): void {
    const { changeId, keyId, at } = change;
    for (const { path, values } of change.edits) {
      const versions = this.#versions.get(path) ?? [];
      versions.push({ revision, changeId, keyId, at, values });
      this.#versions.set(path, versions.slice(-this.#maxVersionsPerPath));
    }
    this.#previousDeployment = this.#deployment ?? this.#previousDeployment;
    this.#deployment = undefined;
  }

  #currentVersion(path: string): SectionVersion | undefined {
    return this.#versions.get(path)?.at(-1);
  }
}

function deploymentOf(versions: ReadonlyMap<string, readonly SectionVersion[]>): Deployment {
  const sections = new Map<string, SectionValues>();
  for (const [path, list] of versions) {
    const values = list.at(-1)?.values;
    if (values) sections.set(path, values);
  }
  return Deployment.from(sections);
}

/** True when a key with `scope` may read and write `path`; the empty scope covers nothing. */
export function isInScope(scope: string, path: string): boolean {
  return scope !== '' && isPathWithin(scope, path);
}

/** A key may only create operator keys whose scope lies within its own. */
function isEditInScope(scope: string, edit: SettingsEdit): boolean {
  if (!isInScope(scope, edit.path)) return false;
  const path = SettingsPath.tryParse(edit.path);
  if (path?.kind !== SectionKind.Keys || edit.values?.kind !== KeyKind.Operator) return true;
  const granted = edit.values.scope ?? '';
  return granted === '' || isInScope(scope, granted);
}

function validateEdits(edits: readonly SettingsEdit[]): string[] {
  const seen = new Set<string>();
  return edits.flatMap(({ path: text, values }) => {
    const path = SettingsPath.tryParse(text);
    if (!path) return [`"${text}" is not a settings path`];
    if (seen.has(text)) return [`${text} is edited twice in one change`];
    seen.add(text);
    if (values === null) return [];
    return checkSection(path, values).map(
      ({ setting, message }) => `${text} ${setting}: ${message}`,
    );
  });
}
