import { describe, expect, it } from 'vitest';
import { estimatePromptTokens } from '../../src/pipeline/index.js';

describe('estimatePromptTokens', () => {
  describe('content that is not text', () => {
    it('counts lists of parts and null content instead of throwing', () => {
      const parts = [{ type: 'image_url', image_url: { url: 'data:,' } }];
      expect(
        estimatePromptTokens([{ content: 'word' }, { content: parts }, { content: null }]),
      ).toBe(501);
    });
  });
});
