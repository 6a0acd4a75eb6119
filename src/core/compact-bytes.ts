/** Smallest and largest block, in bytes; blocks grow with what is held already. */
const minBlockBytes = 4_096;
const maxBlockBytes = 262_144;

/**
 * Bytes that come in chunks of any size, copied into blocks, as a chunk that is kept as a buffer of its
 * own takes some hundred bytes beside its payload. A first chunk that is all that is expected is kept.
 *
 * @example
 * ```ts
 * const bytes = new CompactBytes();
 * if (reserve(bytes.growthFor(chunk.length))) bytes.append(chunk);
 * ```
 */
export class CompactBytes {
  readonly #expectedBytes: number;
  #blocks: Buffer[] = [];
  /** Bytes of the last block that are in use. */
  #lastUsedBytes = 0;
  #bytes = 0;
  #heldBytes = 0;

  /** @param expectedBytes - size beyond which no block is allocated ahead; may be exceeded. */
  constructor(expectedBytes = Infinity) {
    this.#expectedBytes = expectedBytes;
  }

  /** Bytes that were appended. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Bytes of all blocks. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Bytes by which {@link heldBytes} grows with a chunk of this size. */
  growthFor(chunkBytes: number): number {
    const lackingBytes = chunkBytes - this.#freeBytes;
    if (lackingBytes <= 0) return 0;
    const aheadBytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.#bytes / 2));
    const expectedBytes = this.#expectedBytes - this.#heldBytes;
    return Math.max(lackingBytes, Math.floor(Math.min(aheadBytes, expectedBytes)));
  }

  append(chunk: Buffer): void {
    if (this.#bytes === 0 && chunk.length > 0 && chunk.length >= this.#expectedBytes) {
      this.#hold(chunk, chunk.length);
      this.#bytes = chunk.length;
      return;
    }
    const inLastBytes = Math.min(chunk.length, this.#freeBytes);
    const growthBytes = this.growthFor(chunk.length);
    const last = this.#blocks.at(-1);
    if (last) this.#lastUsedBytes += chunk.copy(last, this.#lastUsedBytes, 0, inLastBytes);
    if (growthBytes > 0) {
      // Not from the pool, whose slabs of 8 KiB would stay as long as any body within.
      const block = Buffer.allocUnsafeSlow(growthBytes);
      this.#hold(block, chunk.copy(block, 0, inLastBytes));
    }
    this.#bytes += chunk.length;
  }

  #hold(block: Buffer, usedBytes: number): void {
    this.#blocks.push(block);
    this.#lastUsedBytes = usedBytes;
    this.#heldBytes += block.length;
  }

  /** All bytes in one buffer; nothing is held any more. */
  take(): Buffer {
    const [first] = this.#blocks;
    const isExact = this.#blocks.length === 1 && first?.length === this.#bytes;
    const whole = isExact ? first : Buffer.concat(this.#blocks, this.#bytes);
    this.clear();
    return whole;
  }

  clear(): void {
    this.#blocks = [];
    this.#lastUsedBytes = 0;
    this.#bytes = 0;
    this.#heldBytes = 0;
  }

  get #freeBytes(): number {
    return (this.#blocks.at(-1)?.length ?? 0) - this.#lastUsedBytes;
  }
}
