import { Outcome, RequestError, Step, type Clock, type WorkClass } from '../core/index.js';
import {
  EngineError,
  EngineFailure,
  GenerationEventKind,
  type ChatMessage,
  type GenerationEvent,
} from '../engine/index.js';
import type { HedgePolicy } from '../admission/index.js';
import { AttemptRace, type Attempt } from './attempt-race.js';
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
 * answer. A silent endpoint is given up only once another one has gone on, or at the deadline.
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
  #isChoosingSuccessor = false;

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
   * Runs an attempt and, when its first token is late and the hedge budget allows, or when it falls
   * silent, a further one at another endpoint. The attempt that goes on first continues; the others
   * are cancelled.
   */
  #runHedged(first: EndpointLease): Promise<AttemptResult> {
    return new Promise((resolve, reject) => {
      const race = new AttemptRace();
      const start = (lease: EndpointLease): void => {
        const attempt = race.add(lease);
        this.#runAttempt(attempt, race, start).then((failure) => {
          if (failure && !attempt.hasLost) this.#excludedIds.add(lease.endpointId);
          if (!race.end(attempt, !failure)) return;
          cancelHedge();
          resolve({ lease, failure });
        }, reject);
      };
      const cancelHedge = this.#scheduleHedge(first, race, start);
      start(first);
    });
  }

  /**
   * Calls `start` with a second endpoint if the first token is late.
   *
   * @returns a function that cancels the hedge.
   */
  #scheduleHedge(
    first: EndpointLease,
    race: AttemptRace,
    start: (lease: EndpointLease) => void,
  ): () => void {
    const { hedges, clock, selector } = this.#options;
    const { serviceId, workspaceId, workClass } = this.#task;
    if (!hedges || this.#hasSentChunks) return () => undefined;
    // A probe of a slow endpoint must not delay the caller, so a second attempt starts at once.
    const delayMs = first.isProbe ? 0 : hedges.delayMs(serviceId, workClass);
    const atMs = clock.nowMs() + delayMs;
    return clock.schedule(atMs, () => {
      if (race.isDecided || this.#disconnectSignal.aborted) return;
      if (!first.isProbe && !hedges.tryHedge(workspaceId, true)) return;
      const excludedIds = new Set([...this.#excludedIds, ...race.endpointIds]);
      selector.select({ ...this.#task, resumeText: '', excludedIds }, this.#disconnectSignal).then(
        (lease) => {
          if (race.isDecided || this.#hasSentChunks) lease.end(AttemptEnd.Cancelled);
          else start(lease);
        },
        () => {
          // No second endpoint is available; the first attempt continues alone.
          if (!first.isProbe) hedges.refund(workspaceId);
        },
      );
    });
  }

  /**
   * Calls `start` with another endpoint if all attempts are silent and another one may go on. They
   * stay open, as each of them may go on as well.
   */
  async #startSuccessor(race: AttemptRace, start: (lease: EndpointLease) => void): Promise<void> {
    if (this.#isChoosingSuccessor || !this.#needsSuccessor(race)) return;
    const { retries, clock, selector } = this.#options;
    const atMs = retries.nextAttemptAtMs(this.#task, this.#attempts);
    if (atMs === undefined) return;
    this.#isChoosingSuccessor = true;
    await clock.sleepUntil(atMs, this.#disconnectSignal);
    const excludedIds = new Set([...this.#excludedIds, ...race.endpointIds]);
    const lease = this.#needsSuccessor(race)
      ? await selector
          .select(
            { ...this.#task, resumeText: this.#sentText, excludedIds },
            this.#disconnectSignal,
          )
          // No other endpoint is available; the silent ones may go on.
          .catch(() => undefined)
      : undefined;
    this.#isChoosingSuccessor = false;
    if (lease && this.#needsSuccessor(race)) {
      start(lease);
      return;
    }
    lease?.end(AttemptEnd.Cancelled);
    retries.refund(this.#task);
  }

  #needsSuccessor(race: AttemptRace): boolean {
    const canMove = this.#task.isResumable || !this.#hasSentChunks;
    return canMove && race.isSilent && !this.#disconnectSignal.aborted;
  }

  /** Ends an attempt that is still silent when the deadline of the request has passed. */
  #giveUpAtDeadline(attempt: Attempt): () => void {
    const { clock } = this.#options;
    return clock.schedule(Math.max(clock.nowMs(), this.#task.deadlineAtMs), () => {
      if (!attempt.isSilent) return;
      attempt.isGivenUp = true;
      attempt.abortController.abort();
    });
  }

  /** Runs one attempt. Returns the error that ended it, or undefined after its end event. */
  async #runAttempt(
    attempt: Attempt,
    race: AttemptRace,
    startNext: (lease: EndpointLease) => void,
  ): Promise<EngineError | undefined> {
    const { lease, abortController } = attempt;
    const task = this.#task;
    this.#attempts += 1;
    let cancelGivingUp: () => void = () => undefined;
    const onSilence = (): void => {
      lease.recordSilence();
      cancelGivingUp();
      cancelGivingUp = this.#giveUpAtDeadline(attempt);
      void this.#startSuccessor(race, startNext);
    };
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
        (event) => {
          if (race.accept(attempt, event)) return this.#onEvent(event, lease);
          if (event.kind === GenerationEventKind.Silence) onSilence();
          return undefined;
        },
        abortController.signal,
      );
      lease.end(AttemptEnd.Completed, this.#end);
      return undefined;
    } catch (error) {
      if (!(error instanceof EngineError)) {
        lease.end(AttemptEnd.Broken);
        throw error;
      }
      const failure = attempt.isGivenUp ? silentUntilDeadline(lease, error) : error;
      lease.end(attempt.hasLost ? AttemptEnd.Cancelled : this.#attemptEndOf(failure, lease));
      return failure;
    } finally {
      cancelGivingUp();
      this.#disconnectSignal.removeEventListener('abort', abort);
      lease.moveSignal.removeEventListener('abort', abort);
    }
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
      case GenerationEventKind.Silence:
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
    if (this.#disconnectSignal.aborted) throw this.#relayError(499, 'caller_gone', failure);
    if (failure.failure === EngineFailure.BadRequest) throw this.#engineRefusalError(failure);
    if (this.#hasSentChunks && !this.#task.isResumable) {
      throw this.#relayError(502, 'answer_interrupted', failure);
    }
    if (failure.failure === EngineFailure.TimedOut && clock.nowMs() >= this.#task.deadlineAtMs) {
      throw this.#relayError(504, 'endpoint_silent', failure);
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

function silentUntilDeadline({ endpointName }: EndpointLease, cause: EngineError): EngineError {
  return new EngineError(`endpoint ${endpointName} was silent at the deadline`, {
    peer: endpointName,
    failure: EngineFailure.TimedOut,
    outcome: Outcome.Unknown,
    cause,
  });
}

const attemptEndByFailure: Readonly<Record<EngineFailure, AttemptEnd>> = {
  [EngineFailure.ConnectionFailed]: AttemptEnd.ConnectionFailed,
  [EngineFailure.Rejected]: AttemptEnd.Rejected,
  [EngineFailure.Broken]: AttemptEnd.Broken,
  [EngineFailure.TimedOut]: AttemptEnd.TimedOut,
  [EngineFailure.BadRequest]: AttemptEnd.Completed,
};
