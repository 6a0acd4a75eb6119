import { describe, expect, it } from 'vitest';
import {
  ClaimFold,
  ClaimStatus,
  EntryKind,
  ResolutionVerdict,
  type ClaimEntry,
} from '../../src/state/index.js';

const key = { workspace: 'tejidos', service: 'orders', keyHash: 'k1' };

function claim(claimId: string, claimedAtMs = 1_000): ClaimEntry {
  return {
    kind: EntryKind.Claim,
    claimId,
    ...key,
    bodyDigest: 'body',
    daemon: 'entry-1',
    claimedAtMs,
    startByMs: claimedAtMs + 500,
    finishByMs: claimedAtMs + 900,
    rememberUntilMs: claimedAtMs + 10_000,
    fingerprintUntilMs: claimedAtMs + 40_000,
  };
}

const answer = { status: 200, headers: {}, bodyDigest: 'd', bodyBase64: 'b2s=' };

function foldOf(...entries: readonly unknown[]): ClaimFold {
  const fold = new ClaimFold();
  entries.forEach((entry, offset) => {
    fold.apply({ offset, index: 0 }, entry);
  });
  return fold;
}

const release = { kind: EntryKind.Release, claimId: 'a', rememberUntilMs: 11_000 };

describe('ClaimFold', () => {
  it('gives the key to the first claim (else two daemons run one order)', () => {
    expect(foldOf(claim('a'), claim('b')).holder(key)?.claimId).toBe('a');
  });

  it('ignores a late duplicate of a released claim (else a key is held without a claimant)', () => {
    expect(foldOf(claim('a'), release, claim('a')).holder(key)).toBeUndefined();
    expect(foldOf(release, claim('a'), claim('b')).holder(key)?.claimId).toBe('b');
  });

  it('ignores a release after the outcome (else the call runs a second time)', () => {
    const outcome = { kind: EntryKind.Outcome, claimId: 'a', answer };
    expect(foldOf(claim('a'), outcome, release).holder(key)?.answer).toEqual(answer);
  });

  it('accepts not_run from an operator only after startByMs (else the call may still start)', () => {
    const resolution = {
      kind: EntryKind.Resolution,
      claimId: 'a',
      verdict: ResolutionVerdict.NotRun,
      note: '',
      operator: 'ana',
    };
    const early = foldOf(claim('a'), { ...resolution, resolvedAtMs: 1_500 });
    expect(early.holder(key)?.status).toBe(ClaimStatus.Claimed);
    const late = foldOf(claim('a'), { ...resolution, resolvedAtMs: 1_501 }, claim('b'));
    expect(late.holder(key)?.claimId).toBe('b');
  });

  it('keeps a fingerprint after rememberUntilMs (else a repeat after a day runs again)', () => {
    const other = { ...claim('o', 12_000), keyHash: 'other' };
    const fold = foldOf(claim('a'), other, claim('b', 12_500));
    expect(fold.holder(key)).toBeUndefined();
    expect(fold.isExpired(key)).toBe(true);
    const copy = new ClaimFold();
    copy.restore(JSON.parse(JSON.stringify(fold.snapshot())));
    expect(copy.snapshot()).toEqual(fold.snapshot());
  });

  it('advances its time by at most a minute per entry (else a clock that is days ahead expires claims)', () => {
    const long = { ...claim('a'), rememberUntilMs: 100_000, fingerprintUntilMs: 200_000 };
    const skewed = { ...claim('x', 1e9), keyHash: 'other' };
    expect(foldOf(long, skewed).holder(key)?.claimId).toBe('a');
  });
});
