import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { hash32 } from '../core/index.js';
import { promptBlockTokens, promptPrefix, type PromptPrefix } from '../fleet/prompt-prefix.js';
import { ListeningServer, readJson, sendJson } from './listening-server.js';

const chatRequest = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().positive().default(256),
  stream: z.boolean().default(false),
  continue_final_message: z.boolean().default(false),
  priority: z.number().default(0),
});

const orderRequest = z.looseObject({
  kind: z.string(),
  fence: z.number(),
  version: z.string().optional(),
});

type ChatRequest = z.output<typeof chatRequest>;

/** Characters of one generated token; fixed, so that a resumed text counts its own tokens. */
const charsPerToken = 5;
const heartbeatMs = 1_000;

interface CacheEventRecord {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly blocks: readonly number[];
  readonly observed_at_ms: number;
}

/** Options of {@link EngineServer}. */
export interface EngineServerOptions {
  readonly name: string;
  readonly vmId: string;
  readonly models: readonly string[];
  /** Requests that run at once; further ones wait. */
  readonly batchSlots?: number;
  readonly tokenGapMs?: number;
  readonly prefillTokensPerS?: number;
  /** Prompt blocks kept in the prefix cache. */
  readonly cacheBlocks?: number;
  /** Age of the load that `/load` reports. */
  readonly reportLagMs?: number;
  readonly checksFence?: boolean;
}

interface Generation {
  readonly requestId: string;
  readonly request: ChatRequest;
  readonly response: ServerResponse;
  readonly prompt: string;
  readonly prefix: PromptPrefix;
  readonly startToken: number;
  readonly totalTokens: number;
  promptTokens: number;
  cachedTokens: number;
  nextToken: number;
  isStopped: boolean;
}

/**
 * Stand-in of a model engine: continuous batching, prefix cache, priorities, resume, cancel, load
 * reports with a lag, orders with fencing tokens. The text is a pure function of the conversation,
 * so that a test can tell a whole answer from a damaged one.
 *
 * @example
 * ```ts
 * const engine = new EngineServer({ name: 'a', vmId: 'vm-1', models: ['fence-1'] });
 * await engine.listen();
 * ```
 */
export class EngineServer extends ListeningServer {
  readonly name: string;
  readonly vmId: string;
  readonly #models: Set<string>;
  readonly #batchSlots: number;
  readonly #prefillTokensPerS: number;
  readonly #cacheBlocks: number;
  readonly #reportLagMs: number;
  readonly #checksFence: boolean;
  readonly #running = new Set<Generation>();
  readonly #queue: Generation[] = [];
  readonly #cache = new Set<number>();
  readonly #reports: { atMs: number; body: unknown }[] = [];
  readonly #cacheEvents: CacheEventRecord[] = [];
  readonly #startedAtMs = Date.now();
  #cacheSequence = 0;
  #highestFence = 0;
  #version = '1';
  /** Time between tokens; tests raise it to slow the engine down. */
  tokenGapMs: number;
  /** While true, new work is refused and the engine says that it leaves. */
  isDraining = false;
  /** While true, open streams get no bytes any more, though new connections work. */
  areStreamsSilent = false;
  /** Prompt and resumed tokens processed, without those found in the cache. */
  computedPromptTokens = 0;
  /** Generations started, by request id. */
  readonly startedRequests: string[] = [];

  constructor(options: EngineServerOptions) {
    super();
    this.name = options.name;
    this.vmId = options.vmId;
    this.#models = new Set(options.models);
    this.#batchSlots = options.batchSlots ?? 8;
    this.tokenGapMs = options.tokenGapMs ?? 10;
    this.#prefillTokensPerS = options.prefillTokensPerS ?? 20_000;
    this.#cacheBlocks = options.cacheBlocks ?? 4_096;
    this.#reportLagMs = options.reportLagMs ?? 500;
    this.#checksFence = options.checksFence ?? false;
  }

