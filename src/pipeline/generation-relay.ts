import { Outcome, RequestError, Step, type Clock, type WorkClass } from '../core/index.js';
import {
  EngineError,
  EngineFailure,
  GenerationEventKind,
  type ChatMessage,
  type GenerationEvent,
} from '../engine/index.js';
import type { HedgePolicy } from '../admission/index.js';
import type { ChatResponder, GenerationEnd } from './chat-responder.js';
import {
  AttemptEnd,
  type EndpointLease,
  type EndpointSelector,
  type RetryScheduler,
} from './endpoint-selector.js';

/** Receives the length of each gap between two tokens, and its end in epoch milliseconds. */
export type TokenGapListener = (gapMs: number, atMs: number) => void;

/** A generation to relay to a caller. */
export interface GenerationTask {
  readonly requestId: string;
  readonly serviceId: string;
  readonly workspaceId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly expectedOutputTokens: number;
  readonly workClass: WorkClass;
  readonly deadlineAtMs: number;
  readonly isResumable: boolean;
  readonly passThrough: Readonly<Record<string, unknown>>;
  readonly onTokenGap?: TokenGapListener;
}

/** Result of a relayed generation. */
export interface GenerationResult {
  readonly endpointName: string;
  readonly attempts: number;
  readonly tokens: number;
  /** Time of the first token in epoch milliseconds; undefined for an empty answer. */
  readonly firstTokenAtMs: number | undefined;
  /** Longest time between two tokens, in milliseconds. */
  readonly maxGapMs: number;
  readonly end: GenerationEnd;
}

/** Options of {@link GenerationRelay}. */
export interface GenerationRelayOptions {
  readonly selector: EndpointSelector;
  readonly retries: RetryScheduler;
  readonly clock: Clock;
  /** Decides when to start a second attempt at another endpoint because the first token is late. */
  readonly hedges?: HedgePolicy;
}

/** Interval of keep-alives, which also send the response head when no token has arrived yet. */
const keepAliveIntervalMs = 10_000;

/**
 * Relays a generation from an endpoint to the caller. When the endpoint fails or leaves, another
 * endpoint continues after the text already sent, so that the caller receives one uninterrupted
 * answer.
 *
 * @example
 * ```ts
 * const result = await relay.run(task, responder, disconnectSignal);
 * ```
 */
export class GenerationRelay {
  readonly #options: GenerationRelayOptions;

  constructor(options: GenerationRelayOptions) {
    this.#options = options;
  }

  /** @throws RequestError when the answer cannot be completed. */
  async run(
    task: GenerationTask,
    responder: ChatResponder,
    disconnectSignal: AbortSignal,
  ): Promise<GenerationResult> {
    const run = new RelayRun(this.#options, task, responder, disconnectSignal);
    const stopKeepAlive = this.#options.clock.every(keepAliveIntervalMs, () => {
      if (!disconnectSignal.aborted) responder.writeKeepAlive();
    });
    try {
      return await run.runToEnd();
    } finally {
      stopKeepAlive();
    }
  }
}

/** One attempt at an endpoint. @internal */
interface Attempt {
  readonly lease: EndpointLease;
  readonly abortController: AbortController;
  /** Whether another attempt produced its first token earlier. */
  hasLost: boolean;
}

interface AttemptResult {
  readonly lease: EndpointLease;
  readonly failure: EngineError | undefined;
}

/** State of one relayed generation over all its attempts. @internal */
class RelayRun {
  readonly #options: GenerationRelayOptions;
  readonly #task: GenerationTask;
  readonly #responder: ChatResponder;
  readonly #disconnectSignal: AbortSignal;
  readonly #excludedIds = new Set<string>();
  #sentText = '';
  #hasSentChunks = false;
  #tokens = 0;
  #attempts = 0;
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;
  #maxGapMs = 0;
  #end: GenerationEnd | undefined;
  #winner: Attempt | undefined;

  constructor(
    options: GenerationRelayOptions,
    task: GenerationTask,
    responder: ChatResponder,
    disconnectSignal: AbortSignal,
  ) {
    this.#options = options;
    this.#task = task;
    this.#responder = responder;
    this.#disconnectSignal = disconnectSignal;
  }

  async runToEnd(): Promise<GenerationResult> {
    for (;;) {
      const { lease, failure } = await this.#runHedged(await this.#select());
      if (this.#end && !failure) return this.#finish(lease, this.#end);
      if (failure) await this.#prepareNextAttempt(lease, failure);
    }
  }

  #select(): Promise<EndpointLease> {
    return this.#options.selector.select(
      { ...this.#task, resumeText: this.#sentText, excludedIds: this.#excludedIds },
      this.#disconnectSignal,
    );
  }

