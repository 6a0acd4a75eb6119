import type { ServerResponse } from 'node:http';
import type { GenerationEvent } from '../engine/index.js';
import { GenerationEventKind } from '../engine/index.js';

/** Fields that are the same in all chunks of a response. */
export interface ChatResponseMetadata {
  readonly requestId: string;
  readonly model: string;
  /** Creation time in epoch seconds, the unit of the OpenAI format. */
  readonly createdS: number;
  readonly wantsUsage: boolean;
}

/** End event of a generation. */
export type GenerationEnd = Extract<GenerationEvent, { kind: GenerationEventKind.End }>;

/** Writes a generation to the caller as one stream, even when several engines produced it. */
export abstract class ChatResponder {
  /**
   * Writes a token.
   *
   * @returns a promise that resolves when the write buffer has drained, or undefined when it is not
   * full.
   */
  abstract writeToken(text: string, chunkJson: string): Promise<void> | undefined;
  /** Writes a comment that keeps the connection from timing out while there are no tokens. */
  abstract writeKeepAlive(): void;
  abstract end(end: GenerationEnd): void;
}

/** Writes the generation as server-sent events. */
export class SseChatResponder extends ChatResponder {
  readonly #response: ServerResponse;
  readonly #metadata: ChatResponseMetadata;
  readonly #id: string;
  #pendingText = '';
  #drain: Promise<void> | undefined;
  #isFlushScheduled = false;

  constructor(response: ServerResponse, metadata: ChatResponseMetadata) {
    super();
    this.#response = response;
    this.#metadata = metadata;
    this.#id = `"id":${JSON.stringify(`chatcmpl-${metadata.requestId}`)}`;
  }

  override writeToken(_text: string, chunkJson: string): Promise<void> | undefined {
    this.#pendingText += `data: ${this.#replaceId(chunkJson)}\n\n`;
    if (!this.#isFlushScheduled) {
      // Tokens received in one read are sent in one write.
      this.#isFlushScheduled = true;
      queueMicrotask(() => {
        this.#flush();
      });
    }
    return this.#drain;
  }

  override writeKeepAlive(): void {
    this.#writeHead();
    this.#response.write(': waiting\n\n');
  }

  override end(end: GenerationEnd): void {
    if (this.#metadata.wantsUsage) {
      const usage = {
        id: `chatcmpl-${this.#metadata.requestId}`,
        object: 'chat.completion.chunk',
        created: this.#metadata.createdS,
        model: this.#metadata.model,
        choices: [],
        usage: usageOf(end),
      };
      this.#pendingText += `data: ${JSON.stringify(usage)}\n\n`;
    }
    this.#pendingText += 'data: [DONE]\n\n';
    this.#flush();
    this.#response.end();
  }

  /** Replaces the engine's id, which would change when the stream moves to another engine. */
  #replaceId(chunkJson: string): string {
    const start = chunkJson.indexOf('"id":"');
    if (start < 0) return chunkJson;
    const end = chunkJson.indexOf('"', start + 6);
    return chunkJson.slice(0, start) + this.#id + chunkJson.slice(end + 1);
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    if (this.#pendingText === '' || this.#response.destroyed) return;
    this.#writeHead();
    const isBuffered = !this.#response.write(this.#pendingText);
    this.#pendingText = '';
    if (!isBuffered || this.#drain) return;
    this.#drain = new Promise((resolve) => {
      const done = (): void => {
        this.#response.off('drain', done).off('close', done);
        this.#drain = undefined;
        resolve();
      };
      this.#response.on('drain', done).on('close', done);
    });
  }

  #writeHead(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      'x-request-id': this.#metadata.requestId,
    });
  }
}

/** Writes the generation as one JSON object. */
export class JsonChatResponder extends ChatResponder {
  readonly #response: ServerResponse;
  readonly #metadata: ChatResponseMetadata;
  readonly #parts: string[] = [];
  readonly #toolCalls: unknown[] = [];

  constructor(response: ServerResponse, metadata: ChatResponseMetadata) {
    super();
    this.#response = response;
    this.#metadata = metadata;
  }

  override writeToken(text: string, chunkJson: string): undefined {
    if (text !== '') this.#parts.push(text);
    else if (chunkJson.includes('"tool_calls"')) this.#collectToolCalls(chunkJson);
    return undefined;
  }

  override writeKeepAlive(): void {
    // No byte of the body can be sent before the status is known.
  }

  override end(end: GenerationEnd): void {
    const { requestId, model, createdS } = this.#metadata;
    const message = {
      role: 'assistant',
      content: this.#parts.join(''),
      ...(this.#toolCalls.length > 0 ? { tool_calls: this.#toolCalls } : {}),
    };
    this.#response.writeHead(200, {
      'content-type': 'application/json',
      'x-request-id': requestId,
    });
    this.#response.end(
      JSON.stringify({
        id: `chatcmpl-${requestId}`,
        object: 'chat.completion',
        created: createdS,
        model,
        choices: [{ index: 0, message, finish_reason: end.finishReason }],
        usage: usageOf(end),
      }),
    );
  }

  /** Merges the deltas of tool calls, whose arguments arrive in fragments. */
  #collectToolCalls(chunkJson: string): void {
    interface ToolCallDelta {
      index?: number;
      function?: { name?: string; arguments?: string };
    }
    const chunk = JSON.parse(chunkJson) as {
      choices?: { delta?: { tool_calls?: ToolCallDelta[] } }[];
    };
    for (const delta of chunk.choices?.[0]?.delta?.tool_calls ?? []) {
      const index = delta.index ?? 0;
      const known = this.#toolCalls[index] as ToolCallDelta | undefined;
      if (!known?.function) this.#toolCalls[index] = delta;
      else
        known.function.arguments =
          (known.function.arguments ?? '') + (delta.function?.arguments ?? '');
    }
  }
}

function usageOf(end: GenerationEnd): Record<string, unknown> {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.completionTokens,
    total_tokens: end.promptTokens + end.completionTokens,
    prompt_tokens_details: { cached_tokens: end.cachedTokens },
  };
}
