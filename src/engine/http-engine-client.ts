import type { IncomingHttpHeaders } from 'node:http';
import { StringDecoder } from 'node:string_decoder';
import { createParser, type EventSourceParser } from 'eventsource-parser';
import { Agent, type Dispatcher } from 'undici';
import { z } from 'zod';
import { Outcome, WorkClass, type Clock } from '../core/index.js';
import { readControlJson } from '../core/response-body.js';
import { requireSoundHead } from '../core/response-head.js';
import { sendRequest } from '../core/send-request.js';
import { noticeOfRetryAfter, type EndpointNotice } from '../fleet/endpoint-notice.js';
import { decodeChatChunk, type Usage } from './chat-chunk.js';
import {
  EngineClient,
  GenerationEventKind,
  type GenerationEvent,
  type GenerationRequest,
  type LoadReport,
} from './engine-client.js';
import { EngineError, EngineFailure } from './engine-error.js';

/** Priority sent to the engine; lower numbers run earlier. Engines may ignore it. */
const priorityByClass: Readonly<Record<WorkClass, number>> = {
  [WorkClass.Short]: 0,
  [WorkClass.Medium]: 10,
  [WorkClass.Long]: 20,
};

/** Longest event accepted from an engine, so that a faulty engine cannot exhaust memory. */
const maxEventChars = 1_048_576;

/** Characters of an error response that are read; it may have no end. */
const maxErrorChars = 4_096;

const loadResponseSchema = z.object({
  running_requests: z.number().nonnegative(),
  queued_requests: z.number().nonnegative(),
  kv_used_ratio: z.number().min(0).max(1),
  observed_at_ms: z.number(),
});

/** Options of {@link HttpEngineClient}. */
export interface HttpEngineClientOptions {
  /** Name of the endpoint in errors and logs. */
  readonly name: string;
  readonly baseUrl: string;
  readonly clock: Clock;
  /** A stream that receives no data for this long is reported as silent. Read once for each stream. */
  readonly idleTimeoutMs: () => number;
  /** Receives what the engine says of itself in the response to a generation. */
  readonly onNotice?: (notice: EndpointNotice) => void;
}

/**
 * {@link EngineClient} for engines with the OpenAI chat API over HTTP.
 *
 * To continue a generation, the client sends the earlier text as the last assistant message with
 * `continue_final_message`. Each stream has a connection of its own: on a reused one, what the engine
 * still had to say to an earlier request would be taken for the response.
 *
 * @example
 * ```ts
 * const engine = new HttpEngineClient({ name: 'a', baseUrl, clock, idleTimeoutMs: () => 3_000 });
 * ```
 */
