import type { Socket } from 'node:net';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { Outcome, SystemClock } from '../../src/core/index.js';
import { HttpEngineClient } from '../../src/engine/index.js';
import {
  AttemptEnd,
  GenerationRelay,
  type GenerationResult,
  type GenerationTask,
} from '../../src/pipeline/index.js';
import { RawEndpoint, type RawBehaviour } from '../raw-endpoint.js';
import {
  CollectingResponder,
  CountingRetryScheduler,
  ScriptedLease,
  ScriptedSelector,
  task,
} from './relay-fixtures.js';

const idleTimeoutMs = 60;
const streamHead =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n';
const full = 'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nfull';

function chunk(text: string, finishReason: string | null = null): string {
  const choice = { index: 0, delta: { content: text }, finish_reason: finishReason };
  return `data: ${JSON.stringify({ id: 'x', choices: [choice] })}\n\n`;
}

/** Begins an answer and falls silent. */
const beginAndFallSilent: RawBehaviour = ({ socket }) => {
  socket.write(streamHead + chunk('a '));
};

const rest = `${chunk('b ')}${chunk('', 'stop')}data: [DONE]\n\n`;

/** Writes for as long as the receiver takes it. */
function writeForever(socket: Socket, piece: string): void {
  const fill = (): void => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on('drain', fill);
  fill();
}

interface Play {
  readonly engines: readonly RawEndpoint[];
  readonly leases: readonly ScriptedLease[];
  readonly responder: CollectingResponder;
  readonly retries: CountingRetryScheduler;
  readonly result: Promise<GenerationResult>;
}

