import { describe, expect, it } from 'vitest';
import { EntryKind, LeaseFold, type LeaseEntry } from '../../src/state/index.js';

function lease(holder: string, previousFence: number, expiresAtMs = 100): LeaseEntry {
  return {
    kind: EntryKind.Lease,
    name: 'controller/tejidos/tenders',
    holder,
    incarnation: 1,
    previousFence,
    expiresAtMs,
  };
}

describe('LeaseFold', () => {
  const name = 'controller/tejidos/tenders';

  it('grants to the first of two concurrent entries (else there are two holders at once)', () => {
    const fold = new LeaseFold();
    fold.apply({ offset: 0, index: 0 }, lease('a', 0));
    fold.apply({ offset: 0, index: 1 }, lease('b', 0));
    expect(fold.isHeldBy(name, 'a', 1)).toBe(true);
    expect(fold.fence(name)).toBe(1);
  });

  it('keeps the fence on renewal and changes it on take-over (else old tokens are reused)', () => {
    const fold = new LeaseFold();
    fold.apply({ offset: 0, index: 0 }, lease('a', 0));
    fold.apply({ offset: 1, index: 0 }, lease('a', 1, 200));
    expect(fold.lease(name)).toMatchObject({ fence: 1, expiresAtMs: 200 });
    fold.apply({ offset: 2, index: 0 }, lease('b', 1));
    expect(fold.fence(name)).toBe(2 * 1_024 + 1);
    fold.apply({ offset: 3, index: 0 }, lease('a', 1, 900));
    expect(fold.isHeldBy(name, 'b', 1)).toBe(true);
  });

  it('ignores undecodable entries and old positions, and restores an equal state from a snapshot', () => {
    const fold = new LeaseFold();
    fold.apply({ offset: 5, index: 0 }, lease('a', 0));
    fold.apply({ offset: 6, index: 0 }, { kind: EntryKind.Lease, name: 7 });
    const copy = new LeaseFold();
    copy.restore(JSON.parse(JSON.stringify(fold.snapshot())));
    copy.apply({ offset: 5, index: 0 }, lease('b', fold.fence(name)));
    expect(copy.leases()).toEqual(fold.leases());
    expect(() => copy.restore({ state: 1 })).toThrow(/snapshot/);
  });
});
