import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RejectionReason } from '../../src/state/index.js';
import { changeEntry, configFold, edit, teamKey, teamKeySection } from './config-harness.js';

const limits = 'prod/tejidos/limits/tenders';

describe('ConfigFold', () => {
  it('accepts a signed change and numbers its revision by position', () => {
    const fold = configFold();
    fold.apply({ offset: 3, index: 1 }, changeEntry('a', [edit(limits, 0, { rate_per_s: '5' })]));
    expect(fold.verdict('a')).toMatchObject({
      isAccepted: true,
      revision: fold.revisionOf(limits),
    });
    expect(fold.deployment.limits('tejidos/tenders').rate_per_s).toBe(5);
  });

  it('reports both values of a conflict and applies none of its edits (else a change is half applied)', () => {
    const fold = configFold();
    fold.apply({ offset: 0, index: 0 }, changeEntry('a', [edit(limits, 0, { rate_per_s: '5' })]));
    const other = 'prod/tejidos/limits/other';
    const late = [edit(other, 0, {}), edit(limits, 0, { rate_per_s: '9' })];
    fold.apply({ offset: 1, index: 0 }, changeEntry('b', late));
    expect(fold.verdict('b')).toMatchObject({
      isAccepted: false,
      reason: RejectionReason.Conflict,
      conflicts: [{ path: limits, proposed: { rate_per_s: '9' }, inForce: { rate_per_s: '5' } }],
    });
    expect(fold.revisionOf(other)).toBe(0);
  });

  it('never accepts a duplicate again, even after a removal (else old settings return)', () => {
    const fold = configFold();
    const create = changeEntry('a', [edit(limits, 0, {})]);
    fold.apply({ offset: 0, index: 0 }, create);
    const remove = changeEntry('b', [edit(limits, fold.revisionOf(limits), null)]);
    fold.apply({ offset: 1, index: 0 }, remove);
    fold.apply({ offset: 2, index: 0 }, create);
    // The same edit under another id stands for a duplicate whose verdict is no longer kept.
    fold.apply({ offset: 3, index: 0 }, changeEntry('c', [edit(limits, 0, {})]));
    expect(fold.sections().size).toBe(0);
    expect(fold.verdict('a')?.isAccepted).toBe(true);
    expect(fold.verdict('c')?.reason).toBe(RejectionReason.Conflict);
  });

  it.each([
    ['other team', 'prod/haneul/limits/w', {}, RejectionReason.OutOfScope],
    ['own team', limits, {}, undefined],
    ['bad value', limits, { rate_per_s: 'fast' }, RejectionReason.InvalidSettings],
    [
      'operator key with a wider scope',
      'prod/tejidos/keys/wide',
      { ...teamKeySection.values, scope: 'prod' },
      RejectionReason.OutOfScope,
    ],
  ])('applies scope and schema to an operator key: %s', (_, path, values, reason) => {
    const fold = configFold();
    fold.apply({ offset: 0, index: 0 }, changeEntry('key', [teamKeySection]));
    const change = changeEntry('x', [edit(path, 0, values)], 'tejidos/ana', teamKey);
    fold.apply({ offset: 1, index: 0 }, change);
    expect(fold.verdict('x')?.reason).toBe(reason);
  });

  it('does not let a forged change occupy a change id (else anyone can block a change)', () => {
    const fold = configFold();
    const genuine = changeEntry('a', [edit(limits, 0, {})]);
    fold.apply({ offset: 0, index: 0 }, { ...genuine, edits: [edit(limits, 0, null)] });
    expect(fold.verdict('a')?.reason).toBe(RejectionReason.BadSignature);
    fold.apply({ offset: 1, index: 0 }, genuine);
    expect(fold.verdict('a')?.isAccepted).toBe(true);
  });

  it('ignores entries that are not changes, and restores an equal state from a snapshot', () => {
    fc.assert(
      fc.property(fc.array(fc.anything()), fc.anything(), (entries, state) => {
        const fold = configFold();
        entries.forEach((entry, offset) => fold.apply({ offset, index: 0 }, entry));
        expect(fold.sections().size).toBe(0);
        expect(() => fold.restore(state)).toThrow();
      }),
      { seed: 1 },
    );
    const fold = configFold();
    fold.apply({ offset: 0, index: 0 }, changeEntry('key', [teamKeySection]));
    fold.apply({ offset: 1, index: 0 }, changeEntry('a', [edit(limits, 0, {})]));
    const copy = configFold();
    const text = JSON.stringify(fold.snapshot());
    copy.restore(JSON.parse(text));
    expect(JSON.stringify(copy.snapshot())).toBe(text);
  });

  it('never restores a snapshot older than its state (else configuration reverts)', () => {
    const fold = configFold();
    const old = fold.snapshot();
    fold.apply({ offset: 0, index: 0 }, changeEntry('a', [edit(limits, 0, {})]));
    fold.restore(old);
    expect(fold.sections().size).toBe(1);
  });
});
