import type { Clock } from '../../src/core/index.js';
import {
  EngineClient,
  EngineError,
  EngineFailure,
  GenerationEventKind,
  type GenerationEvent,
  type GenerationRequest,
  type LoadReport,
} from '../../src/engine/index.js';
import { Outcome } from '../../src/core/index.js';
import type { ChosenEndpoint } from '../../src/jobs/index.js';
import type { SimulatedProcess } from './process.js';

/** State of a {@link FakeEndpoint}. */
export enum FakeEndpointState {
  Live = 'live',
  /** Connections break and new ones are refused. */
  Lost = 'lost',
}

/** Options of {@link FakeEndpoint}. */
export interface FakeEndpointOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly failureDomain: string;
  readonly region?: string;
  readonly tokenGapMs: number;
  /** Interval of the client's reports of a silence, from its begin on; without it, there are none. */
  readonly silenceReportMs?: number;
  /** Told of each generation that starts, with its request id and the tag of its prompt. */
  readonly onStart?: (requestId: string, tag: string) => void;
}

/** The whole answer to a prompt. */
export function expectedText(tag: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => `${tag}:${index} `).join('');
}

/**
 * A model engine that counts: token `i` of the answer to prompt `tag` is `tag:i ` so that a checker
 * recognises lost, doubled and crossed text. The model's message content is the tag.
 */
export class FakeEndpoint {
  readonly options: FakeEndpointOptions;
  state = FakeEndpointState.Live;
  /** Whether daemons consider it for jobs. */
  isChoosable = true;
  /** Streams open now; each can be made silent for good. */
  readonly streams = new Set<{ isSilent: boolean; readonly tag: string }>();
  /** Tokens generated on this endpoint. */
  generatedTokens = 0;
  /** Tokens of prompts (four characters each) and resumed text that were prefilled. */
  prefilledTokens = 0;
  #starts = 0;

  constructor(options: FakeEndpointOptions) {
    this.options = options;
  }

  /** Generations started so far. */
  get starts(): number {
    return this.#starts;
  }

  /** Tags of the prompts whose generations run now. */
  get activeTags(): readonly string[] {
    return [...this.streams].map(({ tag }) => tag);
  }

  /** The endpoint as a job runner in `process` sees it. */
  clientFor(process: SimulatedProcess): ChosenEndpoint {
    const { id, failureDomain, region = 'region' } = this.options;
    return { id, failureDomain, region, engine: new FakeEngineClient(this, process) };
  }

  /** Makes the open streams silent; streams opened later work. */
  silence(): void {
    for (const stream of this.streams) stream.isSilent = true;
  }

  async run(
    request: GenerationRequest,
    send: (event: GenerationEvent) => Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, id, tokenGapMs } = this.options;
    this.#starts += 1;
    const tag = request.messages[0]?.content ?? '';
    this.options.onStart?.(request.requestId, tag);
    const stream = { isSilent: false, tag };
    this.streams.add(stream);
    const isKvImported = 'kv_import' in request.passThrough;
    const start = request.resumeText.split(' ').length - 1;
    if (!isKvImported) {
      const chars = request.messages.reduce((sum, { content }) => sum + content.length, 0);
      this.prefilledTokens += Math.ceil(chars / 4) + start;
    }
    try {
      for (let index = start; index < start + request.maxTokens; index++) {
        await clock.sleepUntil(clock.nowMs() + tokenGapMs);
        if (signal.aborted) return;
        this.#check(id);
        this.generatedTokens += 1;
        await this.#whileSilent(stream, send, signal);
        const text = `${tag}:${index} `;
        await send({ kind: GenerationEventKind.Token, text, chunkJson: '{}' });
      }
      const completionTokens = request.maxTokens;
      await send({
        kind: GenerationEventKind.End,
        finishReason: 'stop',
        promptTokens: 1,
        cachedTokens: 0,
        completionTokens,
      });
    } finally {
      this.streams.delete(stream);
    }
  }

  async #whileSilent(
    stream: { readonly isSilent: boolean },
    send: (event: GenerationEvent) => Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, silenceReportMs } = this.options;
    if (stream.isSilent && silenceReportMs === undefined) {
      await new Promise<void>(() => undefined);
    }
    while (stream.isSilent && silenceReportMs !== undefined && !signal.aborted) {
      await send({ kind: GenerationEventKind.Silence });
      await clock.sleepUntil(clock.nowMs() + silenceReportMs, signal);
    }
  }

  #check(id: string): void {
    if (this.state === FakeEndpointState.Live) return;
    throw new EngineError('the connection broke', {
      peer: id,
      failure: EngineFailure.Broken,
      outcome: Outcome.Unknown,
    });
  }
}

/** Connection of one process to a {@link FakeEndpoint}. */
class FakeEngineClient extends EngineClient {
  readonly #endpoint: FakeEndpoint;
  readonly #process: SimulatedProcess;

  constructor(endpoint: FakeEndpoint, process: SimulatedProcess) {
    super();
    this.#endpoint = endpoint;
    this.#process = process;
  }

  override generate(
    request: GenerationRequest,
    onEvent: (event: GenerationEvent) => void | Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const send = async (event: GenerationEvent): Promise<void> => {
      await this.#process.deliver(Promise.resolve());
      await onEvent(event);
    };
    return this.#process.deliver(this.#endpoint.run(request, send, signal));
  }

  override async cancel(): Promise<void> {
    // The abort signal has ended the stream already.
  }

  override load(): Promise<LoadReport> {
    return Promise.reject(new Error('histories use no load reports'));
  }
}
