import { SigningKey } from '../../src/security/signing-key.js';
import { ConfigFold, EntryKind, signedBytes } from '../../src/state/index.js';
import type { SettingsEdit } from '../../src/state/index.js';

export const rootKey = SigningKey.fromSecret('root-secret-root-secret-root-secret');
export const teamKey = SigningKey.fromSecret('team-secret-team-secret-team-secret');

export function configFold(): ConfigFold {
  return new ConfigFold({ deployment: 'prod', rootPublicKey: rootKey.publicKey });
}

/** A signed change as it is stored in the log. */
export function changeEntry(
  changeId: string,
  edits: SettingsEdit[],
  keyId = 'root',
  key = rootKey,
): { kind: EntryKind; changeId: string; edits: SettingsEdit[] } {
  const change = { changeId, keyId, at: 5, edits };
  const signature = key.sign(signedBytes('prod', change));
  return { kind: EntryKind.SettingsChange, ...change, signature } as never;
}

export function edit(
  path: string,
  expectedRevision: number,
  values: Record<string, string> | null,
): SettingsEdit {
  return { path, expectedRevision, values };
}

export const teamKeySection = edit('prod/tejidos/keys/ana', 0, {
  kind: 'operator',
  secret_hash: `scrypt$${'0'.repeat(32)}$${'0'.repeat(64)}`,
  scope: 'prod/tejidos',
  signing_public_key: teamKey.publicKey,
});
