import { hash32 } from '../core/index.js';
import type { ChatMessage } from '../engine/engine-client.js';

/** Characters of a prompt block; about {@link promptBlockTokens} tokens. */
const blockChars = 256;

/** Tokens that a full prompt block stands for. */
export const promptBlockTokens = 64;

/**
 * Blocks that a prefix lists at most, about half a million tokens. A prompt may be stated longer than
 * any endpoint could keep, and the length of the list must not follow what a caller states.
 */
export const maxPrefixBlocks = 8_192;

/**
 * Chained hashes of the blocks of a prompt: equal hashes at index i mean equal prompts up to and
 * including block i. Only whole blocks are listed, as engines cache whole blocks, and
 * {@link maxPrefixBlocks} at most.
 */
export type PromptPrefix = readonly number[];

/**
 * Hashes a prompt block by block. Hashes have 31 bits, so that V8 keeps them as small integers; a
 * collision only makes a routing hint wrong.
 *
 * @param messages - the chat, in order.
 * @example
 * ```ts
 * const prefix = promptPrefix([{ role: 'system', content: rules }, { role: 'user', content: ask }]);
 * ```
 */
export function promptPrefix(messages: readonly ChatMessage[]): PromptPrefix {
  const text = messages.map(({ role, content }) => `${role}\u0000${content}\u0001`).join('');
  const blocks: number[] = [];
  let hash = 0;
  const listedChars = Math.min(text.length, maxPrefixBlocks * blockChars);
  for (let end = blockChars; end <= listedChars; end += blockChars) {
    hash = hash32(text.slice(end - blockChars, end), hash) >>> 1;
    blocks.push(hash);
  }
  return blocks;
}

/** A part of a prompt that engines cache as a whole. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * All parts but the last, which is specific to the request or its session: only these occur in
 * several requests.
 */
export function sharedPartsOf(parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** Odd, so that the blocks of a part stay distinct; the golden ratio spreads them evenly. */
const blockStride = 0x9e3779b1;

/** Like {@link promptPrefix}, for a prompt that is described by its parts in order. */
export function promptPrefixOfParts(parts: readonly PromptPart[]): PromptPrefix {
  const blocks: number[] = [];
  let hash = 0;
  let tokens = 0;
  for (const part of parts) {
    hash = hash32(part.id, hash) >>> 1;
    tokens += part.tokens;
    const listedBlocks = Math.min(maxPrefixBlocks, Math.floor(tokens / promptBlockTokens));
    for (let index = 0; blocks.length < listedBlocks; index++) {
      blocks.push((hash + Math.imul(index, blockStride)) >>> 1);
    }
  }
  return blocks;
}
