import { z } from 'zod';

/** Parts of an OpenAI `chat.completion.chunk` that the gateway reads; the rest passes through. */
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

/** Token counts of a generation as the engine reports them. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** What the gateway reads from one chunk. */
export interface ChatChunk {
  readonly id: string;
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly usage: Usage | undefined;
  /** True when the chunk carries something to show: a choice with any delta. */
  readonly hasChoice: boolean;
}

/**
 * Decodes one chunk.
 *
 * @throws SyntaxError or ZodError when the text is not a chunk.
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
 * Reads the one shape that makes up nearly all of a stream without running the schema, which costs
 * several microseconds a chunk.
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