  /** Kills the VM: every connection is destroyed and no new one is accepted. */
  async kill(): Promise<void> {
    for (const generation of [...this.#running, ...this.#queue]) this.#stop(generation);
    await this.close();
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    if (request.method === 'POST' && url.pathname === '/v1/chat/completions') {
      await this.#chat(request, response);
    } else if (request.method === 'DELETE' && url.pathname.startsWith('/v1/requests/')) {
      this.#cancel(decodeURIComponent(url.pathname.slice('/v1/requests/'.length)));
      sendJson(response, 200, {});
    } else if (url.pathname === '/load') {
      sendJson(response, 200, this.#laggedReport());
    } else if (url.pathname === '/health') {
      sendJson(response, this.isDraining ? 503 : 200, {
        vm_id: this.vmId,
        startedAtMs: this.#startedAtMs,
        models: [...this.#models],
        version: this.#version,
      });
    } else if (url.pathname === '/cache/events') {
      this.#sendCacheEvents(Number(url.searchParams.get('from') ?? 0), response);
    } else if (request.method === 'POST' && url.pathname === '/orders') {
      await this.#order(request, response);
    } else if (request.method === 'POST' && url.pathname === '/kv/export') {
      await this.#exportKv(request, response);
    } else if (request.method === 'POST' && url.pathname === '/kv/import') {
      await this.#importKv(request, response);
    } else {
      sendJson(response, 404, { error: 'unknown path' });
    }
  }

  async #chat(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = chatRequest.safeParse(await readJson(request));
    if (!body.success || !body.data.stream) {
      sendJson(response, 400, { error: 'not a streamed chat request' });
    } else if (!this.#models.has(body.data.model)) {
      sendJson(response, 404, { error: `model ${body.data.model} is not loaded` });
    } else if (this.isDraining) {
      sendJson(response, 503, { error: 'draining' });
    } else {
      this.#enqueue(this.#generation(request, body.data, response));
    }
  }

  #generation(request: IncomingMessage, chat: ChatRequest, response: ServerResponse): Generation {
    const last = chat.messages.at(-1);
    const resumeText = chat.continue_final_message && last ? last.content : '';
    const conversation = chat.continue_final_message ? chat.messages.slice(0, -1) : chat.messages;
    const prompt = conversation.map(({ role, content }) => `${role}:${content}`).join('\n');
    const startToken = Math.floor(resumeText.length / charsPerToken);
    return {
      requestId: String(request.headers['x-request-id'] ?? ''),
      request: chat,
      response,
      prompt,
      prefix: promptPrefix(chat.messages),
      startToken,
      totalTokens: Math.min(answerLength(prompt), startToken + chat.max_tokens),
      promptTokens: Math.ceil((prompt.length + resumeText.length) / 4),
      cachedTokens: 0,
      nextToken: startToken,
      isStopped: false,
    };
  }

  #enqueue(generation: Generation): void {
    this.startedRequests.push(generation.requestId);
    generation.response.writeHead(200, { 'content-type': 'text/event-stream' });
    generation.response.on('close', () => {
      this.#stop(generation);
    });
    this.#queue.push(generation);
    this.#queue.sort((a, b) => a.request.priority - b.request.priority);
    this.#beat(generation);
    this.#admit();
  }

  /** Comments keep an idle stream apart from a dead one. */
  #beat(generation: Generation): void {
    const timer = setInterval(() => {
      if (generation.isStopped) clearInterval(timer);
      else if (!this.areStreamsSilent) generation.response.write(': heartbeat\n\n');
    }, heartbeatMs);
    timer.unref();
  }

  #admit(): void {
    while (this.#running.size < this.#batchSlots) {
      const generation = this.#queue.shift();
      if (!generation) return;
      this.#running.add(generation);
      generation.cachedTokens = this.#lookUp(generation.prefix);
      const computed = Math.max(0, generation.promptTokens - generation.cachedTokens);
      this.computedPromptTokens += computed;
      setTimeout(
        () => this.#step(generation),
        (computed / this.#prefillTokensPerS) * 1_000 + this.tokenGapMs,
      );
    }
  }

  #step(generation: Generation): void {
    if (generation.isStopped) return;
    if (!this.areStreamsSilent) {
      if (generation.nextToken >= generation.totalTokens) {
        this.#finish(generation);
        return;
      }
      const content = answerToken(generation.prompt, generation.nextToken);
      this.#send(generation, { delta: { content }, finish_reason: null });
      generation.nextToken += 1;
    }
    setTimeout(() => this.#step(generation), this.tokenGapMs);
  }

