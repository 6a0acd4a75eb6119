import { write } from 'node:fs';

/** Writes text and calls `done` when the write has completed or failed. */
export type WriteText = (text: string, done: (error: Error | null) => void) => void;

/** Options of {@link LineWriter}. */
export interface LineWriterOptions {
  /** Default: standard output. */
  readonly write?: WriteText;
  /** Lines that would raise the queued text above this length are dropped. */
  readonly maxQueuedChars?: number;
  /** Called with the number of dropped lines after the pending write has completed. */
  readonly onDropped?: (lines: number) => void;
}

const standardOutput = 1;

/**
 * Writes lines without blocking: while the reader is slow, lines are queued up to a bound; further
 * lines are dropped and counted.
 *
 * @example
 * ```ts
 * const writer = new LineWriter({ onDropped: (lines) => report(lines) });
 * writer.write('{"event":101}');
 * ```
 */
export class LineWriter {
  readonly #write: WriteText;
  readonly #maxQueuedChars: number;
  readonly #onDropped: (lines: number) => void;
  #queued = '';
  #isWriting = false;
  #droppedLines = 0;

  constructor(options: LineWriterOptions = {}) {
    this.#write = options.write ?? writeStandardOutput;
    this.#maxQueuedChars = options.maxQueuedChars ?? 262_144;
    this.#onDropped = options.onDropped ?? (() => undefined);
  }

  write(line: string): void {
    if (this.#queued.length + line.length > this.#maxQueuedChars) {
      this.#droppedLines += 1;
      return;
    }
    this.#queued += `${line}\n`;
    if (!this.#isWriting) this.#flush();
  }

  #flush(): void {
    if (this.#queued === '') return;
    const text = this.#queued;
    this.#queued = '';
    this.#isWriting = true;
    this.#write(text, () => {
      // A write error is ignored: the lines are lost, and there is no other output to report it on.
      this.#isWriting = false;
      this.#reportDropped();
      this.#flush();
    });
  }

  #reportDropped(): void {
    if (this.#droppedLines === 0) return;
    const dropped = this.#droppedLines;
    this.#droppedLines = 0;
    this.#onDropped(dropped);
  }
}

function writeStandardOutput(text: string, done: (error: Error | null) => void): void {
  write(standardOutput, text, done);
}
