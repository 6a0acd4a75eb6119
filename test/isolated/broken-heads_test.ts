import { afterEach, describe, expect, it } from 'vitest';
import {
  AfterAnswer,
  answersWithOddCoding,
  answersWithOddFraming,
  answersWithOddNames,
  chunkedBytes,
  deliver,
  Delivery,
  OddPlace,
  soundBytes,
  unframedBytes,
  type OddAnswer,
  type SoundAnswer,
} from '../odd-answers.js';
import { RawEndpoint, type RawRequest } from '../raw-endpoint.js';
import { LimitedGateway, received, requestHead } from './limited-gateway.js';

const limits = { heapMb: 128, memoryMb: 512, maxFds: 1_024, maxBodyBytes: 1_048_576 };

/**
 * Makes the parser of Node.js take lines that begin with a blank or end without CR LF, and blanks
 * before a colon. Without it, that of Node.js 20.0.0 to 20.12.0 takes these too, and that of 20.12.1 to
 * 20.19.1 all but lines that begin with a blank.
 */
const lenientParser = '--insecure-http-parser';

const timeoutMs = 120_000;

/** Path prefixes of the routes to the raw endpoint, by the kind of their requests. */
const routes = [
  ['that may be repeated', 'raw-safe'],
  ['that run at most once', 'raw'],
  ['for streams', 'raw-stream'],
] as const;

const brokenHeads: readonly OddAnswer[] = [
  ...[OddPlace.FirstLine, OddPlace.LastLine, OddPlace.InterimHead].flatMap(answersWithOddNames),
  ...answersWithOddFraming,
  ...answersWithOddCoding,
];

/** Sound answers by the paths that ask for them: with a length, with chunks, with neither. */
const soundAnswers = {
  length: soundBytes,
  chunks: chunkedBytes,
  neither: unframedBytes,
} as const;

function soundAnswer({ head }: RawRequest): SoundAnswer {
  const [, requestId = ''] = /oriolestack-request-id: (\S+)/i.exec(head) ?? [];
  return {
    lines: [`oriolestack-request-id: ${requestId}`, 'oriolestack-server-seal: seal'],
    body: 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n',
  };
}

// The tests of the answers' readers end at the parser of the Node.js that runs them. Here the real
// program runs on a parser that lets such answers through.
describe('an answer with a malformed head', () => {
  let gateway: LimitedGateway | undefined;
  let endpoint: RawEndpoint | undefined;

  async function start(nodeOptions: readonly string[]): Promise<void> {
    endpoint = await new RawEndpoint((request) => {
      const sound = soundAnswer(request);
      const [, number] = /^POST \S*\/broken-(\d+) /.exec(request.head) ?? [];
      const [, framing] = /^POST \S*\/sound-(\w+) /.exec(request.head) ?? [];
      const pieces = number
        ? brokenHeads[Number(number)]!.pieces(sound)
        : [soundAnswers[framing as keyof typeof soundAnswers](sound)];
      deliver(request.socket, pieces, Delivery.Whole, AfterAnswer.Ends);
    }).listen();
    gateway = new LimitedGateway({ ...limits, nodeOptions });
    await gateway.start();
    await gateway.registerRaw(endpoint.port);
  }

  afterEach(async () => {
    endpoint?.close();
    await gateway?.stop();
  });

  async function responseTo(path: string): Promise<string> {
    const socket = gateway!.connect();
    const headers = 'content-length: 0\r\nconnection: close\r\n';
    socket.write(requestHead('POST', path, headers));
    return received(socket);
  }

  /** Asks for each broken answer, and for sound ones after it, which keep the endpoint in use. */
  async function faultsOn(route: string): Promise<string[]> {
    const faults: string[] = [];
    for (const [index, { name }] of brokenHeads.entries()) {
      const broken = await responseTo(`/${route}/broken-${index}`);
      if (!broken.startsWith('HTTP/1.1 502 ')) faults.push(`${name}: ${broken}`);
      for (const framing of Object.keys(soundAnswers)) {
        const sound = await responseTo(`/${route}/sound-${framing}`);
        if (!/^HTTP\/1\.1 200 .*data: 2\n\n/s.test(sound)) {
          faults.push(`${framing} after ${name}: ${sound}`);
        }
      }
    }
    return faults;
  }

  describe.each([
    ['of this Node.js', []],
    ['that takes them', [lenientParser]],
  ])('with the parser %s', (_name, nodeOptions) => {
    it.each(routes)(
      'is delivered to no request %s',
      async (_kind, route) => {
        await start(nodeOptions);
        expect(await faultsOn(route)).toEqual([]);
        expect(endpoint!.requests.length).toBeGreaterThanOrEqual(4 * brokenHeads.length);
      },
      timeoutMs,
    );
  });
});
