import { createPublicKey, verify, type KeyObject } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import { z } from 'zod';
import { EntryKind } from './envelope.js';

/** Maximum number of edits in one change; larger files are published in several changes. */
export const maxEditsPerChange = 500;

const editSchema = z.object({
  path: z.string().max(300),
  /** Revision of the path that the author saw; 0 when it never existed. */
  expectedRevision: z.number().int().nonnegative(),
  /** Values of the whole section; null removes it. */
  values: z.record(z.string().max(100), z.string().max(10_000)).nullable(),
});

const changeSchema = z.object({
  kind: z.literal(EntryKind.SettingsChange),
  changeId: z.string().min(1).max(100),
  /** `team/name` of the operator's key, or `root`. */
  keyId: z.string().min(1).max(200),
  /** Author's time in epoch milliseconds; informational. */
  at: z.number(),
  edits: z.array(editSchema).min(1).max(maxEditsPerChange),
  /** Ed25519 signature of {@link signedBytes}, base64. */
  signature: z.string().max(200),
});

/** Change of one section. */
export type SettingsEdit = z.output<typeof editSchema>;

/** A signed, atomic change of one or more sections. */
export type SettingsChange = z.output<typeof changeSchema>;

/** Decodes an entry; undefined when it is not a settings change. */
export function decodeSettingsChange(entry: unknown): SettingsChange | undefined {
  return changeSchema.safeParse(entry).data;
}

/**
 * The bytes that the author of a change signs. They include the deployment's name, so that a change
 * cannot be replayed in another deployment.
 */
export function signedBytes(
  deployment: string,
  change: Omit<SettingsChange, 'signature' | 'kind'>,
): Buffer {
  const edits = change.edits.map(({ path, expectedRevision, values }) => [
    path,
    expectedRevision,
    values && Object.entries(values).sort(([a], [b]) => (a < b ? -1 : 1)),
  ]);
  const { changeId, keyId, at } = change;
  return Buffer.from(
    JSON.stringify(['oriolestack.settings_change.v1', deployment, changeId, keyId, at, edits]),
  );
}

/** Decoded keys; decoding costs about as much as verifying a signature, and few keys are in use. */
const decodedKeys = new LRUCache<string, KeyObject>({ max: 256 });

function decodePublicKey(publicKey: string): KeyObject {
  let key = decodedKeys.get(publicKey);
  if (!key) {
    const der = Buffer.from(publicKey, 'base64');
    key = createPublicKey({ key: der, format: 'der', type: 'spki' });
    decodedKeys.set(publicKey, key);
  }
  return key;
}

/** True when `signature` was made over the change with the key `publicKey` (SPKI, base64). */
export function verifyChange(
  deployment: string,
  change: SettingsChange,
  publicKey: string,
): boolean {
  try {
    const key = decodePublicKey(publicKey);
    if (key.asymmetricKeyType !== 'ed25519') return false;
    const signature = Buffer.from(change.signature, 'base64');
    return verify(null, signedBytes(deployment, change), key, signature);
  } catch {
    return false;
  }
}
