import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import {
  headReaders,
  wholeReaders,
  type AnswerReader,
  type AnswerReaderType,
} from '../answer-readers.js';
import {
  answersWithOddNames,
  answersWithOddStatus,
  deliver,
  Delivery,
  OddPlace,
  soundBytes,
  type OddAnswer,
} from '../odd-answers.js';
import { RawEndpoint } from '../raw-endpoint.js';

/** Answers that are played at the same time, each by an endpoint of its own. */
const answersAtOnce = 16;

/** Time after a request in which its reader is done with the connection. */
const settleMs = 5;

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Asks for an odd answer on a fresh connection, then for a sound one, then both again. */
async function play(
  readerType: AnswerReaderType,
  odd: OddAnswer,
  delivery: Delivery,
): Promise<string[]> {
  // Not by the number of requests: one of another test may come, to a port that was in use before.
  let isOdd = true;
  const endpoint = await new RawEndpoint((request) => {
    const sound = { lines: [], body: reader.soundBody(request) };
    deliver(request.socket, isOdd ? odd.pieces(sound) : [soundBytes(sound)], delivery);
  }).listen();
  const reader: AnswerReader = new readerType(endpoint);
  closers.push(() => {
    endpoint.close();
    return reader.close();
  });
  const faults: string[] = [];
  const sockets: (Socket | undefined)[] = [];
  for (let index = 0; index < 4; index++) {
    isOdd = index % 2 === 0;
    const arrivals = endpoint.requests.length;
    const result = await reader.read('x').then(() => 'taken', resultOf);
    if (isOdd === (result === 'taken')) faults.push(`${odd.name}, request ${index}: ${result}`);
    if (endpoint.requests.length === arrivals) faults.push(`${odd.name}, request ${index}: unsent`);
    sockets.push(endpoint.requests.at(-1)?.socket);
    // The reader gets its connection back.
    await new Promise((resolve) => setTimeout(resolve, settleMs));
  }
  const isReused = sockets[1] === sockets[2];
  return isReused === reader.keepsConnections ? faults : [...faults, `${odd.name}: connection`];
}

function resultOf(error: unknown): string {
  return error instanceof Error ? `refused: ${error.message}` : String(error);
}

async function playAll(
  readerType: AnswerReaderType,
  answers: readonly OddAnswer[],
  delivery: Delivery,
): Promise<string[]> {
  const faults: string[] = [];
  for (let at = 0; at < answers.length; at += answersAtOnce) {
    const played = answers.slice(at, at + answersAtOnce);
    const found = await Promise.all(played.map((odd) => play(readerType, odd, delivery)));
    faults.push(...found.flat());
  }
  return faults;
}

const deliveries = Object.values(Delivery);

// What a process takes for an answer reaches callers, or decides what happens to their requests.
describe('an answer that HTTP does not know', () => {
  describe.each([...wholeReaders, ...headReaders])('to %s', (_name, readerType) => {
    describe.each(deliveries)('%s', (delivery) => {
      it.each([OddPlace.FirstLine, OddPlace.LastLine, OddPlace.InterimHead])(
        'with a blank or a control character in a name in %s is refused',
        async (place) => {
          expect(await playAll(readerType, answersWithOddNames(place), delivery)).toEqual([]);
        },
      );

      it('with a status that HTTP does not have is refused', async () => {
        expect(await playAll(readerType, answersWithOddStatus, delivery)).toEqual([]);
      });
    });
  });

  describe.each(wholeReaders)('to %s', (_name, readerType) => {
    it.each(deliveries)('with such a name in its trailers is refused: %s', async (delivery) => {
      const answers = answersWithOddNames(OddPlace.Trailers);
      expect(await playAll(readerType, answers, delivery)).toEqual([]);
    });
  });
});
