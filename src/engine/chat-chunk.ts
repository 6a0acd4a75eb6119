import { z } from 'zod';

/** Fields of an OpenAI `chat.completion.chunk` that the gateway reads; others pass through. */
const chunkSchema = z.object({
  id: z.string().default(''),
  choices: z
    .array(
      z.object({
        index: z.number().default(0),
        delta: z.looseObject({ content: z.string().nullish() }).default({}),
        finish_reason: z.string().nullish(),
      }),
    )
    .default([]),
  usage: z
    .object({
      prompt_tokens: z.number().default(0),
      completion_tokens: z.number().default(0),
      prompt_tokens_details: z.object({ cached_tokens: z.number().default(0) }).nullish(),
    })
    .nullish(),
});

/** Token counts of a generation, as reported by the engine. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Decoded fields of one chunk. */
export interface ChatChunk {
  readonly id: string;
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly usage: Usage | undefined;
  /** Whether the chunk contains a choice; usage-only chunks contain none. */
  readonly hasChoice: boolean;
}

/**
 * Decodes one chunk.
 *
 * @throws SyntaxError or ZodError when the text is not a valid chunk.
 * @example
 * ```ts
 * decodeChatChunk('{"choices":[{"delta":{"content":"a"}}]}').text; // 'a'
 * ```
 */
export function decodeChatChunk(json: string): ChatChunk {
  const value: unknown = JSON.parse(json);
  return decodePlainDelta(value) ?? decodeWithSchema(value);
}

/**
 * Fast path for chunks with one text delta, which make up nearly all of a stream: running the
 * schema costs several microseconds per chunk. Returns undefined for any other chunk.
 */
function decodePlainDelta(value: unknown): ChatChunk | undefined {
  const chunk = value as {
    id?: unknown;
    usage?: unknown;
    choices?: { delta?: { content?: unknown }; finish_reason?: unknown }[];
  } | null;
  if (!Array.isArray(chunk?.choices) || chunk.choices.length !== 1 || chunk.usage) return undefined;
  const choice = chunk.choices[0];
  const text = choice?.delta?.content;
  if (typeof text !== 'string' || choice?.finish_reason || typeof chunk.id !== 'string') {
    return undefined;
  }
  return { id: chunk.id, text, finishReason: undefined, usage: undefined, hasChoice: true };
}

function decodeWithSchema(value: unknown): ChatChunk {
  const { id, choices, usage } = chunkSchema.parse(value);
  const choice = choices[0];
  return {
    id,
    text: choice?.delta.content ?? '',
    finishReason: choice?.finish_reason ?? undefined,
    hasChoice: choice !== undefined,
    usage: usage
      ? {
          promptTokens: usage.prompt_tokens,
          cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
          completionTokens: usage.completion_tokens,
        }
      : undefined,
  };
}