  /**
   * Runs an attempt and, when its first token is late and the hedge budget allows, a second one at
   * another endpoint. The attempt that produces the first token continues; the other is cancelled.
   */
  #runHedged(first: EndpointLease): Promise<AttemptResult> {
    return new Promise((resolve, reject) => {
      const open = new Set<Attempt>();
      let isOver = false;
      const start = (lease: EndpointLease): void => {
        const attempt: Attempt = { lease, abortController: new AbortController(), hasLost: false };
        open.add(attempt);
        this.#runAttempt(attempt, open).then((failure) => {
          open.delete(attempt);
          const isDecisive = attempt === this.#winner || !failure || open.size === 0;
          if (isOver || !isDecisive) return;
          isOver = true;
          cancelHedge();
          resolve({ lease, failure });
        }, reject);
      };
      const cancelHedge = this.#scheduleHedge(first, (lease) => {
        if (isOver || this.#winner) lease.end(AttemptEnd.Cancelled);
        else start(lease);
      });
      this.#winner = undefined;
      start(first);
    });
  }

  /**
   * Calls `start` with a second endpoint if the first token is late.
   *
   * @returns a function that cancels the hedge.
   */
  #scheduleHedge(first: EndpointLease, start: (lease: EndpointLease) => void): () => void {
    const { hedges, clock, selector } = this.#options;
    const { serviceId, workspaceId, workClass } = this.#task;
    if (!hedges || this.#hasSentChunks) return () => undefined;
    // A probe of a slow endpoint must not delay the caller, so a second attempt starts at once.
    const delayMs = first.isProbe ? 0 : hedges.delayMs(serviceId, workClass);
    const atMs = clock.nowMs() + delayMs;
    return clock.schedule(atMs, () => {
      if (this.#winner || this.#disconnectSignal.aborted) return;
      if (!first.isProbe && !hedges.tryHedge(workspaceId, true)) return;
      const excludedIds = new Set([...this.#excludedIds, first.endpointId]);
      selector
        .select({ ...this.#task, resumeText: '', excludedIds }, this.#disconnectSignal)
        .then(start, () => {
          // No second endpoint is available; the first attempt continues alone.
          if (!first.isProbe) hedges.refund(workspaceId);
        });
    });
  }

  /** Runs one attempt. Returns the error that ended it, or undefined after its end event. */
  async #runAttempt(
    attempt: Attempt,
    open: ReadonlySet<Attempt>,
  ): Promise<EngineError | undefined> {
    const { lease, abortController } = attempt;
    const task = this.#task;
    this.#attempts += 1;
    const abort = (): void => {
      abortController.abort();
    };
    // One controller per attempt with plain listeners: AbortSignal.any costs several kilobytes for
    // each open stream and 5% of a request's CPU time.
    this.#disconnectSignal.addEventListener('abort', abort);
    lease.moveSignal.addEventListener('abort', abort);
    if (this.#disconnectSignal.aborted || lease.moveSignal.aborted) abort();
    try {
      await lease.client.generate(
        {
          requestId: `${task.requestId}:${this.#attempts}`,
          model: task.model,
          messages: task.messages,
          resumeText: this.#sentText,
          maxTokens: Math.max(1, task.maxTokens - this.#tokens),
          workClass: lease.engineClass ?? task.workClass,
          passThrough: task.passThrough,
        },
        (event) => (this.#tryWin(attempt, event, open) ? this.#onEvent(event, lease) : undefined),
        abortController.signal,
      );
      lease.end(AttemptEnd.Completed, this.#end);
      return undefined;
    } catch (error) {
      if (!(error instanceof EngineError)) {
        lease.end(AttemptEnd.Broken);
        throw error;
      }
      lease.end(attempt.hasLost ? AttemptEnd.Cancelled : this.#attemptEndOf(error, lease));
      return error;
    } finally {
      this.#disconnectSignal.removeEventListener('abort', abort);
      lease.moveSignal.removeEventListener('abort', abort);
    }
  }

  /**
   * Whether to relay the attempt's events. The first attempt that produces a token or ends wins and
   * cancels the other.
   */
  #tryWin(attempt: Attempt, event: GenerationEvent, open: ReadonlySet<Attempt>): boolean {
    if (this.#winner) return this.#winner === attempt;
    if (event.kind === GenerationEventKind.Heartbeat) return false;
    this.#winner = attempt;
    for (const other of open) {
      if (other === attempt) continue;
      other.hasLost = true;
      other.abortController.abort();
    }
    return true;
  }

  #attemptEndOf(error: EngineError, lease: EndpointLease): AttemptEnd {
    if (this.#disconnectSignal.aborted) return AttemptEnd.Cancelled;
    if (lease.moveSignal.aborted) return AttemptEnd.Moved;
    return attemptEndByFailure[error.failure];
  }

  #onEvent(event: GenerationEvent, lease: EndpointLease): Promise<void> | undefined {
    switch (event.kind) {
      case GenerationEventKind.Token:
        lease.recordToken();
        return this.#onToken(event.text, event.chunkJson);
      case GenerationEventKind.End:
        this.#end = event;
        return undefined;
      case GenerationEventKind.Heartbeat:
        return undefined;
    }
  }

  #onToken(text: string, chunkJson: string): Promise<void> | undefined {
    const nowMs = this.#options.clock.nowMs();
    if (text !== '') {
      if (this.#firstTokenAtMs === undefined) this.#firstTokenAtMs = nowMs;
      else this.#onGap(nowMs - this.#lastTokenAtMs, nowMs);
      this.#lastTokenAtMs = nowMs;
      this.#tokens += 1;
      if (this.#task.isResumable) this.#sentText += text;
    }
    this.#hasSentChunks = true;
    return this.#responder.writeToken(text, chunkJson);
  }

  #onGap(gapMs: number, nowMs: number): void {
    if (gapMs > this.#maxGapMs) this.#maxGapMs = gapMs;
    this.#task.onTokenGap?.(gapMs, nowMs);
  }

  /**
   * Waits until the next attempt may start.
   *
   * @throws RequestError when no further attempt is allowed.
   */
  async #prepareNextAttempt(lease: EndpointLease, failure: EngineError): Promise<void> {
    const { clock, retries } = this.#options;
    const isMove = lease.moveSignal.aborted;
    this.#excludedIds.add(lease.endpointId);
    if (this.#disconnectSignal.aborted) throw this.#relayError(499, 'caller_gone', failure);
    if (failure.failure === EngineFailure.BadRequest) throw this.#engineRefusalError(failure);
    if (this.#hasSentChunks && !this.#task.isResumable) {
      throw this.#relayError(502, 'answer_interrupted', failure);
    }
    // The platform forces the move and the text so far is kept, so the move uses no retry budget.
    if (isMove) return;
    const atMs = retries.nextAttemptAtMs(this.#task, this.#attempts);
    if (atMs === undefined) throw this.#relayError(502, 'attempts_exhausted', failure);
    await clock.sleepUntil(atMs, this.#disconnectSignal);
  }

  /** Error for a request that any engine would refuse; an earlier attempt may still have run. */
  #engineRefusalError(failure: EngineError): RequestError {
    return new RequestError(failure.message, {
      step: Step.Dispatch,
      peer: failure.peer,
      status: 400,
      code: 'refused_by_engine',
      next: 'Correct the request.',
      outcome: this.#attempts === 1 ? Outcome.NotRun : Outcome.Unknown,
      cause: failure,
    });
  }

  #relayError(status: number, code: string, failure: EngineError): RequestError {
    // `not_run` must be certain, even though a generation has no effect beyond its answer.
    const hasNotRun = failure.outcome === Outcome.NotRun && this.#attempts === 1;
    return new RequestError(`the answer could not be completed: ${failure.message}`, {
      step: Step.Relay,
      peer: failure.peer,
      status,
      code,
      next: 'Send the request again.',
      outcome: hasNotRun ? Outcome.NotRun : Outcome.Unknown,
      retryAtMs: this.#options.clock.nowMs() + 1_000,
      cause: failure,
    });
  }

  #finish(lease: EndpointLease, end: GenerationEnd): GenerationResult {
    const finalEnd: GenerationEnd = {
      ...end,
      completionTokens: Math.max(this.#tokens, end.completionTokens),
    };
    this.#responder.end(finalEnd);
    return {
      endpointName: lease.endpointName,
      attempts: this.#attempts,
      tokens: this.#tokens,
      firstTokenAtMs: this.#firstTokenAtMs,
      maxGapMs: this.#maxGapMs,
      end: finalEnd,
    };
  }
}

const attemptEndByFailure: Readonly<Record<EngineFailure, AttemptEnd>> = {
  [EngineFailure.ConnectionFailed]: AttemptEnd.ConnectionFailed,
  [EngineFailure.Rejected]: AttemptEnd.Rejected,
  [EngineFailure.Broken]: AttemptEnd.Broken,
  [EngineFailure.TimedOut]: AttemptEnd.TimedOut,
  [EngineFailure.BadRequest]: AttemptEnd.Completed,
};
