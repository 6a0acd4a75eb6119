import { createServer, type Server } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { HttpBackEndCaller } from '../../src/calls/index.js';
import { HttpConnection } from '../../src/core/http-connection.js';
import { closeServer, listen } from '../../src/core/listener.js';
import { SystemClock, WorkClass } from '../../src/core/index.js';
import { GenerationEventKind, HttpEngineClient, ServiceClient } from '../../src/engine/index.js';
import { RawEndpoint, type RawBehaviour } from '../raw-endpoint.js';

interface Answer {
  readonly status: number;
  readonly body: string;
}

const clock = new SystemClock();
const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function listenRaw(behaviour: RawBehaviour): Promise<RawEndpoint> {
  const endpoint = await new RawEndpoint(behaviour).listen();
  closers.push(() => {
    endpoint.close();
  });
  return endpoint;
}

function newServiceClient(): ServiceClient {
  const client = new ServiceClient();
  closers.push(() => client.close());
  return client;
}

/** Calls of the daemon to an endpoint; each resolves with an answer that it takes for whole. */
type Call = (path: string) => Promise<Answer>;

async function relayedCall({ baseUrl }: RawEndpoint): Promise<Call> {
  const client = newServiceClient();
  const server: Server = createServer((request, response) => {
    const call = {
      name: 'raw',
      baseUrl,
      path: request.url ?? '/',
      requestId: 'r',
      timeoutMs: 5_000,
      signal: new AbortController().signal,
    };
    client.relay(request, response, call).catch(() => response.writeHead(502).end());
  });
  closers.push(() => closeServer(server));
  const port = await listen(server, '127.0.0.1', 0);
  return async (path) => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`);
    return { status: response.status, body: await response.text() };
  };
}

function statusCall({ baseUrl }: RawEndpoint): Promise<Call> {
  const client = newServiceClient();
  return Promise.resolve(async (path) => {
    const { status, body } = await client.get(baseUrl, path, 5_000);
    return { status, body: Buffer.from(body).toString() };
  });
}

function nonRepeatableCall({ baseUrl }: RawEndpoint): Promise<Call> {
  const caller = new HttpBackEndCaller({ name: 'raw', baseUrl, clock });
  return Promise.resolve(async (path) => {
    const { status, body } = await caller.call(
      { method: 'POST', path, headers: {}, body: Buffer.from('{}') },
      { deadlineAtMs: clock.nowMs() + 5_000, tryStart: () => true },
    );
    return { status, body: Buffer.from(body).toString() };
  });
}

function platformCall({ port }: RawEndpoint): Promise<Call> {
  const connection = new HttpConnection({ host: '127.0.0.1', port });
  closers.push(() => {
    connection.close();
  });
  return Promise.resolve(async (path) => {
    const { status, body } = await connection.call({ method: 'GET', path, timeoutMs: 5_000 });
    return { status, body: body.toString() };
  });
}

const clients: [string, (endpoint: RawEndpoint) => Promise<Call>][] = [
  ['a call of a plain service', relayedCall],
  ['a status of a plain service', statusCall],
  ['a call that runs at most once', nonRepeatableCall],
  ['a call of the store or the platform', platformCall],
];

const body = 'a whole body';
const statusLine = 'HTTP/1.1 200 OK\r\n';
const trailers = 'x-sum: 1\r\n';
const framings: Readonly<Record<string, string>> = {
  'with a length': `${statusLine}content-length: ${body.length}\r\n\r\n${body}`,
  'in chunks': `${statusLine}transfer-encoding: chunked\r\n\r\n5\r\na who\r\n7\r\nle body\r\n0\r\n\r\n`,
  'in chunks with trailers': `${statusLine}trailer: x-sum\r\ntransfer-encoding: chunked\r\n\r\nc\r\n${body}\r\n0\r\n${trailers}\r\n`,
  'without a length': `${statusLine}content-type: text/plain\r\n\r\n${body}`,
};

// Callers got a 200 with an empty or short body as if it were whole.
describe.each(clients)('%s whose endpoint breaks its response off', (_name, connect) => {
  const ends: [string, RawBehaviour][] = [
    ['ends', ({ socket }) => socket.end()],
    ['is reset', ({ socket }) => socket.resetAndDestroy()],
  ];
  const cases = Object.entries(framings).flatMap(([framing, response]) =>
    ends.map(([how, end]) => [how, framing, response, end] as const),
  );

  it.each(cases)('fails or gets it whole when it %s: %s', async (how, framing, response, end) => {
    const endpoint = await listenRaw((request) => {
      const cut = Number(/\/cut\/(\d+)/.exec(request.head)?.[1]);
      request.socket.write(response.slice(0, cut));
      // The response is read before the end, or with it.
      if (cut % 2 === 0) end(request, cut);
      else setTimeout(() => end(request, cut), 20);
    });
    const call = await connect(endpoint);
    const headLength = response.indexOf('\r\n\r\n') + 4;
    // An orderly end is the end of a body without a length, wherever it comes.
    const hasOwnEnd = framing !== 'without a length' || how !== 'ends';
    const cuts = Array.from({ length: hasOwnEnd ? response.length : headLength }, (_, cut) => cut);
    const takenForWhole: string[] = [];
    for (let at = 0; at < cuts.length; at += 16) {
      await Promise.all(
        cuts.slice(at, at + 16).map(async (cut) => {
          const answer = await call(`/cut/${cut}`).catch(() => undefined);
          if (answer?.status === 200 && answer.body !== body) {
            takenForWhole.push(`${cut}: "${answer.body}"`);
          }
        }),
      );
    }
    expect(takenForWhole).toEqual([]);
  });
});

const refusal = 'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nfull';

/** Answers the first request, and writes this answer once more when the second one arrives. */
function repeatOnNext(first: string, second: string): RawBehaviour {
  let firstSocket: Parameters<RawBehaviour>[0]['socket'] | undefined;
  return ({ socket }, index) => {
    if (index === 0) {
      firstSocket = socket;
      socket.write(first);
      return;
    }
    firstSocket?.write(first);
    socket.write(second);
  };
}

/** Answers the first request, and writes this answer once more while the connection is idle. */
function repeatWhileIdle(first: string, second: string): RawBehaviour {
  return ({ socket }, index) => {
    socket.write(index === 0 ? first : second);
    if (index === 0) setTimeout(() => socket.write(first), 10);
  };
}

const repeats: [string, typeof repeatOnNext][] = [
  ['when the next request arrives', repeatOnNext],
  ['while its connection is idle', repeatWhileIdle],
];

// A refusal that an endpoint wrote once more told the next caller that its work had not run.
describe('an endpoint that writes an earlier response once more', () => {
  const whole = (text: string): string =>
    `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;

  // Calls of the store and the platform use connections again, and their protocol has no request id.
  describe.each(clients.filter(([, connect]) => connect !== platformCall))(
    'to %s',
    (_name, connect) => {
      it.each(
        repeats.flatMap(([when, repeat]) => [
          ['a refusal', when, refusal, repeat] as const,
          ['an answer', when, whole('first'), repeat] as const,
        ]),
      )('is not taken for the next response: %s, %s', async (_what, _when, first, repeat) => {
        const call = await connect(await listenRaw(repeat(first, whole('second'))));
        await call('/1').catch(() => undefined);
        await clock.sleepUntil(clock.nowMs() + 50);
        const next = await call('/2').catch(() => undefined);
        expect([undefined, 'second']).toContain(next?.body);
      });
    },
  );

  describe('to a generation', () => {
    const stream = (text: string): string => {
      const choice = { delta: { content: text }, finish_reason: 'stop' };
      return whole(`data: ${JSON.stringify({ id: 'x', choices: [choice] })}\n\n`);
    };

    it.each(
      repeats.flatMap(([when, repeat]) => [
        ['a refusal', when, refusal, repeat] as const,
        ['an answer', when, stream('first'), repeat] as const,
      ]),
    )('is not taken for the next response: %s, %s', async (_what, _when, first, repeat) => {
      const { baseUrl } = await listenRaw(repeat(first, stream('second')));
      const client = new HttpEngineClient({
        name: 'raw',
        baseUrl,
        clock,
        idleTimeoutMs: () => 5_000,
      });
      closers.push(() => client.close());
      const generate = async (): Promise<string> => {
        let text = '';
        await client.generate(
          {
            requestId: 'r',
            model: 'm',
            messages: [{ role: 'user', content: 'x' }],
            resumeText: '',
            maxTokens: 1,
            workClass: WorkClass.Short,
            passThrough: {},
          },
          (event) => {
            if (event.kind === GenerationEventKind.Token) text += event.text;
          },
          new AbortController().signal,
        );
        return text;
      };
      await generate().catch(() => undefined);
      await clock.sleepUntil(clock.nowMs() + 50);
      expect(await generate()).toBe('second');
    });
  });
});
