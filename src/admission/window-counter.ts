/** Parts of a window that are counted together. */
const bucketsPerWindow = 10;

/**
 * Counts events in a sliding window, up to a bucket of a tenth of its length: {@link atLeast} leaves
 * out the oldest bucket that reaches beyond the window, {@link atMost} counts it whole.
 */
export class WindowCounter {
  readonly #bucketMs: number;
  /** Count by number of the bucket since the epoch. */
  readonly #buckets = new Map<number, number>();

  constructor(windowMs: number) {
    this.#bucketMs = windowMs / bucketsPerWindow;
  }

  add(nowMs: number): void {
    const current = this.#bucketOf(nowMs);
    this.#buckets.set(current, (this.#buckets.get(current) ?? 0) + 1);
    for (const bucket of this.#buckets.keys()) {
      if (bucket < current - bucketsPerWindow) this.#buckets.delete(bucket);
    }
  }

  /** Events that surely are within the window before now. */
  atLeast(nowMs: number): number {
    return this.#sumFrom(this.#bucketOf(nowMs) - bucketsPerWindow + 1);
  }

  /** Events that may be within the window before now. */
  atMost(nowMs: number): number {
    return this.#sumFrom(this.#bucketOf(nowMs) - bucketsPerWindow);
  }

  #sumFrom(first: number): number {
    let sum = 0;
    for (const [bucket, count] of this.#buckets) if (bucket >= first) sum += count;
    return sum;
  }

  #bucketOf(nowMs: number): number {
    return Math.floor(nowMs / this.#bucketMs);
  }
}