describe('an engine that falls silent in a stream', () => {
  const clock = new SystemClock();
  const closers: (() => unknown)[] = [];

  afterEach(async () => {
    for (const close of closers.splice(0)) await close();
  });

  /** Relays a generation to engines that behave so, the first one first. */
  async function play(
    behaviours: readonly RawBehaviour[],
    options: { readonly task?: Partial<GenerationTask>; readonly retries?: number } = {},
  ): Promise<Play> {
    const engines = await Promise.all(behaviours.map((each) => new RawEndpoint(each).listen()));
    const leases = engines.map(({ baseUrl }, index) => {
      const name = `engine-${index}`;
      const client = new HttpEngineClient({
        name,
        baseUrl,
        clock,
        idleTimeoutMs: () => idleTimeoutMs,
      });
      closers.push(() => client.close());
      return new ScriptedLease(name, client);
    });
    const caller = new AbortController();
    closers.push(() => {
      caller.abort();
      for (const engine of engines) engine.close();
    });
    const responder = new CollectingResponder();
    const retries = new CountingRetryScheduler(options.retries ?? 2);
    const result = new GenerationRelay({
      selector: new ScriptedSelector(leases),
      retries,
      clock,
    }).run(
      { ...task, deadlineAtMs: clock.nowMs() + 60_000, ...options.task },
      responder,
      caller.signal,
    );
    result.catch(() => undefined);
    return { engines, leases, responder, retries, result };
  }

  async function expectWhole({ responder, result }: Play): Promise<void> {
    await expect(result).resolves.toMatchObject({ tokens: 2 });
    expect(responder).toMatchObject({ text: 'a b ', ends: 1 });
  }

  /** The first engine goes on, whatever became of the second. */
  function goOn({ engines: [first] }: Play): void {
    first?.requests[0]?.socket.end(rest);
  }

  // A stream whose engine would have gone on was lost, as no other engine could take it.
  describe('is not given up before another engine has gone on', () => {
    it.each<[string, RawBehaviour]>([
      ['is full', ({ socket }) => socket.end(full)],
      ['resets the connection', ({ socket }) => socket.resetAndDestroy()],
      [
        'refuses the continuation as invalid',
        ({ socket }) => socket.end('HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n'),
      ],
      [
        'answers with an error that has no end',
        ({ socket }) => socket.end('HTTP/1.1 500 Oops\r\nconnection: close\r\n\r\nstack trace'),
      ],
    ])('when the other engine %s', async (_kind, other) => {
      const played = await play([beginAndFallSilent, other], { retries: 1 });
      await vi.waitFor(() => expect(played.leases[1]?.ends).toHaveLength(1), 5_000);
      goOn(played);
      await expectWhole(played);
    });

    it('when the other engine is silent too', async () => {
      const played = await play([beginAndFallSilent, () => undefined], { retries: 1 });
      await vi.waitFor(() => expect(played.leases[1]?.silences).toBeGreaterThan(0), 5_000);
      goOn(played);
      await expectWhole(played);
      expect(played.leases[1]?.ends).toEqual([AttemptEnd.Cancelled]);
    });
  });

  describe('is waited for', () => {
    const cases: [string, RawBehaviour[], Parameters<typeof play>[1]][] = [
      ['when there is no other engine', [beginAndFallSilent], {}],
      ['when the retry budget is used up', [beginAndFallSilent, () => undefined], { retries: 0 }],
      [
        'when its answer cannot be continued elsewhere',
        [beginAndFallSilent, () => undefined],
        { task: { isResumable: false } },
      ],
    ];
    it.each(cases)('%s', async (_kind, behaviours, options) => {
      const played = await play(behaviours, options);
      await vi.waitFor(() => expect(played.leases[0]?.silences).toBeGreaterThan(1), 5_000);
      goOn(played);
      await expectWhole(played);
      expect(played.engines[1]?.requests ?? []).toEqual([]);
      // What was taken for a move that did not happen is given back.
      expect(played.retries.usedCount).toBeLessThanOrEqual(1);
    });
  });

  it('is left once another engine goes on, without a gap in the text', async () => {
    const played = await play([
      beginAndFallSilent,
      ({ socket, body }) => {
        expect(body).toContain('"content":"a "');
        socket.end(streamHead + rest);
      },
    ]);
    await expectWhole(played);
    expect(played.leases[0]).toMatchObject({ ends: [AttemptEnd.Cancelled] });
  });

  describe('answers with an error', () => {
    const errorHead = 'HTTP/1.1 500 Oops\r\nconnection: close\r\n\r\n';
    const errors: [string, RawBehaviour][] = [
      ['whose body has no end', ({ socket }) => writeForever(socket, 'x'.repeat(65_536))],
      ['whose body falls silent', ({ socket }) => socket.write('stack trace')],
      ['over 1 MiB', ({ socket }) => socket.end('x'.repeat(2 * 1_048_576))],
    ];

    // Such an error held its request for as long as the engine wrote, or its caller waited.
    it.each(errors)('%s, and the next engine answers', async (_kind, writeBody) => {
      const played = await play([
        (request, index) => {
          request.socket.write(errorHead);
          writeBody(request, index);
        },
        ({ socket }) => socket.end(streamHead + chunk('a ') + rest),
      ]);
      await expectWhole(played);
      expect(played.leases[0]?.ends).toEqual([AttemptEnd.Broken]);
    });

    // Callers of other systems found the text of such an error in their stream.
    it.each(errors)(
      '%s after a stream broke off: the stream is not whole',
      async (_kind, writeBody) => {
        const played = await play(
          [
            ({ socket }) => socket.end(streamHead + chunk('a ')),
            (request, index) => {
              request.socket.write(errorHead);
              writeBody(request, index);
            },
          ],
          { retries: 1 },
        );
        await expect(played.result).rejects.toMatchObject({ code: 'attempts_exhausted' });
        expect(played.responder).toMatchObject({ text: 'a ', ends: 0 });
      },
    );
  });

  // A connection that has gone silent for good held its request and its caller without an end.
  it('is given up at the deadline of the request', async () => {
    const deadlineAtMs = clock.nowMs() + 5 * idleTimeoutMs;
    const { result, leases } = await play([beginAndFallSilent], { task: { deadlineAtMs } });
    await expect(result).rejects.toMatchObject({
      status: 504,
      code: 'endpoint_silent',
      outcome: Outcome.Unknown,
    });
    expect(leases[0]?.ends).toEqual([AttemptEnd.TimedOut]);
  });
});