  #finish(generation: Generation): void {
    const isWhole = generation.totalTokens === answerLength(generation.prompt);
    this.#send(generation, { delta: {}, finish_reason: isWhole ? 'stop' : 'length' });
    generation.response.write(
      `data: ${JSON.stringify({
        id: generation.requestId,
        object: 'chat.completion.chunk',
        model: generation.request.model,
        choices: [],
        usage: {
          prompt_tokens: generation.promptTokens,
          completion_tokens: generation.totalTokens - generation.startToken,
          prompt_tokens_details: { cached_tokens: generation.cachedTokens },
        },
      })}\n\ndata: [DONE]\n\n`,
    );
    generation.response.end();
    this.#stop(generation);
  }

  #send(generation: Generation, choice: Record<string, unknown>): void {
    generation.response.write(
      `data: ${JSON.stringify({
        id: generation.requestId,
        object: 'chat.completion.chunk',
        created: 0,
        model: generation.request.model,
        choices: [{ index: 0, ...choice }],
      })}\n\n`,
    );
  }

  #stop(generation: Generation): void {
    if (generation.isStopped) return;
    generation.isStopped = true;
    this.#running.delete(generation);
    const queued = this.#queue.indexOf(generation);
    if (queued >= 0) this.#queue.splice(queued, 1);
    this.#admit();
  }

  #cancel(requestId: string): void {
    for (const generation of [...this.#running, ...this.#queue]) {
      if (generation.requestId !== requestId) continue;
      generation.response.destroy();
      this.#stop(generation);
    }
  }

  /** Tokens of the longest cached prefix; the prompt's blocks are cached afterwards. */
  #lookUp(prefix: PromptPrefix): number {
    const firstMiss = prefix.findIndex((block) => !this.#cache.has(block));
    for (const block of prefix) this.#store(block);
    return (firstMiss < 0 ? prefix.length : firstMiss) * promptBlockTokens;
  }

  #store(block: number): void {
    const isNew = !this.#cache.delete(block);
    this.#cache.add(block);
    if (isNew) this.#publish('stored', block);
    const oldest = this.#cache.values().next().value;
    if (this.#cache.size <= this.#cacheBlocks || oldest === undefined) return;
    this.#cache.delete(oldest);
    this.#publish('evicted', oldest);
  }

  #publish(kind: 'stored' | 'evicted', block: number): void {
    const sequence = this.#cacheSequence++;
    this.#cacheEvents.push({ sequence, kind, blocks: [block], observed_at_ms: Date.now() });
    // Old events are dropped, which readers see as a gap in the sequence.
    if (this.#cacheEvents.length > 10_000) this.#cacheEvents.splice(0, 5_000);
  }

  #sendCacheEvents(from: number, response: ServerResponse): void {
    const lateMs = Date.now() - this.#reportLagMs;
    sendJson(response, 200, {
      next: this.#cacheSequence,
      events: this.#cacheEvents
        .filter(({ sequence, observed_at_ms }) => sequence >= from && observed_at_ms <= lateMs)
        .slice(0, 1_000),
    });
  }

  #laggedReport(): unknown {
    const nowMs = Date.now();
    this.#reports.push({
      atMs: nowMs,
      body: {
        running_requests: this.#running.size,
        queued_requests: this.#queue.length,
        kv_used_ratio: this.#running.size / this.#batchSlots,
        observed_at_ms: nowMs,
      },
    });
    while (this.#reports.length > 1 && (this.#reports[1]?.atMs ?? 0) <= nowMs - this.#reportLagMs) {
      this.#reports.shift();
    }
    return this.#reports[0]?.body;
  }

  async #order(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = orderRequest.parse(await readJson(request));
    if (this.#checksFence && order.fence < this.#highestFence) {
      sendJson(response, 409, { error: 'stale fencing token', highest_fence: this.#highestFence });
      return;
    }
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    if (order.kind === 'load_model' && typeof order.model === 'string') {
      this.#models.add(order.model);
    }
    if (order.version !== undefined) this.#version = order.version;
    sendJson(response, 200, { version: this.#version, models: [...this.#models] });
  }

  /** Cached blocks of a running generation, under a handle that another engine imports. */
  async #exportKv(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { request_id } = z.object({ request_id: z.string() }).parse(await readJson(request));
    const running = [...this.#running].find(({ requestId }) => requestId === request_id);
    if (!running) {
      sendJson(response, 404, { error: `no running generation ${request_id}` });
      return;
    }
    const generated = Array.from({ length: running.nextToken }, (_, index) =>
      answerToken(running.prompt, index),
    ).join('');
    const content = [...running.request.messages, { role: 'assistant', content: generated }];
    sendJson(response, 200, { blocks: promptPrefix(content) });
  }

  async #importKv(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { blocks } = z.object({ blocks: z.array(z.number()) }).parse(await readJson(request));
    for (const block of blocks) this.#store(block);
    sendJson(response, 200, {});
  }
}

/** Length in tokens of the whole answer to a prompt: `tokens=N` in the prompt, else 20 to 60. */
export function answerLength(prompt: string): number {
  const stated = /tokens=(\d+)/.exec(prompt)?.[1];
  return stated === undefined ? 20 + (hash32(prompt) % 41) : Number(stated);
}

/** Token `index` of the answer to a prompt. */
export function answerToken(prompt: string, index: number): string {
  return `${hash32(prompt, index)
    .toString(16)
    .padStart(8, '0')
    .slice(0, charsPerToken - 1)} `;
}

/** The whole answer to a conversation, for checks. */
export function wholeAnswer(messages: readonly { role: string; content: string }[]): string {
  const prompt = messages.map(({ role, content }) => `${role}:${content}`).join('\n');
  return Array.from({ length: answerLength(prompt) }, (_, i) => answerToken(prompt, i)).join('');
}
