const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Consecutive complete events of a stream. */
export interface CompleteEvents {
  /** Bytes of the events as received, including the blank lines between them. */
  readonly bytes: Buffer;
  readonly count: number;
  /** Id of the last of these events that has one. */
  readonly lastEventId: string | undefined;
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
  #pending: Buffer = Buffer.alloc(0);

  /** Number of bytes of the incomplete event at the end. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /**
   * Appends a chunk of the stream.
   *
   * @returns the events that are complete now; undefined when there are none.
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const all = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    let end = 0;
    let count = 0;
    for (let next = endOfEvent(all, 0); next !== undefined; next = endOfEvent(all, end)) {
      end = next;
      count += 1;
    }
    this.#pending = all.subarray(end);
    if (count === 0) return undefined;
    const bytes = all.subarray(0, end);
    return { bytes, count, lastEventId: lastEventIdOf(bytes) };
  }
}

/** Index after the blank line that ends the event at `start`; undefined while it is incomplete. */
function endOfEvent(bytes: Buffer, start: number): number | undefined {
  for (let at = bytes.indexOf(lineFeed, start); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    const isAfterReturn = bytes[at + 1] === carriageReturn;
    const next = isAfterReturn ? at + 2 : at + 1;
    if (bytes[next] === lineFeed) return next + 1;
  }
  return undefined;
}

function lastEventIdOf(bytes: Buffer): string | undefined {
  const lines = bytes.toString('latin1').split('\n');
  for (let index = lines.length - 1; index >= 0; index--) {
    const line = lines[index] ?? '';
    if (line.startsWith('id:')) return line.slice(3).trim();
  }
  return undefined;
}
