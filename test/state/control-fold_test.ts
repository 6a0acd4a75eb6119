import { describe, expect, it } from 'vitest';
import { ControlFold, EntryKind } from '../../src/state/index.js';

const name = 'control/t/chat/seoul';

function setUp() {
  const fold = new ControlFold();
  let offset = 0;
  const apply = (entry: Record<string, unknown>): number => {
    fold.apply({ offset: ++offset, index: 0 }, { name, ...entry });
    return fold.leases.fence(name);
  };
  const lease = (holder: string): number =>
    apply({
      kind: EntryKind.Lease,
      holder,
      incarnation: 1,
      previousFence: fold.leases.fence(name),
      expiresAtMs: offset,
    });
  const putValue = (fence: number, sequence: number, key: string, value: unknown): void => {
    apply({ kind: EntryKind.ControllerState, fence, sequence, key, value });
  };
  return { fold, lease, putValue };
}

describe('ControlFold', () => {
  it('keeps values across a change of holder and ignores values of the replaced holder', () => {
    const { fold, lease, putValue } = setUp();
    const first = lease('d1');
    putValue(first, 1, 'rollout', 'a');
    const second = lease('d2');
    putValue(first, 2, 'rollout', 'late');
    expect(fold.values(name).get('rollout')).toBe('a');
    putValue(second, 1, 'rollout', 'b');
    expect(fold.values(name).get('rollout')).toBe('b');
  });

  it('does not restore a removed value when an earlier append is duplicated', () => {
    const { fold, lease, putValue } = setUp();
    const fence = lease('d1');
    putValue(fence, 1, 'intent/x', { slot: 1 });
    putValue(fence, 2, 'intent/x', null);
    putValue(fence, 1, 'intent/x', { slot: 1 });
    expect(fold.values(name).size).toBe(0);
  });

  it('restores an equal state from a snapshot', () => {
    const { fold, lease, putValue } = setUp();
    const fence = lease('d1');
    putValue(fence, 1, 'rollout', 'a');
    const restored = new ControlFold();
    restored.restore(JSON.parse(JSON.stringify(fold.snapshot())));
    expect(restored.snapshot()).toEqual(fold.snapshot());
    expect([restored.leases.fence(name), restored.sequence(name, fence)]).toEqual([fence, 1]);
  });
});
