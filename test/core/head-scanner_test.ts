import { describe, expect, it } from 'vitest';
import { HeadScanner } from '../../src/core/head-scanner.js';
import {
  answersWithOddFraming,
  answersWithOddNames,
  OddPlace,
  soundBytes,
  type SoundAnswer,
} from '../odd-answers.js';

const sound: SoundAnswer = { lines: ['x-a: 1', 'x-b:\t2'], body: 'id: 1\n\n' };

/** Sizes of the pieces in which heads come; the last one is larger than each of them. */
const pieceBytes = [1, 2, 7, 65_536];

function scan(text: string, bytesOfPiece: number): HeadScanner {
  const scanner = new HeadScanner();
  const bytes = Buffer.from(text, 'latin1');
  for (let at = 0; at < bytes.length; at += bytesOfPiece) {
    scanner.push(bytes.subarray(at, at + bytesOfPiece));
  }
  return scanner;
}

/** Counts how often its bytes are read. */
class CountedBytes {
  reads = 0;
  readonly #bytes: Buffer;

  constructor(text: string) {
    this.#bytes = Buffer.from(text, 'latin1');
  }

  /** The bytes from an index on, of which each read counts. */
  from(start: number, end: number): Uint8Array {
    const count = (): void => {
      this.reads += 1;
    };
    return new Proxy(this.#bytes.subarray(start, end), {
      get(bytes, key): unknown {
        if (key !== 'length') count();
        return Reflect.get(bytes, key, bytes);
      },
    });
  }
}

describe('HeadScanner', () => {
  describe.each(pieceBytes)('of heads in pieces of %d bytes', (bytesOfPiece) => {
    it.each([
      ['with a length', soundBytes(sound)],
      ['that ends with its connection', 'HTTP/1.1 200 OK\r\nx-a: 1\r\n\r\n: no field\r\n'],
      ['without a field', 'HTTP/1.1 200 OK\r\n\r\n\x01'],
      ['without a reason', 'HTTP/1.1 204\r\nx-a: 1\r\n\r\n'],
      ['with an empty value', 'HTTP/1.1 200 OK\r\nx-a:\r\nx-b: \r\n\r\n'],
      ['with bytes above ASCII in a value', 'HTTP/1.1 200 OK\r\nx-a: \xe9\x85\r\n\r\n'],
      ['with all that a name may hold', "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n"],
      ['behind an empty line', `\r\n${soundBytes(sound)}`],
      ['behind interim ones', `HTTP/1.1 103 Hints\r\nx-a: 1\r\n\r\n${soundBytes(sound)}`],
    ])('takes one %s', (_what, text) => {
      const scanner = scan(text, bytesOfPiece);
      expect(scanner.fault).toBeUndefined();
      expect(scanner.isDone).toBe(true);
    });

    it.each([OddPlace.FirstLine, OddPlace.LastLine, OddPlace.InterimHead])(
      'finds a blank or a control character in a name in %s',
      (place) => {
        const missed = answersWithOddNames(place).filter(
          ({ pieces }) => scan(pieces(sound).join(''), bytesOfPiece).fault === undefined,
        );
        expect(missed.map(({ name }) => name)).toEqual([]);
      },
    );

    it('finds one in the name that frames the body', () => {
      const missed = answersWithOddFraming.filter(
        ({ pieces }) => scan(pieces(sound).join(''), bytesOfPiece).fault === undefined,
      );
      expect(missed.map(({ name }) => name)).toEqual([]);
    });

    it.each([
      ['a control character in a value', 'HTTP/1.1 200 OK\r\nx-a: 1\0\r\n\r\n'],
      ['a line that ends without CR', 'HTTP/1.1 200 OK\r\nx-a: 1\nx-b: 2\r\n\r\n'],
      ['a line that ends without LF', 'HTTP/1.1 200 OK\r\nx-a: 1\rx-b: 2\r\n\r\n'],
      ['a status line that ends without CR', 'HTTP/1.1 200 OK\nx-a: 1\r\n\r\n'],
      ['a head that ends without LF', 'HTTP/1.1 200 OK\r\nx-a: 1\r\n\rx'],
      ['a line without a colon', 'HTTP/1.1 200 OK\r\nx-a\r\n\r\n'],
      ['a line without a name', 'HTTP/1.1 200 OK\r\n: 1\r\n\r\n'],
      ['a byte above ASCII in a name', 'HTTP/1.1 200 OK\r\nx-\xe9: 1\r\n\r\n'],
    ])('finds %s', (_what, text) => {
      expect(scan(text, bytesOfPiece).fault).toBeDefined();
    });
  });

  it('names the byte that it found', () => {
    expect(scan('HTTP/1.1 200 OK\r\nx a: 1\r\n\r\n', 1).fault).toBe('a name holds 0x20');
  });

  // A response may come in pieces of any size, and its head is as large as the parser allows.
  it.each(pieceBytes)(
    'reads each byte a few times at most in pieces of %d bytes',
    (bytesOfPiece) => {
      const readsOf = (lines: number): number => {
        const text = `HTTP/1.1 200 OK\r\n${'x-a: 12345\r\n'.repeat(lines)}\r\n`;
        const bytes = new CountedBytes(text);
        const scanner = new HeadScanner();
        for (let at = 0; at < text.length; at += bytesOfPiece) {
          scanner.push(bytes.from(at, at + bytesOfPiece));
        }
        expect(scanner.isDone).toBe(true);
        return bytes.reads;
      };
      expect(readsOf(400)).toBeLessThan(4.1 * readsOf(100));
    },
  );

  it('reads nothing behind the head', () => {
    const head = 'HTTP/1.1 200 OK\r\n\r\n';
    const bytes = new CountedBytes(`${head}${'x'.repeat(1_000)}`);
    const scanner = new HeadScanner();
    scanner.push(bytes.from(0, head.length));
    const reads = bytes.reads;
    scanner.push(bytes.from(head.length, head.length + 1_000));
    expect(bytes.reads).toBe(reads);
  });
});
