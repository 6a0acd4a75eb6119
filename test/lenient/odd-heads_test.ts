import { get, type IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { headReaders, wholeReaders } from '../answer-readers.js';
import {
  AfterAnswer,
  answersWithOddCoding,
  answersWithOddFraming,
  answersWithOddNames,
  Delivery,
  OddPlace,
} from '../odd-answers.js';
import { playToReader } from '../reader-plays.js';
import { RawEndpoint } from '../raw-endpoint.js';

const deliveries = Object.values(Delivery).map(
  (delivery) => [delivery, { delivery, afterOdd: AfterAnswer.Ends }] as const,
);

// The parser of the Node.js that runs the other tests refuses such answers before the product sees them.
describe('an answer that a lenient parser takes', () => {
  it('is one with a line that begins with a blank: the parser is lenient', async () => {
    const endpoint = await new RawEndpoint(({ socket }) => {
      socket.end('HTTP/1.1 200 OK\r\nx-a: 1\r\n x-b: 2\r\n\r\n');
    }).listen();
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
      get(endpoint.baseUrl, { agent: false }, resolve).on('error', reject);
    });
    expect(response.headers['x-a']).toMatch(/^1\s+x-b: 2$/);
    response.destroy();
    endpoint.close();
  });

  describe.each([...wholeReaders, ...headReaders])('to %s', (_name, readerType) => {
    describe.each(deliveries)('%s', (_delivery, delivery) => {
      it.each([OddPlace.FirstLine, OddPlace.LastLine, OddPlace.InterimHead])(
        'with a blank or a control character in a name in %s is refused',
        async (place) => {
          expect(await playToReader(readerType, answersWithOddNames(place), delivery)).toEqual([]);
        },
      );

      it('with a blank or a control character in the name that frames its body is refused', async () => {
        expect(await playToReader(readerType, answersWithOddFraming, delivery)).toEqual([]);
      });

      it('with a transfer coding other than chunks is refused', async () => {
        expect(await playToReader(readerType, answersWithOddCoding, delivery)).toEqual([]);
      });
    });
  });
});
