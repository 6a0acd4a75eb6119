import { describe, expect, it } from 'vitest';
import { Outcome, RequestError, VirtualClock } from '../../src/core/index.js';
import {
  EngineClient,
  EngineError,
  EngineFailure,
  GenerationEventKind,
  type GenerationEvent,
  type GenerationRequest,
  type LoadReport,
} from '../../src/engine/index.js';
import { AttemptEnd, GenerationRelay, type GenerationTask } from '../../src/pipeline/index.js';
import {
  CollectingResponder,
  CountingRetryScheduler,
  ScriptedLease,
  ScriptedSelector,
  task,
} from './relay-fixtures.js';

const answerTokens = ['a ', 'b ', 'c ', 'd '];

/** Generates the rest of `answerTokens` after the resumed text. Fails after `failAfter` tokens. */
class ScriptedEngine extends EngineClient {
  readonly requests: GenerationRequest[] = [];
  readonly #failAfter: number;
  readonly #failure: EngineFailure;
  readonly #onToken: () => void;

  constructor(
    failAfter = Infinity,
    failure = EngineFailure.Broken,
    onToken: () => void = () => undefined,
  ) {
    super();
    this.#failAfter = failAfter;
    this.#failure = failure;
    this.#onToken = onToken;
  }

  override async generate(
    request: GenerationRequest,
    onEvent: (event: GenerationEvent) => void | Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    this.requests.push(request);
    const start = request.resumeText.length / 2;
    for (const [sent, text] of answerTokens.slice(start).entries()) {
      if (sent >= this.#failAfter || signal.aborted) throw this.#error();
      await onEvent({
        kind: GenerationEventKind.Token,
        text,
        chunkJson: `{"id":"x","t":"${text}"}`,
      });
      this.#onToken();
    }
    await onEvent({
      kind: GenerationEventKind.End,
      finishReason: 'stop',
      promptTokens: 3,
      cachedTokens: 0,
      completionTokens: answerTokens.length - start,
    });
  }

  override cancel(): Promise<void> {
    return Promise.resolve();
  }

  override load(): Promise<LoadReport> {
    return Promise.reject(new Error('not used'));
  }

  #error(): EngineError {
    const isConnectionFailure = this.#failure === EngineFailure.ConnectionFailed;
    return new EngineError('scripted failure', {
      peer: 'engine',
      failure: this.#failure,
      outcome: isConnectionFailure ? Outcome.NotRun : Outcome.Unknown,
    });
  }
}

interface RelayFixture {
  readonly responder: CollectingResponder;
  readonly selector: ScriptedSelector;
  readonly retries: CountingRetryScheduler;
  readonly result: Promise<{ attempts: number; tokens: number }>;
}

function relay(
  leases: ScriptedLease[],
  options: { task?: GenerationTask; retries?: number } = {},
): RelayFixture {
  const responder = new CollectingResponder();
  const selector = new ScriptedSelector(leases);
  const retries = new CountingRetryScheduler(options.retries ?? 2);
  const clock = new VirtualClock();
  const result = new GenerationRelay({ selector, retries, clock }).run(
    options.task ?? task,
    responder,
    new AbortController().signal,
  );
  return { responder, selector, retries, result };
}

describe('GenerationRelay', () => {
  describe('when the endpoint completes the generation', () => {
    it('relays the complete answer once', async () => {
      const lease = new ScriptedLease('a', new ScriptedEngine());
      const { responder, result } = relay([lease]);
      expect(await result).toMatchObject({ attempts: 1, tokens: 4 });
      expect(responder.text).toBe(answerTokens.join(''));
      expect(responder.ends).toBe(1);
      expect(lease.ends).toEqual([AttemptEnd.Completed]);
    });
  });

  describe('when the endpoint fails in the middle of the answer', () => {
    it('continues at another endpoint after the text sent, without repeating it', async () => {
      const second = new ScriptedEngine();
      const { responder, result } = relay([
        new ScriptedLease('a', new ScriptedEngine(2)),
        new ScriptedLease('b', second),
      ]);
      expect(await result).toMatchObject({ attempts: 2, tokens: 4 });
      expect(responder.text).toBe(answerTokens.join(''));
      expect(second.requests[0]).toMatchObject({ resumeText: 'a b ', maxTokens: 98 });
    });

    it('uses one request id per attempt, so that a late cancel hits only its attempt', async () => {
      const engines = [new ScriptedEngine(1), new ScriptedEngine()];
      const { result } = relay(engines.map((engine, i) => new ScriptedLease(String(i), engine)));
      await result;
      expect(engines.map(({ requests }) => requests[0]?.requestId)).toEqual(['r1:1', 'r1:2']);
    });

    it('fails with outcome unknown when the retry budget is exhausted', async () => {
      const { result } = relay([new ScriptedLease('a', new ScriptedEngine(2))], { retries: 0 });
      await expect(result).rejects.toMatchObject({
        code: 'attempts_exhausted',
        outcome: Outcome.Unknown,
      });
    });

    it('fails when the answer cannot be continued as text', async () => {
      const { result } = relay(
        [
          new ScriptedLease('a', new ScriptedEngine(2)),
          new ScriptedLease('b', new ScriptedEngine()),
        ],
        { task: { ...task, isResumable: false } },
      );
      await expect(result).rejects.toMatchObject({ code: 'answer_interrupted' });
    });
  });

  describe('when no connection can be established', () => {
    it('reports not_run only when no attempt may have started', async () => {
      const unreachable = (id: string): ScriptedLease =>
        new ScriptedLease(id, new ScriptedEngine(0, EngineFailure.ConnectionFailed));
      const first = relay([unreachable('a')], { retries: 0 });
      await expect(first.result).rejects.toMatchObject({ outcome: Outcome.NotRun });
      const second = relay([new ScriptedLease('a', new ScriptedEngine(0)), unreachable('b')], {
        retries: 1,
      });
      const error = await second.result.catch((thrown: unknown) => thrown);
      expect(error).toBeInstanceOf(RequestError);
      expect(error).toMatchObject({ outcome: Outcome.Unknown });
    });
  });

  describe('when an engine rejects the request as invalid', () => {
    it('does not report not_run after an earlier attempt has sent text', async () => {
      const { result } = relay([
        new ScriptedLease('a', new ScriptedEngine(2)),
        new ScriptedLease('b', new ScriptedEngine(0, EngineFailure.BadRequest)),
      ]);
      await expect(result).rejects.toMatchObject({
        code: 'refused_by_engine',
        outcome: Outcome.Unknown,
      });
    });

    it('reports not_run when there was only one attempt', async () => {
      const engine = new ScriptedEngine(0, EngineFailure.BadRequest);
      const { result } = relay([new ScriptedLease('a', engine)]);
      await expect(result).rejects.toMatchObject({ outcome: Outcome.NotRun });
    });
  });

  describe('when the endpoint leaves', () => {
    it('moves without using the retry budget', async () => {
      const moveHook: { trigger?: () => void } = {};
      const first = new ScriptedLease(
        'a',
        new ScriptedEngine(Infinity, EngineFailure.Broken, () => moveHook.trigger?.()),
      );
      moveHook.trigger = () => {
        first.moveController.abort();
      };
      const { responder, result, retries } = relay([
        first,
        new ScriptedLease('b', new ScriptedEngine()),
      ]);
      expect(await result).toMatchObject({ attempts: 2 });
      expect(responder.text).toBe(answerTokens.join(''));
      expect(first.ends).toEqual([AttemptEnd.Moved]);
      expect(retries.usedCount).toBe(0);
    });
  });
});
