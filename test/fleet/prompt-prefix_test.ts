import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  maxPrefixBlocks,
  promptBlockTokens,
  promptPrefix,
  promptPrefixOfParts,
} from '../../src/fleet/prompt-prefix.js';

describe('promptPrefixOfParts', () => {
  // Guards against processes that end because a caller states the size of its prompt at will.
  it.each([10_000_000, 50_000_000])('lists a bounded prefix of a part of %d tokens', (tokens) => {
    const parts = [
      { id: '5c1e07a2', tokens },
      { id: 'e4402b7d', tokens: 250 },
    ];
    expect(promptPrefixOfParts(parts)).toHaveLength(maxPrefixBlocks);
  });

  it('lists the whole blocks of prompts that an endpoint can keep, whatever their parts', () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: 20_000 }), { maxLength: 20 }), (sizes) => {
        const parts = sizes.map((tokens, index) => ({ id: `part-${index}`, tokens }));
        const tokens = sizes.reduce((sum, size) => sum + size, 0);
        expect(promptPrefixOfParts(parts)).toHaveLength(Math.floor(tokens / promptBlockTokens));
      }),
    );
  });

  it('begins a longer prompt like the shorter one that it continues', () => {
    const shared = { id: '5c1e07a2', tokens: 800 };
    const prefix = promptPrefixOfParts([shared]);
    const longer = promptPrefixOfParts([shared, { id: 'e4402b7d', tokens: 50_000_000 }]);
    expect(longer.slice(0, prefix.length)).toEqual(prefix);
  });
});

describe('promptPrefix', () => {
  // The same for chats, whose bodies may be longer than what an endpoint can keep.
  it('lists a bounded prefix of a long chat', () => {
    const content = 'x'.repeat(4_194_304);
    expect(promptPrefix([{ role: 'user', content }])).toHaveLength(maxPrefixBlocks);
  });
});
