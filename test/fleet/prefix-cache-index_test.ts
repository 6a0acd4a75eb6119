import { describe, expect, it } from 'vitest';
import {
  CacheEventKind,
  PrefixCacheIndex,
  type CacheEvent,
} from '../../src/fleet/prefix-cache-index.js';
import { promptBlockTokens, promptPrefix } from '../../src/fleet/prompt-prefix.js';

function event(sequence: number, changes: Partial<CacheEvent> = {}): CacheEvent {
  return { kind: CacheEventKind.Stored, sequence, blocks: [], observedAtMs: 0, ...changes };
}

describe('promptPrefix', () => {
  it('returns equal hashes up to the block in which the prompts differ', () => {
    const rules = 'r'.repeat(2_000);
    const first = promptPrefix([{ role: 'system', content: `${rules}${'a'.repeat(2_000)}` }]);
    const second = promptPrefix([{ role: 'system', content: `${rules}${'b'.repeat(2_000)}` }]);
    const common = first.filter((block, index) => block === second[index]).length;
    expect(common).toBe(Math.floor((2_000 + 'system\u0000'.length) / 256));
  });
});

describe('PrefixCacheIndex', () => {
  it('counts the run of known blocks from the start of the prompt', () => {
    const caches = new PrefixCacheIndex();
    caches.apply('e', event(1, { blocks: [1, 2, 3] }));
    expect(caches.cachedTokens('e', [1, 2, 3, 9, 8], 0)).toBe(192);
    expect(caches.cachedTokens('e', [9, 1, 2, 3], 0)).toBe(0);
    expect(caches.cachedTokens('other', [1, 2, 3], 0)).toBe(0);
  });

  it('drops evicted blocks unless newer evidence exists', () => {
    const caches = new PrefixCacheIndex();
    caches.recordSent('e', [1, 2], 100);
    caches.apply('e', event(1, { kind: CacheEventKind.Evicted, blocks: [2], observedAtMs: 50 }));
    expect(caches.cachedTokens('e', [1, 2], 100)).toBe(128);
    caches.apply('e', event(2, { kind: CacheEventKind.Evicted, blocks: [2], observedAtMs: 150 }));
    expect(caches.cachedTokens('e', [1, 2], 100)).toBe(64);
  });

  it('drops after a gap the blocks that an unseen eviction may have removed', () => {
    const caches = new PrefixCacheIndex();
    caches.apply('e', event(1, { blocks: [1, 2, 3] }));
    // Block 3 was evicted 1,000 ms after its last evidence; half of that age is in doubt.
    const evicted = { kind: CacheEventKind.Evicted, blocks: [3], observedAtMs: 1_000 };
    caches.apply('e', event(2, evicted));
    caches.recordSent('e', [7], 1_200);
    caches.apply('e', event(4, { blocks: [4], observedAtMs: 1_500 }));
    expect(caches.cachedTokens('e', [1, 2], 1_500)).toBe(0);
    expect(caches.cachedTokens('e', [7], 1_200)).toBe(64);
    expect(caches.cachedTokens('e', [4], 1_500)).toBe(64);
  });

  it('keeps blocks over a gap while the endpoint has never evicted any', () => {
    const caches = new PrefixCacheIndex();
    caches.apply('e', event(1, { blocks: [1, 2] }));
    caches.apply('e', event(3, { blocks: [4], observedAtMs: 100 }));
    expect(caches.cachedTokens('e', [1, 2], 0)).toBe(128);
  });

  it('takes a stored block as evidence for the blocks before it', () => {
    const caches = new PrefixCacheIndex();
    caches.apply('e', event(1, { blocks: [1, 2] }));
    caches.apply('e', event(2, { blocks: [3], parentBlock: 2, observedAtMs: 500 }));
    const evicted = { kind: CacheEventKind.Evicted, blocks: [1, 2], observedAtMs: 400 };
    caches.apply('e', event(3, evicted));
    expect(caches.cachedTokens('e', [1, 2, 3], 500)).toBe(192);
  });

  it('drops the blocks of an endpoint when an answer shows that the prompt was not cached', () => {
    const caches = new PrefixCacheIndex();
    const prefix = Array.from({ length: 20 }, (_, index) => index + 1);
    caches.apply('e', event(1, { blocks: prefix }));
    caches.recordServed('e', 1_280, 1_200, 100);
    expect(caches.cachedTokens('e', prefix, 0)).toBe(1_280);
    caches.recordServed('e', 1_280, 64, 100);
    expect(caches.cachedTokens('e', prefix, 0)).toBe(0);
  });

  it('ignores repeated and reordered events', () => {
    const caches = new PrefixCacheIndex();
    caches.apply('e', event(5, { blocks: [1] }));
    caches.apply('e', event(4, { kind: CacheEventKind.Cleared }));
    expect(caches.cachedTokens('e', [1], 0)).toBe(64);
  });

  // A prompt or an event with more blocks than are kept first took memory for all of them, and then the
  // place of those at its beginning, without which nothing of it is found.
  it('keeps the beginning of a prompt that is longer than what is kept', () => {
    const caches = new PrefixCacheIndex({ halfLifeMs: 1_000, maxBlocks: 4 });
    const blocks = Array.from({ length: 1_000 }, (_, index) => index + 1);
    caches.recordSent('i-1', blocks, 0);
    expect(caches.cachedTokens('i-1', blocks, 0)).toBe(4 * promptBlockTokens);
    const stored = { kind: CacheEventKind.Stored, sequence: 1, blocks, observedAtMs: 0 };
    caches.apply('i-2', stored);
    expect(caches.cachedTokens('i-2', blocks, 0)).toBe(4 * promptBlockTokens);
  });

  it('halves the expected tokens with each half-life and keeps at most the maximum of blocks', () => {
    const caches = new PrefixCacheIndex({ halfLifeMs: 1_000, maxBlocks: 2 });
    caches.recordSent('e', [1], 0);
    expect(caches.cachedTokens('e', [1], 2_000)).toBe(16);
    caches.recordSent('e', [2, 3], 0);
    expect(caches.cachedTokens('e', [1], 0)).toBe(0);
    expect(caches.cachedTokens('e', [2, 3], 0)).toBe(128);
  });
});
