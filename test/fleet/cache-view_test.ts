import { describe, expect, it } from 'vitest';
import { CacheEventKind, CacheView, type CacheEvent } from '../../src/fleet/cache-view.js';
import { promptPrefix } from '../../src/fleet/prompt-prefix.js';

function event(sequence: number, changes: Partial<CacheEvent> = {}): CacheEvent {
  return { kind: CacheEventKind.Stored, sequence, blocks: [], observedAtMs: 0, ...changes };
}

describe('promptPrefix', () => {
  it('agrees up to the block where prompts differ', () => {
    const rules = 'r'.repeat(2_000);
    const first = promptPrefix([{ role: 'system', content: `${rules}${'a'.repeat(2_000)}` }]);
    const second = promptPrefix([{ role: 'system', content: `${rules}${'b'.repeat(2_000)}` }]);
    const common = first.filter((block, index) => block === second[index]).length;
    expect(common).toBe(Math.floor((2_000 + 'system\u0000'.length) / 256));
  });
});

describe('CacheView', () => {
  it('counts the run of known blocks from the start of the prompt', () => {
    const caches = new CacheView();
    caches.apply('e', event(1, { blocks: [1, 2, 3] }));
    expect(caches.cachedTokens('e', [1, 2, 3, 9, 8], 0)).toBe(192);
    expect(caches.cachedTokens('e', [9, 1, 2, 3], 0)).toBe(0);
    expect(caches.cachedTokens('other', [1, 2, 3], 0)).toBe(0);
  });

  it('forgets evicted blocks unless newer evidence exists', () => {
    const caches = new CacheView();
    caches.noteSent('e', [1, 2], 100);
    caches.apply('e', event(1, { kind: CacheEventKind.Evicted, blocks: [2], observedAtMs: 50 }));
    expect(caches.cachedTokens('e', [1, 2], 100)).toBe(128);
    caches.apply('e', event(2, { kind: CacheEventKind.Evicted, blocks: [2], observedAtMs: 150 }));
    expect(caches.cachedTokens('e', [1, 2], 100)).toBe(64);
  });

  it('drops after a gap whatever an unseen eviction may have removed', () => {
    const caches = new CacheView();
    caches.apply('e', event(1, { blocks: [1, 2, 3] }));
    caches.noteSent('e', [7], 200);
    caches.apply('e', event(3, { blocks: [4], observedAtMs: 100 }));
    expect(caches.cachedTokens('e', [1, 2, 3], 200)).toBe(0);
    expect(caches.cachedTokens('e', [7], 200)).toBe(64);
    expect(caches.cachedTokens('e', [4], 100)).toBe(64);
  });

  it('ignores repeated and overtaken events', () => {
    const caches = new CacheView();
    caches.apply('e', event(5, { blocks: [1] }));
    caches.apply('e', event(4, { kind: CacheEventKind.Cleared }));
    expect(caches.cachedTokens('e', [1], 0)).toBe(64);
  });

  it('halves its belief with each half-life and stays within its bound', () => {
    const caches = new CacheView({ halfLifeMs: 1_000, maxBlocks: 2 });
    caches.noteSent('e', [1], 0);
    expect(caches.cachedTokens('e', [1], 2_000)).toBe(16);
    caches.noteSent('e', [2, 3], 0);
    expect(caches.cachedTokens('e', [1], 0)).toBe(0);
    expect(caches.cachedTokens('e', [2, 3], 0)).toBe(128);
  });
});