export class HttpEngineClient extends EngineClient {
  readonly #name: string;
  readonly #baseUrl: string;
  readonly #clock: Clock;
  readonly #idleTimeoutMs: () => number;
  readonly #onNotice: (notice: EndpointNotice) => void;
  /** Connections of generations, each for one only. */
  readonly #streams = new Agent({
    pipelining: 0,
    connections: null,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: 2_000 },
  });
  readonly #agent = new Agent({ pipelining: 1, connect: { timeout: 2_000 } });

  constructor(options: HttpEngineClientOptions) {
    super();
    this.#name = options.name;
    this.#baseUrl = options.baseUrl;
    this.#clock = options.clock;
    this.#idleTimeoutMs = options.idleTimeoutMs;
    this.#onNotice = options.onNotice ?? (() => undefined);
  }

  override generate(
    generation: GenerationRequest,
    onEvent: (event: GenerationEvent) => void | Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      const stream = new GenerationStream({
        name: this.#name,
        clock: this.#clock,
        idleTimeoutMs: this.#idleTimeoutMs(),
        onNotice: this.#onNotice,
        onEvent,
        signal,
        resolve,
        reject,
      });
      if (signal.aborted) {
        stream.fail(EngineFailure.Broken, 'cancelled before it was sent', Outcome.NotRun);
        return;
      }
      this.#streams.dispatch(
        {
          origin: this.#baseUrl,
          path: '/v1/chat/completions',
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            accept: 'text/event-stream',
            'x-request-id': generation.requestId,
          },
          body: JSON.stringify(encodeRequestBody(generation)),
        },
        stream,
      );
    });
  }

  override async cancel(requestId: string): Promise<void> {
    await sendRequest(`${this.#baseUrl}/v1/requests/${encodeURIComponent(requestId)}`, {
      method: 'DELETE',
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(2_000),
    }).then(
      (response) => response.body.dump(),
      // Cancelling is best effort: closing the stream has already cancelled the work at the engine.
      () => undefined,
    );
  }

  override async load(signal: AbortSignal): Promise<LoadReport> {
    try {
      const response = await sendRequest(`${this.#baseUrl}/load`, {
        dispatcher: this.#agent,
        signal,
      });
      const report = loadResponseSchema.parse(await readControlJson(response));
      return {
        runningRequests: report.running_requests,
        queuedRequests: report.queued_requests,
        kvUsedRatio: report.kv_used_ratio,
        observedAtMs: report.observed_at_ms,
      };
    } catch (error) {
      throw new EngineError('no load report; check that the engine serves GET /load', {
        peer: this.#name,
        failure: EngineFailure.TimedOut,
        outcome: Outcome.NotRun,
        cause: error,
      });
    }
  }

  /** Closes all connections; streams in flight fail. */
  async close(): Promise<void> {
    await Promise.all([this.#streams.destroy(), this.#agent.destroy()]);
  }
}

function encodeRequestBody(generation: GenerationRequest): Record<string, unknown> {
  const isResumed = generation.resumeText !== '';
  return {
    ...generation.passThrough,
    model: generation.model,
    messages: isResumed
      ? [...generation.messages, { role: 'assistant', content: generation.resumeText }]
      : generation.messages,
    ...(isResumed ? { continue_final_message: true, add_generation_prompt: false } : {}),
    max_tokens: generation.maxTokens,
    priority: priorityByClass[generation.workClass],
    stream: true,
    stream_options: { include_usage: true },
  };
}

interface GenerationStreamOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly idleTimeoutMs: number;
  readonly onNotice: (notice: EndpointNotice) => void;
  readonly onEvent: (event: GenerationEvent) => void | Promise<void>;
  readonly signal: AbortSignal;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

const heartbeat: GenerationEvent = { kind: GenerationEventKind.Heartbeat };
const silence: GenerationEvent = { kind: GenerationEventKind.Silence };

/** Response handler of one generation. @internal */
class GenerationStream implements Dispatcher.DispatchHandler {
  readonly #options: GenerationStreamOptions;
  // Uses less memory than a TextDecoder, which holds a native converter for each open stream.
  readonly #decoder = new StringDecoder('utf8');
  readonly #parser: EventSourceParser;
  readonly #onAbort = (): void => {
    this.fail(EngineFailure.Broken, 'cancelled by the caller', Outcome.Unknown);
  };
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #errorText = '';
  #lastDataAtMs: number;
  #cancelIdleTimer: () => void;
  #finishReason: string | undefined;
  #usage: Usage | undefined;
  #tokens = 0;
  #isSettled = false;
  #pendingWrites = 0;

  constructor(options: GenerationStreamOptions) {
    this.#options = options;
    this.#parser = createParser({
      onEvent: ({ data }) => this.#onData(data),
      onComment: () => void options.onEvent(heartbeat),
      maxBufferSize: maxEventChars,
      onError: (error) => {
        if (error.type === 'max-buffer-size-exceeded') {
          this.fail(EngineFailure.Broken, 'sent an event over the size limit', Outcome.Unknown);
        }
      },
    });
    this.#lastDataAtMs = options.clock.nowMs();
    this.#cancelIdleTimer = this.#armIdleTimer(this.#lastDataAtMs);
    options.signal.addEventListener('abort', this.#onAbort, { once: true });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    // The stream has failed while the request was queued for a connection.
    if (this.#isSettled) controller.abort(new Error('the stream has already failed'));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    try {
      requireSoundHead(statusCode, headers);
    } catch (error) {
      this.fail(EngineFailure.Broken, 'sent a malformed head', Outcome.Unknown, error);
      return;
    }
    this.#status = statusCode;
    this.#options.onNotice(noticeOfRetryAfter(statusCode, headers['retry-after']));
    this.#lastDataAtMs = this.#options.clock.nowMs();
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isSettled) return;
    this.#lastDataAtMs = this.#options.clock.nowMs();
    const text = this.#decoder.write(chunk);
    if (this.#status !== 200) {
      this.#errorText += text;
      if (this.#errorText.length > maxErrorChars) this.#failWithErrorStatus();
      return;
    }
    try {
      this.#parser.feed(text);
    } catch (error) {
      this.fail(EngineFailure.Broken, 'sent a stream that is not valid', Outcome.Unknown, error);
    }
  }

  onResponseEnd(): void {
    if (this.#status !== 200) {
      this.#failWithErrorStatus();
    } else if (this.#finishReason === undefined) {
      this.fail(EngineFailure.Broken, 'closed the stream before its end', Outcome.Unknown);
    } else {
      this.#succeed(this.#finishReason);
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const code = (error as { code?: unknown }).code;
    if (code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH') {
      this.fail(EngineFailure.ConnectionFailed, 'accepts no connection', Outcome.NotRun, error);
    } else {
      this.fail(EngineFailure.Broken, 'broke the stream', Outcome.Unknown, error);
    }
  }

  /** Fails the stream. Has no effect once the stream has settled. */
  fail(failure: EngineFailure, message: string, outcome: Outcome, cause?: unknown): void {
    if (!this.#settle()) return;
    this.#controller?.abort(new Error(message));
    const { name, reject } = this.#options;
    reject(new EngineError(`endpoint ${name} ${message}`, { peer: name, failure, outcome, cause }));
  }

  #onData(data: string): void {
    if (this.#isSettled || data === '[DONE]') return;
    const chunk = decodeChatChunk(data);
    if (chunk.usage) this.#usage = chunk.usage;
    if (chunk.finishReason !== undefined) this.#finishReason = chunk.finishReason;
    if (!chunk.hasChoice) return;
    if (chunk.text !== '') this.#tokens += 1;
    this.#emit({ kind: GenerationEventKind.Token, text: chunk.text, chunkJson: data });
  }

  #emit(event: GenerationEvent): void {
    const written = this.#options.onEvent(event);
    if (!written) return;
    this.#pendingWrites += 1;
    this.#controller?.pause();
    void written.then(
      () => this.#onWritten(),
      (error: unknown) =>
        this.fail(EngineFailure.Broken, 'has no reader any more', Outcome.Unknown, error),
    );
  }

  #onWritten(): void {
    this.#pendingWrites -= 1;
    if (this.#pendingWrites > 0 || this.#isSettled) return;
    // Time during which the reader paused the stream does not count as idle time of the engine.
    this.#lastDataAtMs = this.#options.clock.nowMs();
    this.#controller?.resume();
  }

  #succeed(finishReason: string): void {
    if (!this.#settle()) return;
    void this.#options.onEvent({
      kind: GenerationEventKind.End,
      finishReason,
      promptTokens: this.#usage?.promptTokens ?? 0,
      cachedTokens: this.#usage?.cachedTokens ?? 0,
      completionTokens: this.#usage?.completionTokens ?? this.#tokens,
    });
    this.#options.resolve();
  }

  #failWithErrorStatus(): void {
    const status = this.#status;
    const detail = this.#errorText.slice(0, 200);
    if (status === 429 || status === 503) {
      this.fail(EngineFailure.Rejected, `refused the work (${status}) ${detail}`, Outcome.NotRun);
    } else if (status >= 400 && status < 500) {
      this.fail(
        EngineFailure.BadRequest,
        `refused the request (${status}) ${detail}`,
        Outcome.NotRun,
      );
    } else {
      this.fail(EngineFailure.Broken, `answered with status ${status} ${detail}`, Outcome.Unknown);
    }
  }

  #armIdleTimer(sinceMs: number): () => void {
    const { clock, idleTimeoutMs, onEvent } = this.#options;
    // One timer per stream, re-armed when it fires. Re-arming it on each token would cost more than
    // relaying the token.
    return clock.schedule(sinceMs + idleTimeoutMs, () => {
      if (this.#isSettled) return;
      const nowMs = clock.nowMs();
      if (this.#pendingWrites > 0) this.#lastDataAtMs = nowMs;
      const isSilent = nowMs - this.#lastDataAtMs >= idleTimeoutMs;
      this.#cancelIdleTimer = this.#armIdleTimer(isSilent ? nowMs : this.#lastDataAtMs);
      if (!isSilent) return;
      // The rest of an error response is not worth a wait.
      if (this.#status !== 0 && this.#status !== 200) this.#failWithErrorStatus();
      else void onEvent(silence);
    });
  }

  #settle(): boolean {
    if (this.#isSettled) return false;
    this.#isSettled = true;
    this.#cancelIdleTimer();
    this.#options.signal.removeEventListener('abort', this.#onAbort);
    return true;
  }
}
