import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeChatChunk } from '../../src/engine/index.js';

describe('decodeChatChunk', () => {
  describe('a well-formed chunk', () => {
    it('reads text, finish reason and usage', () => {
      expect(decodeChatChunk('{"id":"x","choices":[{"delta":{"content":"a"}}]}')).toMatchObject({
        text: 'a',
        hasChoice: true,
        finishReason: undefined,
      });
      expect(
        decodeChatChunk(
          '{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":5}}}',
        ).usage,
      ).toEqual({ promptTokens: 7, cachedTokens: 5, completionTokens: 2 });
    });

    it('decodes a tool call as a choice without text', () => {
      const json = '{"id":"x","choices":[{"index":0,"delta":{"content":null,"tool_calls":[{}]}}]}';
      expect(decodeChatChunk(json)).toMatchObject({ text: '', hasChoice: true });
    });
  });

  describe('arbitrary input', () => {
    it('either decodes or throws, and never returns text that is not a string', () => {
      fc.assert(
        fc.property(fc.oneof(fc.string(), fc.json()), (json) => {
          try {
            expect(typeof decodeChatChunk(json).text).toBe('string');
          } catch (error) {
            expect(error).toBeInstanceOf(Error);
          }
        }),
        { seed: 7, numRuns: 500 },
      );
    });
  });
});
