import { describe, expect, it } from 'vitest';
import { headReaders, wholeReaders } from '../answer-readers.js';
import {
  AfterAnswer,
  answersWithOddCoding,
  answersWithOddFraming,
  answersWithOddNames,
  answersWithOddStatus,
  Delivery,
  OddPlace,
} from '../odd-answers.js';
import { playToReader } from '../reader-plays.js';

const deliveries = Object.values(Delivery);

// What a process takes for an answer reaches callers, or decides what happens to their requests.
describe('an answer that HTTP does not know', () => {
  describe.each([...wholeReaders, ...headReaders])('to %s', (_name, readerType) => {
    describe.each(deliveries)('%s', (delivery) => {
      it.each([OddPlace.FirstLine, OddPlace.LastLine, OddPlace.InterimHead])(
        'with a blank or a control character in a name in %s is refused',
        async (place) => {
          expect(await playToReader(readerType, answersWithOddNames(place), { delivery })).toEqual(
            [],
          );
        },
      );

      it('with a blank or a control character in the name that frames its body is refused', async () => {
        const answers = answersWithOddFraming;
        expect(await playToReader(readerType, answers, { delivery })).toEqual([]);
      });

      it('with a transfer coding other than chunks is refused', async () => {
        const toItsEnd = { delivery, afterOdd: AfterAnswer.Ends };
        expect(await playToReader(readerType, answersWithOddCoding, toItsEnd)).toEqual([]);
      });

      it('with a status that HTTP does not have is refused', async () => {
        expect(await playToReader(readerType, answersWithOddStatus, { delivery })).toEqual([]);
      });
    });
  });

  describe.each(wholeReaders)('to %s', (_name, readerType) => {
    it.each(deliveries)('with such a name in its trailers is refused: %s', async (delivery) => {
      const answers = answersWithOddNames(OddPlace.Trailers);
      expect(await playToReader(readerType, answers, { delivery })).toEqual([]);
    });
  });
});
