import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import {
  AfterAnswer,
  answersWithOddCoding,
  answersWithOddFraming,
  answersWithOddNames,
  answersWithOddStatus,
  deliver,
  Delivery,
  OddPlace,
  soundBytes,
  type OddAnswer,
  type SoundAnswer,
} from '../odd-answers.js';
import { RawEndpoint, type RawRequest } from '../raw-endpoint.js';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayHarness, type CallerResponse } from './gateway-harness.js';

/** Asks for an odd answer in place of a sound one. */
const oddPath = '/odd';

const soundBodies: Readonly<Record<RequestKind, string>> = {
  [RequestKind.Idempotent]: 'a whole body',
  [RequestKind.AtMostOnce]: 'a whole body',
  [RequestKind.Stream]: 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n',
};

function soundAnswer({ head }: RawRequest, kind: RequestKind): SoundAnswer {
  const [, requestId = ''] = /oriolestack-request-id: (\S+)/i.exec(head) ?? [];
  return {
    lines: [`oriolestack-request-id: ${requestId}`, 'oriolestack-server-seal: seal'],
    body: soundBodies[kind],
  };
}

// Callers must get no part of an answer that HTTP does not know as an answer.
describe('an endpoint that sends an answer which HTTP does not know', () => {
  let harness: GatewayHarness;
  let endpoint: RawEndpoint;
  let odd: OddAnswer;
  let afterOdd: AfterAnswer;

  async function start(kind: RequestKind, delivery: Delivery): Promise<void> {
    const route = trafficRoute({ kind, maxAttempts: 1 });
    await harness.start(trafficConfig({ routes: [route] }));
    endpoint = await new RawEndpoint((request) => {
      const sound = soundAnswer(request, kind);
      const isOdd = request.head.startsWith(`POST ${oddPath} `);
      if (isOdd) deliver(request.socket, odd.pieces(sound), delivery, afterOdd);
      else deliver(request.socket, [soundBytes(sound)], delivery);
    }).listen();
    harness.registerEndpoint('i-1', endpoint.baseUrl);
  }

  function call(path = '/sound'): Promise<CallerResponse> {
    return harness.call({ method: 'POST', path, body: 'x' });
  }

  /** Without those of other tests, which may come to a port that was in use before. */
  function ownRequests(): readonly RawRequest[] {
    return endpoint.requests.filter(({ head }) =>
      head.includes('oriolestack-request-id: request-'),
    );
  }

  beforeEach(() => {
    harness = new GatewayHarness();
    afterOdd = AfterAnswer.StaysOpen;
  });

  afterEach(async () => {
    await harness.stop();
    endpoint.close();
  });

  /** Asks for an odd answer on a fresh connection, for a sound one, and again for the odd one. */
  async function play(kind: RequestKind): Promise<string[]> {
    const responses = [await call(oddPath), await call(), await call(oddPath)];
    const [fresh, sound, reused] = ownRequests().slice(-responses.length);
    const isReused = sound?.socket === reused?.socket;
    const checks = [
      ['the first one', isRefused(responses[0]!)],
      ['the sound one', responses[1]!.body === soundBodies[kind] && responses[1]!.isComplete],
      ['the second one', isRefused(responses[2]!)],
      ['its connection', fresh?.socket !== sound?.socket],
      ['the next connection', isReused === (kind === RequestKind.Idempotent)],
    ] as const;
    return checks.flatMap(([what, isRight]) => (isRight ? [] : [`${odd.name}: ${what}`]));
  }

  async function playAll(
    answers: readonly OddAnswer[],
    kind: RequestKind,
    delivery: Delivery,
  ): Promise<string[]> {
    await start(kind, delivery);
    const faults: string[] = [];
    for (odd of answers) faults.push(...(await play(kind)));
    const requestsOfOne = 3;
    if (ownRequests().length !== requestsOfOne * answers.length) faults.push('sent twice');
    return faults;
  }

  const deliveries = Object.values(Delivery);

  describe.each(Object.values(RequestKind))('to a request of kind %s', (kind) => {
    describe.each(deliveries)('%s', (delivery) => {
      it.each(Object.values(OddPlace))(
        'with a blank or a control character in a name in %s: no success',
        async (place) => {
          expect(await playAll(answersWithOddNames(place), kind, delivery)).toEqual([]);
        },
      );

      it('with a blank or a control character in the name that frames its body: no success', async () => {
        expect(await playAll(answersWithOddFraming, kind, delivery)).toEqual([]);
      });

      it('with a transfer coding other than chunks: no success', async () => {
        afterOdd = AfterAnswer.Ends;
        expect(await playAll(answersWithOddCoding, kind, delivery)).toEqual([]);
      });

      it('with a status that HTTP does not have: no success', async () => {
        expect(await playAll(answersWithOddStatus, kind, delivery)).toEqual([]);
      });
    });
  });
});

/** Whether a caller got an error, or sees that what it got was cut. */
function isRefused({ status, isComplete }: CallerResponse): boolean {
  return status === 502 || (status === 200 && !isComplete);
}
