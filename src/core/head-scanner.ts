import { carriageReturn, colon, isNameByte, isValueByte, lineFeed } from './field-syntax.js';

/** Part of a head that the next byte belongs to. */
enum HeadPart {
  BeforeStatusLine,
  StatusLine,
  LineStart,
  Name,
  Value,
  /** After the carriage return that ends a line. */
  LineEnd,
  /** After the carriage return of the empty line. */
  HeadEnd,
  Done,
}

/** Index of the first digit of the status in `HTTP/1.1 200 OK`. */
const statusIndex = 9;

/** First digit of the status of an interim response. */
const interimDigit = 0x31;

/**
 * Reads along the bytes of a response up to the end of its head and says whether they keep to the
 * syntax of HTTP/1.1: lines that end with CR LF, names that are tokens directly before a colon, no
 * control characters. Parsers differ in what else they take, and what they make of it: a line that
 * begins with a blank may become part of the value before it, and a bare line feed may end the head.
 *
 * The work is linear in the bytes of the head, however they are cut.
 *
 * @example
 * ```ts
 * const scanner = new HeadScanner();
 * socket.on('data', (bytes) => scanner.push(bytes));
 * ```
 */
export class HeadScanner {
  #part = HeadPart.BeforeStatusLine;
  #statusLineBytes = 0;
  #isInterim = false;
  #fault: string | undefined;

  /** What is wrong with the head, as far as it was read; undefined if nothing is. */
  get fault(): string | undefined {
    return this.#fault;
  }

  /** Whether the head of the final response was read to its end, or to a fault. */
  get isDone(): boolean {
    return this.#part === HeadPart.Done;
  }

  push(bytes: Uint8Array): void {
    for (let index = 0; index < bytes.length && !this.isDone; index++) {
      index = this.#skipWithinPart(bytes, index);
      const byte = bytes[index];
      if (byte !== undefined) this.#part = this.#next(byte);
    }
  }

  /** Returns the index of the first byte that may end the part that is being read. */
  #skipWithinPart(bytes: Uint8Array, from: number): number {
    let index = from;
    if (this.#part === HeadPart.Name) {
      while (isNameByte(bytes[index])) index += 1;
    } else if (this.#part === HeadPart.Value) {
      while (isValueByte(bytes[index])) index += 1;
    }
    return index;
  }

  #next(byte: number): HeadPart {
    switch (this.#part) {
      case HeadPart.BeforeStatusLine:
        return this.#beforeStatusLine(byte);
      case HeadPart.StatusLine:
        return this.#inStatusLine(byte);
      case HeadPart.LineStart:
        return byte === carriageReturn ? HeadPart.HeadEnd : this.#inName(byte);
      case HeadPart.Name:
        return byte === colon ? HeadPart.Value : this.#inName(byte);
      case HeadPart.Value:
        return this.#inValue(byte);
      case HeadPart.LineEnd:
        return this.#lineFeed(byte, HeadPart.LineStart);
      case HeadPart.HeadEnd:
        return this.#lineFeed(byte, this.#afterHead());
      case HeadPart.Done:
        return HeadPart.Done;
    }
  }

  /** Skips empty lines that were left over from the response before. */
  #beforeStatusLine(byte: number): HeadPart {
    const isLeftOver = byte === carriageReturn || byte === lineFeed;
    return isLeftOver ? HeadPart.BeforeStatusLine : this.#inStatusLine(byte);
  }

  /** What else stands in the status line is left to the parser. */
  #inStatusLine(byte: number): HeadPart {
    if (byte === carriageReturn) return HeadPart.LineEnd;
    if (byte === lineFeed) return this.#fail('its status line ends without CR', byte);
    if (this.#statusLineBytes === statusIndex) this.#isInterim = byte === interimDigit;
    this.#statusLineBytes += 1;
    return HeadPart.StatusLine;
  }

  #inName(byte: number): HeadPart {
    return isNameByte(byte) ? HeadPart.Name : this.#fail('a name holds', byte);
  }

  #inValue(byte: number): HeadPart {
    if (byte === carriageReturn) return HeadPart.LineEnd;
    return isValueByte(byte) ? HeadPart.Value : this.#fail('a value holds', byte);
  }

  #lineFeed(byte: number, next: HeadPart): HeadPart {
    return byte === lineFeed ? next : this.#fail('CR stands before', byte);
  }

  /** An interim response is followed by another head. */
  #afterHead(): HeadPart {
    if (!this.#isInterim) return HeadPart.Done;
    this.#statusLineBytes = 0;
    return HeadPart.BeforeStatusLine;
  }

  #fail(what: string, byte: number): HeadPart {
    this.#fault = `${what} 0x${byte.toString(16).padStart(2, '0')}`;
    return HeadPart.Done;
  }
}
