/** Smallest allocation, in bytes. */
const minCapacityBytes = 256;

/**
 * The bytes of a message that has not come whole, in one piece. Each byte is copied a bounded number of
 * times, in however many chunks the message comes.
 *
 * @example
 * ```ts
 * pending.append(chunk);
 * const message = pending.take(endOf(pending.bytes));
 * ```
 */
export class PendingBytes {
  /** The bytes held are `#buffer[#startIndex, #endIndex)`. Bytes that were taken are never written again. */
  #buffer: Buffer = Buffer.alloc(0);
  #startIndex = 0;
  #endIndex = 0;
  #copiedBytes = 0;

  /** Number of bytes held. */
  get length(): number {
    return this.#endIndex - this.#startIndex;
  }

  /** All bytes copied so far, for tests of the cost. */
  get copiedBytes(): number {
    return this.#copiedBytes;
  }

  /** The bytes held; valid until the next call of {@link append}. */
  get bytes(): Buffer {
    return this.#buffer.subarray(this.#startIndex, this.#endIndex);
  }

  append(chunk: Buffer): void {
    if (this.#endIndex + chunk.length > this.#buffer.length) this.#grow(chunk.length);
    this.#copiedBytes += chunk.copy(this.#buffer, this.#endIndex);
    this.#endIndex += chunk.length;
  }

  /** Removes bytes from the beginning and returns them. */
  take(length: number): Buffer {
    const endIndex = this.#startIndex + length;
    const taken = this.#buffer.subarray(this.#startIndex, endIndex);
    this.#startIndex = endIndex;
    return taken;
  }

  /** Doubles at least, so that the sum of all copies stays below twice the bytes. */
  #grow(lackingBytes: number): void {
    const capacityBytes = Math.max(minCapacityBytes, 2 * this.length, this.length + lackingBytes);
    const buffer = Buffer.allocUnsafe(capacityBytes);
    this.#copiedBytes += this.bytes.copy(buffer);
    this.#endIndex = this.length;
    this.#startIndex = 0;
    this.#buffer = buffer;
  }
}
