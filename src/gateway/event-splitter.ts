import { PendingBytes } from '../core/pending-bytes.js';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = ':';

/** Longest event of a sound endpoint; one that is longer would fill the memory. */
const maxEventBytes = 262_144;

/** Bytes at the end of the pending ones that may be the first half of a blank line. */
const blankLineOverlapBytes = 3;

/** Consecutive complete events of a stream. */
export interface CompleteEvents {
  /** Bytes of the events as received, including the blank lines between them. */
  readonly bytes: Buffer;
  /** Number of events with content; comments alone are no progress of a stream. */
  readonly count: number;
  /** Id of the last of these events that has one. */
  readonly lastEventId: string | undefined;
}

/** An event is longer than any that a sound endpoint sends. */
export class EventTooLongError extends Error {
  constructor() {
    super(`an event is longer than ${maxEventBytes} bytes`);
  }
}

/**
 * Splits a `text/event-stream` at event boundaries without changing a byte, so that a stream that
 * breaks in the middle of an event can resume at another endpoint after the last complete one.
 *
 * @example
 * ```ts
 * const splitter = new EventSplitter();
 * const events = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
 * events?.lastEventId; // '1'
 * splitter.pendingBytes; // 8
 * ```
 */
export class EventSplitter {
  readonly #pending = new PendingBytes();

  /** Number of bytes of the incomplete event at the end. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** All bytes copied so far, for tests of the cost. */
  get copiedBytes(): number {
    return this.#pending.copiedBytes;
  }

  /**
   * Appends a chunk of the stream.
   *
   * @returns the events that are complete now; undefined when there are none.
   * @throws EventTooLongError when the event at the end exceeds the limit.
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.#pending.length === 0 ? this.#splitChunk(chunk) : this.#splitPending(chunk);
    if (this.#pending.length > maxEventBytes) throw new EventTooLongError();
    return bytes && { bytes, ...describe(bytes) };
  }

  /** Most chunks hold whole events only, and are passed on as they are. */
  #splitChunk(chunk: Buffer): Buffer | undefined {
    const end = endOfEvents(chunk, 0);
    if (end < chunk.length) this.#pending.append(chunk.subarray(end));
    return end === 0 ? undefined : chunk.subarray(0, end);
  }

  #splitPending(chunk: Buffer): Buffer | undefined {
    const searchedBytes = Math.max(0, this.#pending.length - blankLineOverlapBytes);
    this.#pending.append(chunk);
    const end = endOfEvents(this.#pending.bytes, searchedBytes);
    return end === 0 ? undefined : this.#pending.take(end);
  }
}

/** Index after the last blank line from `start` on; 0 when there is none. */
function endOfEvents(bytes: Buffer, start: number): number {
  let end = 0;
  for (let next = endOfEvent(bytes, start); next !== undefined; next = endOfEvent(bytes, end)) {
    end = next;
  }
  return end;
}

/** Index after the first blank line from `start` on; undefined when there is none. */
function endOfEvent(bytes: Buffer, start: number): number | undefined {
  for (let at = bytes.indexOf(lineFeed, start); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    const isAfterReturn = bytes[at + 1] === carriageReturn;
    const next = isAfterReturn ? at + 2 : at + 1;
    if (bytes[next] === lineFeed) return next + 1;
  }
  return undefined;
}

function describe(bytes: Buffer): Omit<CompleteEvents, 'bytes'> {
  let count = 0;
  let lastEventId: string | undefined;
  let hasContent = false;
  for (const line of bytes.toString('latin1').split(/\r?\n/)) {
    if (line !== '') {
      hasContent ||= !line.startsWith(colon);
      if (line.startsWith('id:')) lastEventId = line.slice(3).trim();
    } else if (hasContent) {
      count += 1;
      hasContent = false;
    }
  }
  return { count, lastEventId };
}
