import { describe, expect, it } from 'vitest';
import { Deployment, KeyKind, type SectionValues } from '../../src/settings/index.js';
import {
  createBearerKey,
  formatBearerKey,
  hashSecret,
  KeyVerifier,
  KeyVerifierBusyError,
  parseBearerKey,
  verifySecret,
  type BearerKey,
} from '../../src/security/index.js';

const callerKey: BearerKey = createBearerKey('tejidos/mostrador-ñ');
const storedHash = `scrypt$${'0'.repeat(32)}$${'1'.repeat(64)}`;
const otherStoredHash = `scrypt$${'0'.repeat(32)}$${'2'.repeat(64)}`;

function deploymentWith(values: SectionValues | undefined): Deployment {
  return Deployment.from(
    new Map(values ? [['prod/tejidos/keys/mostrador-ñ', values] as const] : []),
  );
}

/** Verifier that counts comparisons instead of running scrypt; they resolve after `release`. */
function createVerifier(maxPendingKeys = 16): {
  keys: KeyVerifier;
  state: { deployment: Deployment; runs: number; release: () => void; gate: Promise<void> };
} {
  let release = (): void => undefined;
  const gate = new Promise<void>((resolve) => (release = resolve));
  const caller = { kind: 'caller', secret_hash: storedHash, workspace: 'tenders' };
  const state = { deployment: deploymentWith(caller), runs: 0, release, gate };
  const keys = new KeyVerifier({
    deployment: () => state.deployment,
    maxPendingKeys,
    verify: async (secret) => {
      state.runs++;
      await state.gate;
      return secret === callerKey.secret;
    },
  });
  return { keys, state };
}

describe('secret hash', () => {
  it('matches only the secret from which it was derived', async () => {
    const setting = await hashSecret(callerKey.secret);
    expect(setting).toMatch(/^scrypt\$[0-9a-f]{32}\$[0-9a-f]{64}$/);
    expect(await verifySecret(callerKey.secret, setting)).toBe(true);
    expect(await verifySecret(createBearerKey('a/b').secret, setting)).toBe(false);
    expect(await verifySecret(callerKey.secret, 'scrypt$$')).toBe(false);
  });

  it('encodes a key id of any script as ASCII and decodes it again', () => {
    const text = formatBearerKey(callerKey);
    expect(text).toMatch(/^[\x21-\x7e]+$/);
    expect(parseBearerKey(text)).toEqual(callerKey);
    expect(parseBearerKey('oriole.x.short')).toBeUndefined();
  });
});

describe('KeyVerifier', () => {
  const header = `Bearer ${formatBearerKey(callerKey)}`;

  it('runs scrypt once per key, also for concurrent requests and for a wrong key', async () => {
    const { keys, state } = createVerifier();
    const first = keys.verifyHeader(header);
    const second = keys.verifyHeader(header);
    state.release();
    expect(await first).toEqual({
      id: 'tejidos/mostrador-ñ',
      kind: KeyKind.Caller,
      team: 'tejidos',
      workspaceId: 'tejidos/tenders',
      scope: '',
    });
    expect(await second).toEqual(await first);
    await keys.verifyHeader(header);
    expect(state.runs).toBe(1);
    const wrong = `Bearer ${formatBearerKey({ ...createBearerKey(callerKey.keyId) })}`;
    expect(await keys.verifyHeader(wrong)).toBeUndefined();
    expect(await keys.verifyHeader(wrong)).toBeUndefined();
    expect(state.runs).toBe(2);
  });

  it('refuses a cached key as soon as it is revoked or its hash changes', async () => {
    const { keys, state } = createVerifier();
    state.release();
    expect(await keys.verifyHeader(header)).toBeDefined();
    state.deployment = deploymentWith(undefined);
    expect(await keys.verifyHeader(header)).toBeUndefined();
    state.deployment = deploymentWith({
      kind: 'operator',
      secret_hash: otherStoredHash,
      scope: 'prod',
    });
    expect(await keys.verifyHeader(header)).toMatchObject({
      kind: KeyKind.Operator,
      scope: 'prod',
    });
    expect(state.runs).toBe(2);
  });

  it('refuses a key that is revoked while scrypt runs', async () => {
    const { keys, state } = createVerifier();
    const verified = keys.verifyHeader(header);
    state.deployment = deploymentWith(undefined);
    state.release();
    expect(await verified).toBeUndefined();
  });

  it('limits the number of keys being verified, which bounds the memory that scrypt takes', async () => {
    const { keys, state } = createVerifier(1);
    const first = keys.verifyHeader(header);
    const other = formatBearerKey(createBearerKey(callerKey.keyId));
    await expect(keys.verify(other)).rejects.toBeInstanceOf(KeyVerifierBusyError);
    state.release();
    expect(await first).toBeDefined();
    expect(await keys.verify(other)).toBeUndefined();
  });

  it('refuses unknown ids and malformed headers without running scrypt', async () => {
    const { keys, state } = createVerifier();
    for (const text of [
      undefined,
      '',
      'Basic abc',
      'Bearer oriole.x.y',
      `Bearer ${formatBearerKey(createBearerKey('tejidos/none'))}`,
    ]) {
      expect(await keys.verifyHeader(text)).toBeUndefined();
    }
    expect(state.runs).toBe(0);
  });
});
